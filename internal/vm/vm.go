// Package vm implements the process that runs on each VM of the platform that package platform describes. It forwards
// callers' requests to endpoints and runs batch jobs. For some services, the VM is also the steward: it grants the
// slots at the service's endpoints to all VMs.
package vm

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/samber/oops"

	"rhubarbrudder/internal/batch"
	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/memory"
	"rhubarbrudder/internal/peer"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/quarantine"
	"rhubarbrudder/internal/roster"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
	"rhubarbrudder/internal/telemetry"
	"rhubarbrudder/internal/transport"
	"rhubarbrudder/platform"
)

const (
	// maxHeaderBytes bounds headers before the configured limit is checked.
	maxHeaderBytes = 64 << 10
	// headerTime and idleTime bound the arrival of headers and the time of an idle connection if the configuration sets
	// no limit, and on the addresses for operators.
	headerTime = 10 * time.Second
	idleTime   = 60 * time.Second
	// storeConnections is the number of idle connections to the store that are kept.
	storeConnections = 8
	// storeDialTimeout bounds the setup of a connection to the store, which normally takes milliseconds.
	storeDialTimeout = time.Second
	// storeReadBuffer is the size in bytes of the receive buffer of a connection to the store.
	storeReadBuffer = 128 << 10
)

// Process is the process of a VM.
type Process struct {
	settings        Settings
	log             *slog.Logger
	store           store.Store
	view            *route.View
	inventory       *inventory.Inventory
	roster          *roster.Roster
	stewards        *pool.Stewards
	pools           *pools
	batchManager    *batch.Manager
	batchSupervisor *batch.Supervisor
	front           *front
	callers         *http.Server
	callersListener net.Listener
	connReaper      *connReaper
	peers           *peer.Server
	endpoints       *store.Follower
	operator        *store.Follower
	members         *store.Follower
	quarantine      *quarantine.List
	quarantined     *store.Follower
	exchange        *exchange
	status          *telemetry.Status
	metrics         *metrics
	memory          *memory.Budget
	baseCtx         context.Context
	cancelBase      context.CancelFunc
}

// New returns a Process that has not been started.
func New(s Settings, log *slog.Logger) (*Process, error) {
	baseCtx, cancelBase := context.WithCancel(context.Background())
	p := &Process{
		settings:   s,
		log:        log,
		baseCtx:    baseCtx,
		cancelBase: cancelBase,
		view:       route.NewView(log),
		memory:     memory.New(memory.BoundOf(memory.Bytes(s.Limits.MemoryMB<<20)), time.Now, log),
	}
	p.connReaper = newConnReaper(p.view, log)
	status, err := telemetry.NewStatus("vm")
	if err != nil {
		return nil, oops.In("vm").Wrap(err)
	}
	p.status = status
	if p.metrics, err = newMetrics(status.Meter()); err != nil {
		return nil, oops.In("vm").Wrap(err)
	}
	direct := countedStore{
		Store:   platform.NewStore(storeClient(s.Listen.Peers), s.Store.Address),
		metrics: p.metrics,
	}
	self := roster.VM{
		Name:        s.Name,
		Incarnation: roster.Incarnation(uuid.NewString()),
		Address:     s.announcedAddress(),
		Cores:       s.Limits.CoreShare * s.Limits.CoreSpeed,
	}
	p.initLocalState(self, direct)
	batchCaller := p.initPeers(self, direct)
	err = errors.Join(
		observeQuarantine(status.Meter(), p.quarantine),
		observeLimits(status.Meter(), p.pools),
		observeAllowances(status.Meter(), p.stewards),
		observeConcurrency(status.Meter(), p.pools),
		observeMemory(status.Meter(), p.memory),
	)
	if err != nil {
		return nil, oops.In("vm").Wrap(err)
	}
	p.initHandlers(self, batchCaller)
	err = errors.Join(
		p.peers.Register(pool.ServiceName, p.stewards),
		p.peers.Register(batch.ServiceName, batch.NewService(p.batchManager)),
		p.peers.Register(exchangeName, &Exchange{exchange: p.exchange}),
	)
	return p, oops.In("vm").Wrap(err)
}

