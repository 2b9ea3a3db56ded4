// Package demo runs the whole system and its stand-ins in one process on loopback.
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

// Options says how the demo runs.
type Options struct {
	// Stay keeps the system up until ctx ends.
	Stay bool
	// Verbose prints the processes' logs.
	Verbose bool
	// Address is the IP number to run at.
	Address string
	Out     io.Writer
}

const (
	// Key is the key of the demo's organisation.
	Key = "demo-key-lawinenwerk"
	// Token is the token of the demo's operator.
	Token = "demo-operator-token"
	model = "beacon-7b"
	slots = 8
)

// system is the running demo.
type system struct {
	settings settings.Settings
	platform *standin.Platform
	group    *errgroup.Group
	stop     context.CancelFunc
	folder   string
	address  string
}

// Run runs the demo and prints what happens.
func Run(ctx context.Context, options Options) error {
	running, err := start(ctx, options)
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(running.folder) }()
	err = show(ctx, running, options)
	running.stop()
	if stopErr := running.group.Wait(); err == nil {
		return stopErr
	}
	return err
}

func start(ctx context.Context, options Options) (*system, error) {
	folder, err := os.MkdirTemp("", "rhubarbrudder-demo")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	s := &system{
		settings: settings.Default(),
		platform: standin.NewPlatform(1, 0),
		group:    group,
		stop:     stop,
		folder:   folder,
		address:  options.Address,
	}
	if err := s.prepare(ctx); err != nil {
		stop()
		return nil, err
	}
	logs := io.Discard
	if options.Verbose {
		logs = options.Out
	}
	s.startRoles(ctx, telemetry.NewLogger(logs, s.settings.Log.Level))
	return s, nil
}

// prepare starts the stand-ins and stores a first document.
func (s *system) prepare(ctx context.Context) error {
	address, err := s.serve(ctx, s.platform.Handler())
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
		at, err := s.serve(ctx, handler)
		if err != nil {
			return err
		}
		service := "beacon-assist"
		if i == 2 {
			service = "booking"
		}
		vms = append(vms, endpointVM(fmt.Sprintf("endpoint-%d", i+1), service, at))
	}
	s.platform.VMs.Set(vms)
	if err := s.writeSettings(address); err != nil {
		return err
	}
	return s.writeDocument(ctx)
}

func endpointVM(name, service string, at *net.TCPAddr) tablestore.VM {
	return tablestore.VM{
		Name:          tablestore.VMName(name),
		Incarnation:   "1",
		Address:       at.IP.String(),
		Port:          at.Port,
		Region:        "bayern-sued",
		FailureDomain: "garmisch",
		Service:       service,
		State:         tablestore.VMLive,
		ChecksFence:   true,
	}
}

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

func (s *system) writeSettings(at *net.TCPAddr) error {
	secret := filepath.Join(s.folder, "secret")
	token := filepath.Join(s.folder, "token")
	if err := os.WriteFile(secret, []byte("demo-secret"), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(token, []byte(document.HashOf(Token)), 0o600); err != nil {
		return err
	}
	url := "http://" + at.String()
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

// writeDocument stores the demo's document as a controller would.
func (s *system) writeDocument(ctx context.Context) error {
	client := http.DefaultClient
	store := document.NewStore(
		tablestore.NewTable(client, s.settings.Platform.TableURL, s.settings.Platform.Table, nil),
		tablestore.NewObjects(client, s.settings.Platform.ObjectsURL, s.settings.Platform.Bucket, nil),
	)
	doc := document.New()
	for _, change := range changes() {
		var err error
		doc, _, err = store.Accept(ctx, doc, change)
		if err != nil {
			return err
		}
	}
	return nil
}

func changes() []document.Change {
	return []document.Change{
		change(document.Models, map[document.EntryName]any{
			model: document.Model{
				Version: "1",
			},
		}),
		change(document.Capacity, map[document.EntryName]any{
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
		change(document.BatchPolicy, map[document.EntryName]any{
			document.DefaultPolicy: document.StandardPolicy(),
		}),
		change(document.Organisations, map[document.EntryName]any{
			"lawinenwerk": document.Organisation{
				Keys:               []document.Hash{document.HashOf(Key)},
				Weight:             1,
				ConcurrentRequests: 1000,
				RequestsPerSecond:  1000,
			},
		}),
	}
}

func change(section document.SectionName, entries map[document.EntryName]any) document.Change {
	made := document.Change{
		ID:      "demo-" + string(section),
		Section: section,
		Set:     map[document.EntryName]json.RawMessage{},
	}
	for name, entry := range entries {
		data, err := json.Marshal(entry)
		if err != nil {
			panic(err)
		}
		made.Set[name] = data
	}
	return made
}

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
