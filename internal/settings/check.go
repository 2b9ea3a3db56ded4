package settings

import (
	"fmt"
	"net"
	"time"

	"rhubarbrudder/internal/jsonc"
)

const (
	// heartbeatsPerTerm is the minimum number of heartbeats in the term of a session.
	heartbeatsPerTerm = 4
	// maxPoll limits the poll periods, so that an accepted change is in force everywhere, and a change of the VM list is
	// noticed, within seconds.
	maxPoll = 4 * time.Second
	// maxSessionTerm limits how long the work of a lost VM waits for another VM to take it over.
	maxSessionTerm = 5 * time.Minute
	// maxDrain limits how long a process that shuts down waits for the load balancer to notice.
	maxDrain = 10 * time.Minute
)

// Check returns a fault for each value that contradicts another one or exceeds a limit.
func (s *Settings) Check() []jsonc.FieldFault {
	faults := s.Timing.check()
	if address := net.ParseIP(s.VM.Address); address != nil && address.IsUnspecified() {
		faults = append(faults, jsonc.FieldFault{
			Field: "VM.Address",
			Wrong: "has the value " + s.VM.Address,
			Want:  "the IP address by which peers reach this VM",
		})
	}
	faults = append(faults, bothOrNone("TLS.Caller.CertificateFile", s.TLS.Caller.CertificateFile, "TLS.Caller.KeyFile", s.TLS.Caller.KeyFile)...)
	faults = append(faults, bothOrNone("TLS.Operator.CertificateFile", s.TLS.Operator.CertificateFile, "TLS.Operator.KeyFile", s.TLS.Operator.KeyFile)...)
	faults = append(faults, bothOrNone("Platform.AccessKeyFile", s.Platform.AccessKeyFile, "Platform.SigningRegion", s.Platform.SigningRegion)...)
	return append(faults, s.Ports.check()...)
}

// bothOrNone returns a fault if only one of two fields has a value.
func bothOrNone(one, oneValue, other, otherValue string) []jsonc.FieldFault {
	switch {
	case (oneValue == "") == (otherValue == ""):
		return nil
	case oneValue == "":
		one, other = other, one
	}
	return []jsonc.FieldFault{
		{
			Field: other,
			Wrong: "is missing",
			Want:  "a value, as " + one + " has one",
		},
	}
}

func (t Timing) check() []jsonc.FieldFault {
	var faults []jsonc.FieldFault
	atMost := func(field string, value, most Duration, reason string) {
		if value <= most {
			return
		}
		faults = append(faults, jsonc.FieldFault{
			Field: "Timing." + field,
			Wrong: "has the value " + time.Duration(value).String(),
			Want:  fmt.Sprintf("at most %s%s", time.Duration(most), reason),
		})
	}
	atMost("SessionTerm", t.SessionTerm, Duration(maxSessionTerm), "")
	atMost("Heartbeat", t.Heartbeat, t.SessionTerm/heartbeatsPerTerm, ", a quarter of SessionTerm")
	atMost("DocumentPoll", t.DocumentPoll, Duration(maxPoll), "")
	atMost("VMListPoll", t.VMListPoll, Duration(maxPoll), "")
	atMost("Drain", t.Drain, Duration(maxDrain), "")
	return faults
}

func (p Ports) check() []jsonc.FieldFault {
	var faults []jsonc.FieldFault
	usedBy := map[int]string{}
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
		if other, used := usedBy[port.value]; used {
			faults = append(faults, jsonc.FieldFault{
				Field: port.field,
				Wrong: fmt.Sprintf("has the value %d, which %s has", port.value, other),
				Want:  "a port of its own",
			})
		}
		usedBy[port.value] = port.field
	}
	return faults
}
