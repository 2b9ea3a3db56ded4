package pool

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/route"
)

// ErrNotReady means that the VM does not know the service's endpoints yet.
var ErrNotReady = errors.New("pool: not ready")

const (
	// sessionSilence is after how long without a call a VM's tickets and runs are dropped: several times the
	// longest pause between two calls of a VM that is well.
	sessionSilence = time.Second
	// watchPeriod is how often expiries are looked for while something waits; refusals may be that late.
	watchPeriod = 50 * time.Millisecond
)

// Inventory is what stewards need of the list of endpoints.
type Inventory interface {
	Of(service route.Service) []inventory.Endpoint
	Loaded() bool
}

// Stewards are the pools that this VM holds for others, one a service. It is the net/rpc service of the package.
type Stewards struct {
	inventory Inventory
	log       *slog.Logger
	mu        sync.Mutex
	pools     map[route.Service]*steward
	retiring  bool
}

// steward holds the pool of one service.
type steward struct {
	mu       sync.Mutex
	pool     *Pool
	sessions map[VMName]*session
	watching bool
	log      *slog.Logger
	service  route.Service
}

// session is a VM as its steward knows it.
type session struct {
	id       Session
	domain   inventory.Domain
	seen     time.Time
	outcomes []Outcome
	// ready holds a token while there are outcomes.
	ready chan struct{}
}

// NewStewards returns stewards without pools.
func NewStewards(list Inventory, log *slog.Logger) *Stewards {
	return &Stewards{
		inventory: list,
		log:       log,
		pools:     map[route.Service]*steward{},
	}
}

// Retire makes every VM go to another steward.
func (s *Stewards) Retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retiring = true
	for _, st := range s.pools {
		st.wakeAll()
	}
}

// EndpointsChanged takes the endpoints anew.
func (s *Stewards) EndpointsChanged() {
	s.mu.Lock()
	held := make([]*steward, 0, len(s.pools))
	for _, st := range s.pools {
		held = append(held, st)
	}
	s.mu.Unlock()
	for _, st := range held {
		st.setEndpoints(s.inventory.Of(st.service))
	}
}

// Tell takes what changed at a VM and returns the outcomes that are known at once.
func (s *Stewards) Tell(args TellArgs, reply *Reply) error {
	st, retiring, err := s.steward(args.From.Service)
	if err != nil {
		return err
	}
	st.tell(args, reply)
	reply.Retiring = retiring
	return nil
}

// Listen waits for outcomes.
func (s *Stewards) Listen(args ListenArgs, reply *Reply) error {
	st, _, err := s.steward(args.From.Service)
	if err != nil {
		return err
	}
	st.listen(args, reply)
	s.mu.Lock()
	reply.Retiring = s.retiring
	s.mu.Unlock()
	return nil
}

// Ping answers whether this VM can hold the pool of a service.
func (s *Stewards) Ping(args PingArgs, reply *Reply) error {
	_, retiring, err := s.steward(args.Service)
	reply.Retiring = retiring
	return err
}

// Leave ends a VM's session.
func (s *Stewards) Leave(args LeaveArgs, _ *Reply) error {
	st, _, err := s.steward(args.From.Service)
	if err != nil {
		return err
	}
	st.leave(args.From)
	return nil
}

func (s *Stewards) steward(service route.Service) (*steward, bool, error) {
	if !s.inventory.Loaded() {
		return nil, false, ErrNotReady
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.pools[service]
	if st == nil {
		st = &steward{
			pool:     New(),
			sessions: map[VMName]*session{},
			log:      s.log,
			service:  service,
		}
		st.pool.SetEndpoints(s.inventory.Of(service))
		s.pools[service] = st
	}
	return st, s.retiring, nil
}

func (st *steward) setEndpoints(list []inventory.Endpoint) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.SetEndpoints(list)
	st.decide(time.Now())
}

