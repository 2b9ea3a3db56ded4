// Package vm is the process that serves one VM on the users' platform: callers' requests, batch jobs, and the pools that
// this VM holds for the others.
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
	"rhubarbrudder/internal/peer"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/roster"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
	"rhubarbrudder/internal/telemetry"
	"rhubarbrudder/platform"
)

const (
	// drainLeast is how long a VM that stops goes on taking requests: the balancer asks every second and takes a VM out
	// after two answers that it is not ready. Then it takes none, so that what runs has the rest of the time.
	drainLeast = 2500 * time.Millisecond
	// drainMost is how long it goes on at most, inside the 8 s after which it is killed.
	drainMost = 7300 * time.Millisecond
	// drainPoll is how often it looks whether all is answered.
	drainPoll = 50 * time.Millisecond
	// handTime bounds the handing over of batch jobs.
	handTime = 2 * time.Second
	// maxHeaderBytes bounds headers before the configuration's own bound is looked at.
	maxHeaderBytes = 64 << 10
	// headerTime and idleTime bound headers and an idle connection where the configuration sets no bound, and on the
	// addresses that operators use.
	headerTime = 10 * time.Second
	idleTime   = 60 * time.Second
	// storeConnections is how many connections to the store are kept.
	storeConnections = 8
	// storeDialTimeout bounds the making of a connection to the store, which takes milliseconds.
	storeDialTimeout = time.Second
)

// Process is a VM's process.
type Process struct {
	settings  Settings
	log       *slog.Logger
	store     store.Store
	view      *route.View
	inventory *inventory.Inventory
	roster    *roster.Roster
	stewards  *pool.Stewards
	pools     *pools
	keeper    *batch.Keeper
	warden    *batch.Warden
	front     *front
	callers   *http.Server
	conns     *conns
	peers     *peer.Server
	endpoints *store.Follower
	operator  *store.Follower
	members   *store.Follower
	exchange  *exchange
	status    *telemetry.Status
	metrics   *metrics
	life      context.Context
	end       context.CancelFunc
}

// New returns a process that has not started.
func New(s Settings, log *slog.Logger) (*Process, error) {
	life, end := context.WithCancel(context.Background())
	p := &Process{
		settings: s,
		log:      log,
		life:     life,
		end:      end,
		view:     route.NewView(log),
	}
	p.conns = newConns(p.view, log)
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
		Address:     s.announced(),
		Cores:       s.Limits.CoreShare * s.Limits.CoreSpeed,
	}
	p.know(self, direct)
	batchCaller := p.reach(self, direct)
	p.work(self, batchCaller)
	err = errors.Join(
		p.peers.Register(pool.ServiceName, p.stewards),
		p.peers.Register(batch.ServiceName, batch.NewService(p.keeper)),
		p.peers.Register(exchangeName, &Exchange{exchange: p.exchange}),
	)
	return p, oops.In("vm").Wrap(err)
}

// know makes what this VM knows of the fleet, and what keeps it up to date.
func (p *Process) know(self roster.VM, direct store.Store) {
	log := p.log
	p.roster = roster.New(self, log)
	p.inventory = inventory.New(func() time.Duration {
		return p.endpoints.SinceLoss()
	}, func() {
		p.stewards.EndpointsChanged()
	}, log)
	p.stewards = pool.NewStewards(p.inventory, log)
	p.endpoints = store.NewFollower(direct, platform.TableEndpoints, endpointSink{process: p}, log)
	p.operator = store.NewFollower(direct, platform.TableOperator, configSink{process: p}, log)
	p.members = store.NewFollower(direct, roster.Table, p.roster, log)
}

// reach makes what calls other VMs, and returns the caller for batch jobs. Each use has connections of its own: a call
// that is late gives up its connection, with all calls on it.
func (p *Process) reach(self roster.VM, direct store.Store) pool.Caller {
	log := p.log
	secret := peer.Secret(p.settings.Peers.Secret)
	p.peers = peer.NewServer(secret, log)
	p.exchange = &exchange{
		self:      self.Name,
		seeds:     p.settings.Seeds,
		followers: []*store.Follower{p.operator, p.endpoints, p.members},
		roster:    p.roster,
		caller:    peer.NewPool(secret).KeepCancelled(),
		direct:    direct,
		log:       log,
	}
	p.store = store.NewRelay(direct, p.exchange, log)
	p.pools = &pools{
		self: pool.Member{
			VM:      self.Name,
			Address: self.Address,
		},
		domain:  p.settings.FailureDomain,
		roster:  p.roster,
		caller:  peer.NewPool(secret).KeepCancelled(),
		local:   p.stewards,
		log:     log,
		life:    p.life,
		clients: map[route.Service]*pool.Client{},
	}
	return peer.NewPool(secret).KeepCancelled()
}

