package settings

import (
	"fmt"
	"net"
	"time"

	"rhubarbrudder/internal/jsonc"
)

const (
	// heartbeatsPerTerm is how many heartbeats a session's term must at least hold.
	heartbeatsPerTerm = 4
	// longestPoll keeps an accepted change in force everywhere within seconds.
	longestPoll = 4 * time.Second
	// longestTerm bounds how long a lost VM's work waits for another.
	longestTerm = 5 * time.Minute
	// longestDrain bounds how long a process waits for the balancer's lag.
	longestDrain = 10 * time.Minute
)

// Check returns what is wrong with how the settings relate to each other.
func (s *Settings) Check() []jsonc.Wrong {
	wrong := s.Timing.check()
	if address := net.ParseIP(s.VM.Address); address != nil && address.IsUnspecified() {
		wrong = append(wrong, jsonc.Wrong{
			Field: "VM.Address",
			Wrong: "has the value " + s.VM.Address,
			Want:  "the number by which peers reach this VM",
		})
	}
	wrong = append(wrong, both("TLS.Caller.CertificateFile", s.TLS.Caller.CertificateFile, "TLS.Caller.KeyFile", s.TLS.Caller.KeyFile)...)
	wrong = append(wrong, both("TLS.Operator.CertificateFile", s.TLS.Operator.CertificateFile, "TLS.Operator.KeyFile", s.TLS.Operator.KeyFile)...)
	wrong = append(wrong, both("Platform.AccessKeyFile", s.Platform.AccessKeyFile, "Platform.SigningRegion", s.Platform.SigningRegion)...)
	return append(wrong, s.Ports.check()...)
}

// both returns what is wrong if just one of two fields is given.
func both(one, oneValue, other, otherValue string) []jsonc.Wrong {
	switch {
	case (oneValue == "") == (otherValue == ""):
		return nil
	case oneValue == "":
		one, other = other, one
	}
	return []jsonc.Wrong{
		{
			Field: other,
			Wrong: "is missing",
			Want:  "a value, as " + one + " has one",
		},
	}
}

func (t Timing) check() []jsonc.Wrong {
	var wrong []jsonc.Wrong
	atMost := func(field string, value, most Duration, why string) {
		if value <= most {
			return
		}
		wrong = append(wrong, jsonc.Wrong{
			Field: "Timing." + field,
			Wrong: "has the value " + time.Duration(value).String(),
			Want:  fmt.Sprintf("at most %s%s", time.Duration(most), why),
		})
	}
	atMost("SessionTerm", t.SessionTerm, Duration(longestTerm), "")
	atMost("Heartbeat", t.Heartbeat, t.SessionTerm/heartbeatsPerTerm, ", a quarter of SessionTerm")
	atMost("DocumentPoll", t.DocumentPoll, Duration(longestPoll), "")
	atMost("VMListPoll", t.VMListPoll, Duration(longestPoll), "")
	atMost("Drain", t.Drain, Duration(longestDrain), "")
	return wrong
}

func (p Ports) check() []jsonc.Wrong {
	var wrong []jsonc.Wrong
	taken := map[int]string{}
	for _, port := range []struct {
		field string
		value int
	}{
		{field: "Ports.Caller", value: p.Caller},
		{field: "Ports.Operator", value: p.Operator},
		{field: "Ports.GatewayPeer", value: p.GatewayPeer},
		{field: "Ports.DispatcherPeer", value: p.DispatcherPeer},
		{field: "Ports.ControllerPeer", value: p.ControllerPeer},
		{field: "Ports.GatewayStatus", value: p.GatewayStatus},
		{field: "Ports.DispatcherStatus", value: p.DispatcherStatus},
		{field: "Ports.ControllerStatus", value: p.ControllerStatus},
	} {
		if other, twice := taken[port.value]; twice {
			wrong = append(wrong, jsonc.Wrong{
				Field: port.field,
				Wrong: fmt.Sprintf("has the value %d, which %s has", port.value, other),
				Want:  "a port of its own",
			})
		}
		taken[port.value] = port.field
	}
	return wrong
}
