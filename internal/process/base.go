// Package process assembles and runs the three kinds of processes: gateways, which serve callers, dispatchers, which run
// batch jobs, and controllers, which serve operators.
package process

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/explain"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/peer"
	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/tablestore"
	"rhubarbrudder/internal/telemetry"
)

// base holds the components that all kinds of processes have.
type base struct {
	settings  settings.Settings
	log       *slog.Logger
	table     *tablestore.Table
	objects   *tablestore.Objects
	follower  *document.Follower
	gossip    *document.Gossip
	store     *document.Store
	jobs      *job.Store
	fleet     *fleet.Fleet
	directory *endpoint.Directory
	announcer *endpoint.Announcer
	peers     *peer.Client
	server    *peer.Server
	status    *telemetry.Status
	self      fleet.Member
	notes     *explain.Recorder
	servers   []*drainedServer
}

// drainedServer is an HTTP server that answers the requests in progress before it shuts down.
type drainedServer struct {
	server *http.Server
	// done is closed when the shutdown is complete.
	done chan struct{}
}

// listenPorts holds a role and the ports on which it listens.
type listenPorts struct {
	role       fleet.Role
	peerPort   int
	statusPort int
}

func newBase(s settings.Settings, log *slog.Logger, ports listenPorts) (*base, error) {
	secret, err := readSecret(s.Peers.SecretFile)
	if err != nil {
		return nil, err
	}
	log = log.With("role", ports.role, "vm", s.VM.Name)
	status, err := telemetry.NewStatus(string(ports.role))
	if err != nil {
		return nil, err
	}
	platform, err := newPlatformClients(s.Platform, status)
	if err != nil {
		return nil, err
	}
	b := &base{
		settings:  s,
		log:       log,
		table:     tablestore.NewTable(platform.table, s.Platform.TableURL, s.Platform.Table, tablestore.NewBudget(s.Platform.WritesPerSecond, s.Platform.ReadsPerSecond)),
		objects:   tablestore.NewObjects(platform.objects, s.Platform.ObjectsURL, s.Platform.Bucket, tablestore.NewBudget(s.Platform.WritesPerSecond, s.Platform.ReadsPerSecond)),
		directory: endpoint.NewDirectory(),
		peers:     peer.NewClient(secret),
		server:    peer.NewServer(secret, log),
		status:    status,
		self: fleet.Member{
			Role:          ports.role,
			VM:            s.VM.Name,
			Incarnation:   uuid.NewString(),
			Address:       s.VM.HostPort(ports.peerPort),
			Region:        s.VM.Region,
			FailureDomain: s.VM.FailureDomain,
		},
	}
	traffic := &peer.Traffic{}
	b.peers.CountTraffic(traffic)
	b.server.CountTraffic(traffic)
	if err := traffic.Export(status.Meter()); err != nil {
		return nil, startError(err)
	}
	b.notes = explain.New(b.self.ID())
	b.store = document.NewStore(b.table, b.objects)
	b.jobs = job.NewStore(b.table, b.objects)
	b.fleet = fleet.New(b.self, peerPorts(s), tablestore.NewVMList(platform.list, s.Platform.VMListURL), b.peers, log)
	b.fleet.OnList(b.directory.Update)
	b.follower = document.NewFollower(b.store, b.fleet, document.DefaultLimits(time.Duration(s.Timing.DocumentPoll)), log)
	b.gossip = document.NewGossip(b.follower, b.peers, log)
	b.status.AddCheck(func() bool {
		_, fresh := b.follower.Fresh()
		return fresh
	})
	if err := b.server.Register("Document", document.NewServer(b.follower)); err != nil {
		return nil, err
	}
	b.announcer = endpoint.NewAnnouncer(b.directory, b.fleet, b.peers)
	if err := b.server.Register("Endpoint", endpoint.NewService(b.directory)); err != nil {
		return nil, err
	}
	if err := b.server.Register("Fleet", fleet.NewService(b.fleet)); err != nil {
		return nil, err
	}
	if err := b.server.Register("Explain", explain.NewService(b.notes)); err != nil {
		return nil, err
	}
	return b, b.registerGauges()
}

// maxIdlePlatformConnections is the maximum number of idle connections to each service of the platform.
const maxIdlePlatformConnections = 64

func peerPorts(s settings.Settings) fleet.Ports {
	return fleet.Ports{
		fleet.RoleGateway:    s.Ports.GatewayPeer,
		fleet.RoleDispatcher: s.Ports.DispatcherPeer,
		fleet.RoleController: s.Ports.ControllerPeer,
	}
}

