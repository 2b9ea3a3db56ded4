// Package settings reads the settings of a process from a JSON file that may contain comments. Unknown fields, fields
// that are given twice and values of the wrong type are faults.
package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"rhubarbrudder/internal/jsonc"
	"rhubarbrudder/internal/tablestore"
)

// Settings is the content of a settings file. The three processes of a VM share one file.
type Settings struct {
	VM       VM
	Ports    Ports
	Platform Platform
	Peers    Peers
	TLS      TLS
	Timing   Timing
	Log      Log
}

// VM describes the VM that the process runs on.
type VM struct {
	Name          tablestore.VMName `validate:"required"`
	Address       string            `validate:"required,ip"`
	Region        tablestore.Region `validate:"required"`
	FailureDomain tablestore.FailureDomain
}

// Ports are the TCP ports, which are the same on every VM.
type Ports struct {
	// Caller is the port of the gateway for callers.
	Caller int `validate:"min=1,max=65535"`
	// Operator is the port of the controller for operators.
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

// Platform holds the addresses of the platform's services and the rates at which the whole fleet may use them.
type Platform struct {
	TableURL        string               `validate:"required,url"`
	Table           tablestore.TableName `validate:"required"`
	ObjectsURL      string               `validate:"required,url"`
	Bucket          string               `validate:"required"`
	VMListURL       string               `validate:"required,url"`
	WritesPerSecond tablestore.Rate      `validate:"gt=0"`
	ReadsPerSecond  tablestore.Rate      `validate:"gt=0"`
	// AccessKeyFile is the file with the id and the secret that sign requests, separated by white space. It is empty
	// for a platform that requires no signatures.
	AccessKeyFile string
	// SigningRegion is the region that requests are signed for.
	SigningRegion string
}

// TLS holds the certificates of the servers that use TLS.
type TLS struct {
	// Caller is the gateway's certificate for callers. Operator is the controller's certificate for operators.
	Caller   Certificate
	Operator Certificate
}

// Certificate holds the file names of a certificate and its key, both in PEM. They are empty for a server without TLS.
type Certificate struct {
	CertificateFile string
	KeyFile         string
}

// Peers holds the files with the credentials for calls between processes and by operators.
type Peers struct {
	// SecretFile is the file with the secret that the fleet's processes share.
	SecretFile string `validate:"required"`
	// OperatorTokenFile is the file with the hash of the token that may change every section of the document.
	OperatorTokenFile string `validate:"required"`
}

// Timing holds the periods and time limits that a deployment may want to change.
type Timing struct {
	// SessionTerm is how long a session row must stay unchanged before a peer takes the session over.
	SessionTerm Duration
	// Heartbeat is the period of heartbeats between peers.
	Heartbeat Duration
	// DocumentPoll is the period of checks for a new revision of the configuration document.
	DocumentPoll Duration
	// VMListPoll is the period of reads of the VM list.
	VMListPoll Duration
	// LongestOrder is the longest time that an engine may take to carry out an order.
	LongestOrder Duration
	// Drain is how long a process that shuts down stays reachable, until the load balancer notices. It has nothing to do
	// with the drain of an endpoint.
	Drain Duration
	// FirstToken is the longest time that a model engine may take to send the first token. After it the answer counts as
	// broken.
	FirstToken Duration
	// Token is the longest time that a model engine may take between two tokens. After it the answer counts as broken.
	Token Duration
	// Body is the longest time that a caller may take to send the body of a request.
	Body Duration
	// Write is the longest time that a caller may take to receive a part of the answer.
	Write Duration
}

// Log configures logging.
type Log struct {
	// Level is the lowest level that is logged: Debug, Info, Warn or Error.
	Level string `validate:"oneof=Debug Info Warn Error"`
}

// Duration is a positive time.Duration, written with a unit, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses the duration and returns ErrDuration unless it is positive and has a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed <= 0 {
		return ErrDuration
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Default returns the settings that apply where a file sets no value.
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

// Load reads a settings file. The error lists every fault in the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fileError(path, err)
	}
	return Parse(path, data)
}

// Parse parses settings. The error lists every fault, with name as the name of the file.
func Parse(name string, data []byte) (Settings, error) {
	loaded := Default()
	faults := jsonc.Decode(name, data, &loaded)
	if len(faults) > 0 {
		return Settings{}, faults
	}
	return loaded, nil
}

// HostPort returns the VM's address with the port, in the form host:port.
func (v VM) HostPort(port int) string {
	return net.JoinHostPort(v.Address, strconv.Itoa(port))
}