// initLocalState creates the local state about VMs and endpoints, and the followers that keep it and the configuration
// up to date.
func (p *Process) initLocalState(self roster.VM, direct store.Store) {
	log := p.log
	p.roster = roster.New(self, log)
	p.inventory = inventory.New(func() time.Duration {
		return p.endpoints.SinceFailure()
	}, func() {
		p.stewards.EndpointsChanged()
	}, log)
	p.quarantine = quarantine.NewList(log)
	p.stewards = pool.NewStewards(stewardInventory{
		Inventory:  p.inventory,
		roster:     p.roster,
		quarantine: p.quarantine,
		started:    time.Now(),
	}, p.quarantine, log)
	p.stewards.LimitOrganisations(limits{
		View:   p.view,
		roster: p.roster,
	}, time.Duration(p.settings.Allowances.Window))
	if p.settings.Endpoints.AdaptiveConcurrency {
		p.stewards.AdaptConcurrency()
	}
	pace := func() time.Duration {
		return store.Pace(p.roster.Size(), p.settings.Store.ReadsPerSecond)
	}
	p.endpoints = store.NewFollower(direct, platform.TableEndpoints, endpointSink{process: p}, log).Paced(pace)
	p.operator = store.NewFollower(direct, platform.TableOperator, configSink{process: p}, log)
	p.members = store.NewFollower(direct, roster.Table, p.roster, log).Paced(pace)
	p.quarantined = store.NewFollower(direct, quarantine.Table, p.quarantine, log).Paced(pace)
}

// initPeers creates the server for other VMs and the clients that call them, and returns the client for batch jobs.
// Each use has its own connections, because a call that times out closes its connection and thus fails all calls on it.
func (p *Process) initPeers(self roster.VM, direct store.Store) pool.Caller {
	log := p.log
	secret := peer.Secret(p.settings.Peers.Secret)
	p.peers = peer.NewServer(secret, log)
	p.exchange = &exchange{
		self:      self.Name,
		address:   self.Address,
		seeds:     p.settings.Seeds,
		followers: []*store.Follower{p.operator, p.endpoints, p.members, p.quarantined},
		roster:    p.roster,
		caller:    peer.NewClient(secret).KeepConnOnCancel(),
		direct:    direct,
		log:       log,
	}
	p.store = store.NewRelay(direct, p.exchange, log)
	p.pools = &pools{
		self: pool.Member{
			VM:      self.Name,
			Address: self.Address,
		},
		domain:     p.settings.FailureDomain,
		roster:     p.roster,
		caller:     peer.NewClient(secret).KeepConnOnCancel(),
		local:      p.stewards,
		quarantine: p.quarantine,
		log:        log,
		baseCtx:    p.baseCtx,
		clients:    map[route.Service]*pool.Client{},
	}
	return peer.NewClient(secret).KeepConnOnCancel()
}

// storeClient returns an HTTP client whose connections originate from the VM's own address. All calls of the VM to the store go through
// it, which bounds the number of large ones.
func storeClient(own string) *http.Client {
	dialer := &net.Dialer{
		Timeout: storeDialTimeout,
	}
	if host, _, err := net.SplitHostPort(own); err == nil {
		dialer.LocalAddr = &net.TCPAddr{
			IP: net.ParseIP(host),
		}
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if tcp, ok := conn.(*net.TCPConn); ok {
			// An answer that waits for its turn must not use the link all the same.
			_ = tcp.SetReadBuffer(storeReadBuffer)
		}
		return conn, err
	}
	return &http.Client{
		Transport: transport.New(&http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: storeConnections,
			IdleConnTimeout:     idleTime,
			DisableCompression:  true,
		}).BoundTransfers(),
	}
}

// initHandlers creates the parts that serve requests and run batch jobs.
func (p *Process) initHandlers(self roster.VM, caller pool.Caller) {
	log := p.log
	sender := forward.NewSender(platform.Headers{})
	p.batchManager = batch.NewManager(p.baseCtx, self, p.store, p.view, p.pools, p.inventory, sender, log)
	p.batchManager.CountMemory(p.memory)
	p.batchSupervisor = batch.NewSupervisor(p.batchManager, p.roster, caller, p.pools.IsSteward, time.Duration(p.settings.Batch.Keep), log)
	p.front = &front{
		view:         p.view,
		forwarder:    forward.New(p.pools, p.view, p.inventory, sender, platform.Headers{}, p.metrics, log),
		batchManager: p.batchManager,
		jobLookups:   make(chan struct{}, maxJobLookups),
		outdated:     p.outdated,
		memory:       p.memory,
		log:          log,
	}
}