// storeClient returns a client whose connections come from the VM's own address.
func storeClient(own string) *http.Client {
	dialer := &net.Dialer{
		Timeout: storeDialTimeout,
	}
	if host, _, err := net.SplitHostPort(own); err == nil {
		dialer.LocalAddr = &net.TCPAddr{
			IP: net.ParseIP(host),
		}
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: storeConnections,
			IdleConnTimeout:     idleTime,
			DisableCompression:  true,
		},
	}
}

// work makes what serves requests and batch jobs.
func (p *Process) work(self roster.VM, caller pool.Caller) {
	log := p.log
	sender := forward.NewSender(platform.Headers{})
	p.keeper = batch.NewKeeper(p.life, self, p.store, p.view, p.pools, p.inventory, sender, log)
	p.warden = batch.NewWarden(p.keeper, p.roster, caller, p.pools.Holds, time.Duration(p.settings.Batch.Keep), log)
	p.front = &front{
		view:      p.view,
		forwarder: forward.New(p.pools, p.inventory, sender, platform.Headers{}, p.metrics, log),
		keeper:    p.keeper,
		log:       log,
	}
}

// Run serves until ctx ends, and then until what was begun is answered.
func (p *Process) Run(ctx context.Context) error {
	defer p.end()
	var group run.Group
	if err := p.listen(&group); err != nil {
		return err
	}
	p.follow(&group)
	group.Add(func() error {
		<-ctx.Done()
		p.drain()
		return nil
	}, func(error) {
		p.end()
	})
	p.log.Info("started", "vm", p.settings.Name, "incarnation", p.keeper.Incarnation(), "failure_domain", p.settings.FailureDomain, "callers", p.settings.Listen.Callers)
	err := group.Run()
	p.log.Info("stopped", "vm", p.settings.Name, "err", err)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// listen adds the servers to the group.
func (p *Process) listen(group *run.Group) error {
	p.callers = &http.Server{
		Handler:           p.front,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		ConnState:         p.conns.changed,
	}
	ready := &http.Server{
		Handler:           http.HandlerFunc(p.serveReady),
		ReadHeaderTimeout: headerTime,
	}
	metrics := &http.Server{
		Handler:           p.status.Handler(),
		ReadHeaderTimeout: headerTime,
	}
	for _, each := range []struct {
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
		if each.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return oops.In("vm").With("address", each.address).Wrap(err)
		}
		group.Add(func() error {
			return each.serve(listener)
		}, func(error) {
			_ = listener.Close()
			each.stop()
		})
	}
	return nil
}

// serveCallers serves callers until the process ends; a shutdown of the server alone does not end it.
func (p *Process) serveCallers(listener net.Listener) error {
	err := p.callers.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-p.life.Done()
	}
	return err
}

// follow adds what keeps this VM up to date.
func (p *Process) follow(group *run.Group) {
	for _, work := range []func(context.Context){
		p.operator.Run,
		p.endpoints.Run,
		p.members.Run,
		p.warden.Run,
		p.conns.run,
		p.exchange.run,
		func(ctx context.Context) {
			p.roster.Enter(ctx, p.store)
			<-ctx.Done()
		},
	} {
		ctx, cancel := context.WithCancel(p.life)
		group.Add(func() error {
			work(ctx)
			return nil
		}, func(error) {
			cancel()
		})
	}
}

// drain stops taking new work and waits until what was begun is answered.
func (p *Process) drain() {
	begun := time.Now()
	p.log.Info("draining", "active", p.front.active.Load())
	p.front.draining.Store(true)
	// Idle connections are closed now: a caller that kept one would otherwise send on it until the very end.
	p.callers.SetKeepAlivesEnabled(false)
	p.stewards.Retire()
	for time.Since(begun) < drainLeast {
		p.handOver()
		time.Sleep(drainPoll)
	}
	ctx, cancel := context.WithTimeout(p.life, drainMost-drainLeast)
	defer cancel()
	answered := make(chan error, 1)
	go func() { answered <- p.callers.Shutdown(ctx) }()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for ended := false; !ended; {
		p.handOver()
		select {
		case err := <-answered:
			ended = true
			if err != nil {
				p.log.Warn("requests cut off", "active", p.front.active.Load(), "err", err)
			}
		case <-ticker.C:
		}
	}
	p.handOver()
	p.log.Info("drained", "active", p.front.active.Load(), "took_ms", time.Since(begun).Milliseconds())
}

// handOver gives the batch jobs that this VM owns to others; jobs may still be accepted while callers are answered.
func (p *Process) handOver() {
	handed := p.keeper.Retire()
	if len(handed) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(p.life, handTime)
	defer cancel()
	p.warden.HandOver(ctx, handed)
}

// serveReady answers the balancer.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if p.front.draining.Load() || p.view.Current() == nil || !p.inventory.Loaded() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
