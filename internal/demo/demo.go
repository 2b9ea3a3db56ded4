// Package demo runs the whole system, with stand-ins for the platform and the endpoints, in one process on loopback,
// and sends it a few requests.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/process"
	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/standin"
	"rhubarbrudder/internal/tablestore"
	"rhubarbrudder/internal/telemetry"
)

// Options holds the flags of the demo command and where its output goes.
type Options struct {
	// Stay keeps the system running after the requests, until ctx ends.
	Stay bool
	// Verbose prints the processes' logs.
	Verbose bool
	// Address is the IP address to listen on.
	Address string
	// Out receives the printed text.
	Out io.Writer
}

const (
	// Key is the API key of the demo's organisation.
	Key = "demo-key-lawinenwerk"
	// Token is the operator's token.
	Token = "demo-operator-token"
	model = "beacon-7b"
	slots = 8
)

// system holds the state of a running demo.
type system struct {
	settings settings.Settings
	platform *standin.Platform
	group    *errgroup.Group
	stop     context.CancelFunc
	dir      string
	// address is the IP address that everything listens on.
	address string
}

// Run starts the system, runs the scenario and prints its progress.
func Run(ctx context.Context, options Options) error {
	sys, err := start(ctx, options)
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(sys.dir) }()
	err = runScenario(ctx, sys, options)
	sys.stop()
	if stopErr := sys.group.Wait(); err == nil {
		return stopErr
	}
	return err
}

func start(ctx context.Context, options Options) (*system, error) {
	dir, err := os.MkdirTemp("", "rhubarbrudder-demo")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	s := &system{
		settings: settings.Default(),
		// The seed of the random faults is 1, and the VM list has no lag.
		platform: standin.NewPlatform(1, 0),
		group:    group,
		stop:     stop,
		dir:      dir,
		address:  options.Address,
	}
	if err := s.prepare(ctx); err != nil {
		stop()
		return nil, err
	}
	logOutput := io.Discard
	if options.Verbose {
		logOutput = options.Out
	}
	s.startRoles(ctx, telemetry.NewLogger(logOutput, s.settings.Log.Level))
	return s, nil
}

// prepare starts the stand-ins, fills in the settings and stores a first document.
func (s *system) prepare(ctx context.Context) error {
	platformAddress, err := s.serve(ctx, s.platform.Handler())
	if err != nil {
		return err
	}
	vms := []tablestore.VM{
		{
			Name:          "vm-1",
			Incarnation:   "1",
			Address:       s.address,
			Region:        "bayern-sued",
			FailureDomain: "garmisch",
			State:         tablestore.VMLive,
		},
	}
	for i, handler := range []http.Handler{
		standin.NewEngine(standin.DefaultEngineOptions()).Handler(),
		standin.NewEngine(standin.DefaultEngineOptions()).Handler(),
		standin.NewPlain(time.Millisecond).Handler(),
	} {
		endpointAddress, err := s.serve(ctx, handler)
		if err != nil {
			return err
		}
		service := "beacon-assist"
		if i == 2 {
			service = "booking"
		}
		vms = append(vms, endpointVM(fmt.Sprintf("endpoint-%d", i+1), service, endpointAddress))
	}
	s.platform.VMs.Set(vms)
	if err := s.writeSettings(platformAddress); err != nil {
		return err
	}
	return s.writeDocument(ctx)
}

// endpointVM returns the entry of the VM list for an endpoint.
func endpointVM(name, service string, address *net.TCPAddr) tablestore.VM {
	return tablestore.VM{
		Name:          tablestore.VMName(name),
		Incarnation:   "1",
		Address:       address.IP.String(),
		Port:          address.Port,
		Region:        "bayern-sued",
		FailureDomain: "garmisch",
		Service:       service,
		State:         tablestore.VMLive,
		ChecksFence:   true,
	}
}