// Run serves until ctx ends, and then until the requests in progress are answered or maxDrainTime has passed.
func (p *Process) Run(ctx context.Context) error {
	defer p.cancelBase()
	var group run.Group
	if err := p.listen(&group); err != nil {
		return err
	}
	p.addBackgroundTasks(&group)
	group.Add(func() error {
		<-ctx.Done()
		p.drain()
		return nil
	}, func(error) {
		p.cancelBase()
	})
	p.log.Info("started", "vm", p.settings.Name, "incarnation", p.batchManager.Incarnation(), "failure_domain", p.settings.FailureDomain, "callers", p.settings.Listen.Callers,
		"store_reads_per_s", p.settings.Store.ReadsPerSecond, "allowance_window", time.Duration(p.settings.Allowances.Window),
		"revoke_time", time.Duration(p.settings.Keys.RevokeTime), "fail_closed", p.settings.Keys.FailClosed)
	err := group.Run()
	p.log.Info("stopped", "vm", p.settings.Name, "err", err)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// listen opens the listening addresses and adds their servers to the group.
func (p *Process) listen(group *run.Group) error {
	p.callers = &http.Server{
		Handler:           p.front,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		ConnState:         countConns(p.memory, p.connReaper.stateChanged),
	}
	ready := &http.Server{
		Handler:           http.HandlerFunc(p.serveReady),
		ReadHeaderTimeout: headerTime,
	}
	metrics := &http.Server{
		Handler:           p.status.Handler(),
		ReadHeaderTimeout: headerTime,
	}
	for _, server := range []struct {
		address string
		serve   func(net.Listener) error
		stop    func()
	}{
		{
			address: p.settings.Listen.Metrics,
			serve:   metrics.Serve,
			stop: func() {
				_ = metrics.Close()
			},
		},
		{
			address: p.settings.Listen.Callers,
			serve:   p.serveCallers,
			stop: func() {
				_ = p.callers.Close()
			},
		},
		{
			address: p.settings.Listen.Ready,
			serve:   ready.Serve,
			stop: func() {
				_ = ready.Close()
			},
		},
		{
			address: p.settings.Listen.Peers,
			serve:   p.peers.Serve,
			stop:    p.peers.Close,
		},
	} {
		if server.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", server.address)
		if err != nil {
			return oops.In("vm").With("address", server.address).Wrap(err)
		}
		if server.address == p.settings.Listen.Callers {
			p.callersListener = listener
		}
		group.Add(func() error {
			return server.serve(listener)
		}, func(error) {
			_ = listener.Close()
			server.stop()
		})
	}
	return nil
}

// serveCallers serves callers until the process ends. It does not return when only the listener is closed or the server is shut
// down, as that would stop the group.
func (p *Process) serveCallers(listener net.Listener) error {
	err := p.callers.Serve(reapedListener{
		Listener: listener,
		reaper:   p.connReaper,
	})
	if errors.Is(err, http.ErrServerClosed) || p.front.refusing.Load() {
		<-p.baseCtx.Done()
	}
	return err
}

// addBackgroundTasks adds the background tasks to the group.
func (p *Process) addBackgroundTasks(group *run.Group) {
	for _, task := range []func(context.Context){
		p.operator.Run,
		p.endpoints.Run,
		p.members.Run,
		p.quarantined.Run,
		p.followQuarantine,
		func(ctx context.Context) {
			p.quarantine.Run(ctx, p.store, p.pools.IsSteward)
		},
		p.batchSupervisor.Run,
		p.connReaper.run,
		p.exchange.run,
		p.watchConfirmation,
		func(ctx context.Context) {
			p.roster.KeepRegistered(ctx, p.store)
		},
		func(ctx context.Context) {
			p.roster.Sweep(ctx, p.store, presence{
				stewards: p.stewards,
				caller:   p.pools.caller,
			})
		},
	} {
		ctx, cancel := context.WithCancel(p.baseCtx)
		group.Add(func() error {
			task(ctx)
			return nil
		}, func(error) {
			cancel()
		})
	}
}

// followQuarantine passes changes of the quarantine on to the stewards until ctx ends.
func (p *Process) followQuarantine(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.quarantine.Changed():
			p.stewards.QuarantineChanged()
		}
	}
}
