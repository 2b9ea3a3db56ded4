// Package settings reads a process's settings: JSON with comments, decoded strictly.
package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"rhubarbrudder/internal/jsonc"
	"rhubarbrudder/internal/tablestore"
)

// Settings is a process's settings file. The same file serves the three processes of a VM.
type Settings struct {
	VM       VM
	Ports    Ports
	Platform Platform
	Peers    Peers
	TLS      TLS
	Timing   Timing
	Log      Log
}

// VM says where the process runs.
type VM struct {
	Name          tablestore.VMName `validate:"required"`
	Address       string            `validate:"required,ip"`
	Region        tablestore.Region `validate:"required"`
	FailureDomain tablestore.FailureDomain
}

// Ports are the TCP ports, the same on each VM.
type Ports struct {
	// Caller is the gateway's port for callers.
	Caller int `validate:"min=1,max=65535"`
	// Operator is the controller's port for operators.
	Operator int `validate:"min=1,max=65535"`
	// GatewayPeer, DispatcherPeer and ControllerPeer are for net/rpc between processes.
	GatewayPeer    int `validate:"min=1,max=65535"`
	DispatcherPeer int `validate:"min=1,max=65535"`
	ControllerPeer int `validate:"min=1,max=65535"`
	// GatewayStatus, DispatcherStatus and ControllerStatus serve metrics, liveness and readiness.
	GatewayStatus    int `validate:"min=1,max=65535"`
	DispatcherStatus int `validate:"min=1,max=65535"`
	ControllerStatus int `validate:"min=1,max=65535"`
}

// Platform says where the platform's services are and how much of them the fleet may use.
type Platform struct {
	TableURL        string               `validate:"required,url"`
	Table           tablestore.TableName `validate:"required"`
	ObjectsURL      string               `validate:"required,url"`
	Bucket          string               `validate:"required"`
	VMListURL       string               `validate:"required,url"`
	WritesPerSecond tablestore.Rate      `validate:"gt=0"`
	ReadsPerSecond  tablestore.Rate      `validate:"gt=0"`
	// AccessKeyFile holds the id and the secret that sign requests, a line each; empty for a platform that asks for none.
	AccessKeyFile string
	// SigningRegion is the region that signatures name.
	SigningRegion string
}

// TLS says which servers speak TLS.
type TLS struct {
	// Caller is the gateway's certificate for callers, Operator the controller's for operators.
	Caller   Certificate
	Operator Certificate
}

// Certificate names the files of a certificate and its key, in PEM; both are empty for a server without TLS.
type Certificate struct {
	CertificateFile string
	KeyFile         string
}

// Peers says how processes know each other.
type Peers struct {
	// SecretFile holds the secret that the fleet's processes share.
	SecretFile string `validate:"required"`
	// OperatorTokenFile holds the hash of the token that may change every section.
	OperatorTokenFile string `validate:"required"`
}

// Timing holds the periods that a deployment may want to change.
type Timing struct {
	// SessionTerm is how long a session row must stay unchanged before a peer takes the session over.
	SessionTerm Duration
	// Heartbeat is the period of heartbeats between peers.
	Heartbeat Duration
	// DocumentPoll is the period of checks for a new revision.
	DocumentPoll Duration
	// VMListPoll is the period of reads of the VM list.
	VMListPoll Duration
	// LongestOrder is how long an engine may take to carry out an order.
	LongestOrder Duration
	// Drain is how long a process that shuts down stays reachable for the balancer's lag.
	Drain Duration
	// FirstToken and Token are how long a model engine may send nothing, before the first token and between
	// two, until its answer counts as broken.
	FirstToken Duration
	Token      Duration
	// Body is how long a caller may take to send a request's body, and Write how long to take a part of its answer.
	Body  Duration
	Write Duration
}

// Log says what is logged.
type Log struct {
	// Level is Debug, Info, Warn or Error.
	Level string `validate:"oneof=Debug Info Warn Error"`
}

// Duration is a time written as in "1.5s"; it is never negative.
type Duration time.Duration

// UnmarshalText reads the duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed <= 0 {
		return ErrDuration
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Default returns the settings that a file changes.
func Default() Settings {
	return Settings{
		Ports: Ports{
			Caller:           8080,
			Operator:         8090,
			GatewayPeer:      7101,
			DispatcherPeer:   7102,
			ControllerPeer:   7103,
			GatewayStatus:    9101,
			DispatcherStatus: 9102,
			ControllerStatus: 9103,
		},
		Platform: Platform{
			Table:           "rhubarbrudder",
			Bucket:          "objects",
			WritesPerSecond: 300,
			ReadsPerSecond:  1500,
		},
		Timing: Timing{
			SessionTerm:  Duration(6 * time.Second),
			Heartbeat:    Duration(500 * time.Millisecond),
			DocumentPoll: Duration(time.Second),
			VMListPoll:   Duration(time.Second),
			LongestOrder: Duration(time.Minute),
			Drain:        Duration(5 * time.Second),
			FirstToken:   Duration(30 * time.Second),
			Token:        Duration(10 * time.Second),
			Body:         Duration(30 * time.Second),
			Write:        Duration(30 * time.Second),
		},
		Log: Log{
			Level: "Info",
		},
	}
}

// Load reads a settings file; the error lists every fault in it.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fileError(path, err)
	}
	return Parse(path, data)
}

// Parse reads settings; name stands for the file in faults, which the error lists all.
func Parse(name string, data []byte) (Settings, error) {
	loaded := Default()
	faults := jsonc.Decode(name, data, &loaded)
	if len(faults) > 0 {
		return Settings{}, faults
	}
	return loaded, nil
}

// Join returns the VM's address with a port.
func (v VM) Join(port int) string {
	return net.JoinHostPort(v.Address, strconv.Itoa(port))
}