// serve serves the handler on a free port until ctx ends and returns the address.
func (s *system) serve(ctx context.Context, handler http.Handler) (*net.TCPAddr, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(s.address, "0"))
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	address, _ := listener.Addr().(*net.TCPAddr)
	return address, nil
}

// writeSettings writes the secret files and fills in the settings that differ from the defaults.
func (s *system) writeSettings(platformAddress *net.TCPAddr) error {
	secret := filepath.Join(s.dir, "secret")
	token := filepath.Join(s.dir, "token")
	if err := os.WriteFile(secret, []byte("demo-secret"), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(token, []byte(document.HashOf(Token)), 0o600); err != nil {
		return err
	}
	url := "http://" + platformAddress.String()
	s.settings.VM = settings.VM{
		Name:          "vm-1",
		Address:       s.address,
		Region:        "bayern-sued",
		FailureDomain: "garmisch",
	}
	s.settings.Platform.TableURL = url
	s.settings.Platform.ObjectsURL = url
	s.settings.Platform.Bucket = "objects"
	s.settings.Platform.VMListURL = url + "/vms"
	s.settings.Peers.SecretFile = secret
	s.settings.Peers.OperatorTokenFile = token
	s.settings.Timing.Drain = settings.Duration(10 * time.Millisecond)
	return nil
}

// writeDocument stores the demo's document with the code that a controller uses.
func (s *system) writeDocument(ctx context.Context) error {
	client := http.DefaultClient
	store := document.NewStore(
		tablestore.NewTable(client, s.settings.Platform.TableURL, s.settings.Platform.Table, nil),
		tablestore.NewObjects(client, s.settings.Platform.ObjectsURL, s.settings.Platform.Bucket, nil),
	)
	doc := document.New()
	for _, change := range initialChanges() {
		var err error
		doc, _, err = store.Accept(ctx, doc, change)
		if err != nil {
			return err
		}
	}
	return nil
}

// initialChanges returns the changes that make up the demo's document.
func initialChanges() []document.Change {
	return []document.Change{
		newChange(document.Models, map[document.EntryName]any{
			model: document.Model{
				Version: "1",
			},
		}),
		newChange(document.Capacity, map[document.EntryName]any{
			"beacon-assist": document.Service{
				Kind:                   document.KindEngine,
				Model:                  model,
				Endpoints:              2,
				Slots:                  slots,
				ReserveSlots:           2,
				QueueMilliseconds:      2000,
				MaximumUnavailable:     0.5,
				FirstTokenMilliseconds: 710,
				TokenMilliseconds:      54,
			},
			"booking": document.Service{
				Kind:               document.KindPlain,
				Endpoints:          1,
				Slots:              slots,
				QueueMilliseconds:  2000,
				NonIdempotentPaths: []string{"/confirm"},
			},
		}),
		newChange(document.BatchPolicy, map[document.EntryName]any{
			document.DefaultPolicy: document.StandardPolicy(),
		}),
		newChange(document.Organisations, map[document.EntryName]any{
			"lawinenwerk": document.Organisation{
				Keys:               []document.Hash{document.HashOf(Key)},
				Weight:             1,
				ConcurrentRequests: 1000,
				RequestsPerSecond:  1000,
			},
		}),
	}
}

func newChange(section document.SectionName, entries map[document.EntryName]any) document.Change {
	result := document.Change{
		ID:      "demo-" + string(section),
		Section: section,
		Set:     map[document.EntryName]json.RawMessage{},
	}
	for name, entry := range entries {
		data, err := json.Marshal(entry)
		if err != nil {
			panic(err)
		}
		result.Set[name] = data
	}
	return result
}

// startRoles starts a gateway, a dispatcher and a controller.
func (s *system) startRoles(ctx context.Context, log *slog.Logger) {
	s.group.Go(func() error {
		return process.RunGateway(ctx, s.settings, log)
	})
	s.group.Go(func() error {
		return process.RunDispatcher(ctx, s.settings, log)
	})
	s.group.Go(func() error {
		return process.RunController(ctx, s.settings, log)
	})
}