func readSecret(path string) (peer.Secret, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, startError(err)
	}
	secret := bytes.TrimSpace(data)
	if len(secret) == 0 {
		return nil, startError(errEmptySecret)
	}
	return peer.Secret(secret), nil
}

// headerTimeout bounds how long a client may take to send a request's header.
const headerTimeout = 10 * time.Second

const (
	// idleTimeout is how long a connection without requests stays open. It is longer than the idle timeout of load
	// balancers, so that they close idle connections first.
	idleTimeout = 10 * time.Minute
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
)

// addHTTPServer adds an HTTP server for callers or operators. The actor that addDrain adds shuts it down.
func (b *base) addHTTPServer(group *run.Group, address string, handler http.Handler, files settings.Certificate) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return startError(err)
	}
	requests, err := telemetry.NewRequests(b.status.Meter())
	if err != nil {
		return startError(err)
	}
	server := &drainedServer{
		server: &http.Server{
			Handler:           requests.Wrap(handler),
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
		done: make(chan struct{}),
	}
	serve := server.server.Serve
	if files.CertificateFile != "" {
		certificate, err := newCertificate(files, b.log)
		if err != nil {
			return err
		}
		server.server.TLSConfig = &tls.Config{
			MinVersion:     tls.VersionTLS12,
			GetCertificate: certificate.get,
		}
		serve = func(listener net.Listener) error {
			return server.server.ServeTLS(listener, "", "")
		}
	}
	b.servers = append(b.servers, server)
	group.Add(func() error {
		err := serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-server.done
		return nil
	}, func(error) {
		_ = server.server.Close()
	})
	return nil
}

// shutdownServers shuts down the servers and waits until all their requests are answered.
func (b *base) shutdownServers() {
	for _, server := range b.servers {
		_ = server.server.Shutdown(context.Background())
		close(server.done)
	}
}

// addPeerServer adds the net/rpc server.
func (b *base) addPeerServer(group *run.Group) error {
	listener, err := net.Listen("tcp", b.self.Address)
	if err != nil {
		return startError(err)
	}
	group.Add(func() error {
		return b.server.Serve(listener)
	}, func(error) {
		_ = listener.Close()
		b.server.Close()
		b.peers.Close()
	})
	return nil
}

// addStatusServer adds the HTTP server for metrics, liveness and readiness.
func (b *base) addStatusServer(group *run.Group, port int) error {
	listener, err := net.Listen("tcp", b.settings.VM.HostPort(port))
	if err != nil {
		return startError(err)
	}
	server := &http.Server{
		Handler:           b.status.Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	group.Add(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) {
		_ = server.Close()
	})
	return nil
}

// addLoop adds an actor that runs the loop until the group stops.
func addLoop(group *run.Group, loop func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		return loop(ctx)
	}, func(error) {
		cancel()
	})
}

// addDrain adds the actor that stops the group when ctx ends. It first makes the process unready, waits for the load
// balancer to notice, and lets all requests be answered; only then do the other actors stop.
func (b *base) addDrain(ctx context.Context, group *run.Group) {
	stopped, stop := context.WithCancel(context.Background())
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-stopped.Done():
			b.shutdownServers()
			return nil
		}
		b.log.Info("draining")
		b.status.SetReady(false)
		b.fleet.Leave()
		timer := time.NewTimer(time.Duration(b.settings.Timing.Drain))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-stopped.Done():
		}
		b.shutdownServers()
		return nil
	}, func(error) {
		stop()
	})
}

// addCommon loads the VM list and the document, and adds the actors that every process runs.
func (b *base) addCommon(ctx context.Context, group *run.Group, ports listenPorts) error {
	if err := b.fleet.Refresh(ctx); err != nil {
		b.log.Warn("vm list could not be read at start", "err", err)
	}
	if err := b.follower.Refresh(ctx); err != nil {
		b.log.Warn("document could not be read at start", "err", err)
	}
	b.addDrain(ctx, group)
	addLoop(group, b.follower.Run)
	addLoop(group, b.gossip.Run)
	addLoop(group, b.announcer.Run)
	addLoop(group, func(ctx context.Context) error {
		timing := b.settings.Timing
		return b.fleet.Run(ctx, time.Duration(timing.VMListPoll), time.Duration(timing.Heartbeat))
	})
	if err := b.addPeerServer(group); err != nil {
		return err
	}
	return b.addStatusServer(group, ports.statusPort)
}