func (st *steward) tell(args TellArgs, reply *Reply) {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := time.Now()
	from := st.sessions[args.From.VM]
	if args.Full {
		from = st.register(args, now)
	}
	if from == nil || from.id != args.From.Session {
		reply.Unknown = true
		return
	}
	from.seen = now
	for _, seen := range args.Seen {
		st.pool.Observe(args.From.VM, seen.ID, seen.Trouble, seen.First, now)
	}
	for _, returned := range args.Returned {
		st.pool.Release(args.From.VM, returned.ID, returned.Trouble, now)
	}
	for _, id := range args.Withdrawn {
		st.pool.Release(args.From.VM, id, TroubleUnknown, now)
	}
	for _, held := range args.Held {
		st.pool.Hold(held.Ask.ticket(args, now), held.Endpoint, now)
	}
	for _, ask := range args.Asks {
		st.pool.Ask(ask.ticket(args, now), now)
	}
	st.decide(now)
	reply.Outcomes = from.take()
}

// register starts a session; what the VM told before is replaced.
func (st *steward) register(args TellArgs, now time.Time) *session {
	if old := st.sessions[args.From.VM]; old != nil {
		old.wake()
		st.pool.Forget(args.From.VM, now)
	}
	from := &session{
		id:     args.From.Session,
		domain: args.Domain,
		ready:  make(chan struct{}, 1),
	}
	st.sessions[args.From.VM] = from
	st.log.Info("vm registered", "service", st.service, "vm", args.From.VM, "held", len(args.Held), "asks", len(args.Asks), "vms", len(st.sessions))
	return from
}

func (st *steward) listen(args ListenArgs, reply *Reply) {
	st.mu.Lock()
	from := st.sessions[args.From.VM]
	if from == nil || from.id != args.From.Session {
		st.mu.Unlock()
		reply.Unknown = true
		return
	}
	from.seen = time.Now()
	st.mu.Unlock()
	timer := time.NewTimer(args.Wait)
	defer timer.Stop()
	select {
	case <-from.ready:
	case <-timer.C:
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	now := time.Now()
	from.seen = now
	st.dropSilent(now)
	reply.Outcomes = from.take()
}

func (st *steward) leave(who From) {
	st.mu.Lock()
	defer st.mu.Unlock()
	from := st.sessions[who.VM]
	if from == nil || from.id != who.Session {
		return
	}
	delete(st.sessions, who.VM)
	now := time.Now()
	st.pool.Forget(who.VM, now)
	st.decide(now)
}

// dropSilent forgets VMs that have not called for a while.
func (st *steward) dropSilent(now time.Time) {
	for vm, from := range st.sessions {
		if now.Sub(from.seen) < sessionSilence {
			continue
		}
		st.log.Warn("vm silent", "service", st.service, "vm", vm, "silent_ms", now.Sub(from.seen).Milliseconds())
		delete(st.sessions, vm)
		st.pool.Forget(vm, now)
	}
}

// decide hands the pool's outcomes to the sessions; the lock is held.
func (st *steward) decide(now time.Time) {
	for _, standing := range st.pool.Standings() {
		st.log.Info("endpoint judged", "service", st.service, "endpoint", standing.Endpoint, "runs", standing.Runs,
			"trouble", standing.Trouble, "slow", standing.Slow, "first_ms", standing.First.Milliseconds())
	}
	for _, outcome := range st.pool.Decide(now) {
		online, batch, running := st.pool.Counts()
		st.log.Info("slot decision", "ticket", outcome.Ticket, "vm", outcome.VM, "decision", outcome.Kind, "endpoint", outcome.Endpoint.ID,
			"online_waiting", online, "batch_waiting", batch, "running", running, "slots", st.pool.Slots(now), "vms", len(st.sessions))
		to := st.sessions[outcome.VM]
		if to == nil {
			continue
		}
		to.outcomes = append(to.outcomes, outcome)
		to.wake()
	}
	if st.watching || st.pool.Idle() {
		return
	}
	st.watching = true
	time.AfterFunc(watchPeriod, st.watch)
}

// watch decides again because time passed.
func (st *steward) watch() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.watching = false
	st.decide(time.Now())
}

func (st *steward) wakeAll() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, from := range st.sessions {
		from.wake()
	}
}

func (s *session) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

func (s *session) take() []Outcome {
	outcomes := s.outcomes
	s.outcomes = nil
	return outcomes
}

func (a Ask) ticket(args TellArgs, now time.Time) Ticket {
	return Ticket{
		ID:      a.ID,
		VM:      args.From.VM,
		Class:   a.Class,
		Rank:    a.Rank,
		Begun:   a.Begun,
		Start:   now.Add(a.StartIn),
		Expires: now.Add(a.ExpiresIn),
		Avoid:   a.Avoid,
		Domain:  args.Domain,
	}
}
