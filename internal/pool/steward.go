package pool

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/route"
)

// ErrNotReady means that the VM has not loaded the service's endpoints yet.
var ErrNotReady = errors.New("pool: not ready")

const (
	// sessionTimeout is how long after its last call a VM's tickets and runs are dropped: several times the longest
	// interval between two calls of a healthy VM.
	sessionTimeout = time.Second
	// recheckPeriod is how often expired tickets are looked for while any ticket waits; refusals may be that late.
	recheckPeriod = 50 * time.Millisecond
	// maxAnnounced bounds the endpoints that are remembered as announced.
	maxAnnounced = 1024
)

// Inventory is the part of the endpoint inventory that stewards use.
type Inventory interface {
	ForService(service route.Service) []inventory.Endpoint
	Loaded() bool
	// SetLeaving records that an endpoint takes no new work for the rest of the lifetime, and reports whether this was not
	// known; Leaving returns what was recorded.
	SetLeaving(service route.Service, lifetime inventory.Lifetime) bool
	Leaving(service route.Service) []inventory.Lifetime
}

// Stewards holds the pools for which this VM is the steward, one per service. It is the net/rpc service of the package.
type Stewards struct {
	inventory  Inventory
	quarantine Quarantine
	allowances *allowances
	log        *slog.Logger
	started    time.Time
	mu         sync.Mutex
	pools      map[route.Service]*steward
	retiring   bool
	adaptive   bool
}

// steward holds the pool of one service.
type steward struct {
	mu       sync.Mutex
	pool     *Pool
	sessions map[VMName]*session
	// vms is how many VMs use the pool with this steward or another one.
	vms vmCount
	// recheckScheduled means that recheck will run within recheckPeriod.
	recheckScheduled bool
	// admission is nil if the limits of organisations are not applied.
	admission *admission
	// announced holds the endpoints of which the VMs have been told that they leave.
	announced  map[inventory.Lifetime]bool
	inventory  Inventory
	quarantine Quarantine
	log        *slog.Logger
	service    route.Service
}

// session is the steward's state for one VM.
type session struct {
	id SessionID
	// domain is the VM's failure domain when it registered. It is not used: tickets take that of the update.
	domain inventory.Domain
	// lastCall is when the VM last made a call or finished one to Listen.
	lastCall time.Time
	// outcomes holds those that the VM has not received yet.
	outcomes []Outcome
	// quarantineChanged means that the VM has not received the latest changes of the list of parts that crash endpoints.
	quarantineChanged bool
	// leaving holds the endpoints that leave which the VM has not been told of, concurrency those with a new run limit.
	leaving     []inventory.Lifetime
	concurrency map[inventory.Lifetime]bool
	// ready holds a token while there is something to receive.
	ready chan struct{}
}

// NewStewards returns a Stewards without pools.
func NewStewards(list Inventory, listed Quarantine, log *slog.Logger) *Stewards {
	return &Stewards{
		inventory:  list,
		quarantine: listed,
		log:        log,
		started:    time.Now(),
		pools:      map[route.Service]*steward{},
	}
}

// Retire makes every VM use another steward.
func (s *Stewards) Retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retiring = true
	for _, st := range s.pools {
		st.wakeAll()
	}
}

// EndpointsChanged reads the endpoints of all pools from the inventory again.
func (s *Stewards) EndpointsChanged() {
	for _, st := range s.all() {
		st.setEndpoints(s.inventory.ForService(st.service))
	}
}

// QuarantineChanged reads the parts that crash endpoints from the list again and passes them on to the VMs.
func (s *Stewards) QuarantineChanged() {
	for _, st := range s.all() {
		st.quarantineChanged()
	}
}

func (s *Stewards) all() []*steward {
	s.mu.Lock()
	defer s.mu.Unlock()
	stewards := make([]*steward, 0, len(s.pools))
	for _, st := range s.pools {
		stewards = append(stewards, st)
	}
	return stewards
}

// Tell applies an update of a VM and returns the outcomes available at once.
func (s *Stewards) Tell(args UpdateArgs, reply *Reply) error {
	st, retiring, err := s.steward(args.From.Service)
	if err != nil {
		return err
	}
	for _, lifetime := range args.Leaving {
		s.inventory.SetLeaving(args.From.Service, lifetime)
		st.announceLeaving(lifetime)
	}
	st.applyUpdate(args, reply)
	reply.Retiring = retiring
	return nil
}

// Listen waits for outcomes and returns them.
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

// Ping fails if this VM can't hold the pool of the service yet, and replies whether it is retiring and how long it has run.
func (s *Stewards) Ping(args PingArgs, reply *Reply) error {
	_, retiring, err := s.steward(args.Service)
	reply.Retiring = retiring
	reply.Uptime = time.Since(s.started)
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

// steward returns the steward of the service, which it creates if needed, and whether this VM is retiring.
func (s *Stewards) steward(service route.Service) (*steward, bool, error) {
	if !s.inventory.Loaded() {
		return nil, false, ErrNotReady
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.pools[service]
	if st == nil {
		st = &steward{
			pool:       s.newPool(),
			sessions:   map[VMName]*session{},
			announced:  map[inventory.Lifetime]bool{},
			inventory:  s.inventory,
			quarantine: s.quarantine,
			log:        s.log,
			service:    service,
			admission:  s.newAdmission(service),
		}
		st.pool.SetEndpoints(s.inventory.ForService(service))
		st.readQuarantine(time.Now())
		s.pools[service] = st
	}
	return st, s.retiring, nil
}

func (st *steward) setEndpoints(list []inventory.Endpoint) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.SetEndpoints(list)
	st.decide(time.Now(), nil)
}

func (st *steward) applyUpdate(args UpdateArgs, reply *Reply) {
	if len(args.Quarantine) > 0 {
		st.quarantine.Learn(args.Quarantine)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	now := time.Now()
	sess := st.sessions[args.From.VM]
	if args.Full {
		st.restore(args, now)
		sess = st.register(args, now)
		st.pool.AddReport(args.Remembered, now)
		st.vms.receive(args.VMs, now)
		st.pool.takeOver(args.Concurrency, now)
		st.countSessions(now)
	}
	if sess == nil || sess.id != args.From.Session {
		reply.Unknown = true
		return
	}
	sess.lastCall = now
	for _, report := range args.Limits {
		st.pool.ObserveLimit(report, now)
	}
	for _, observation := range args.Seen {
		st.pool.Observe(args.From.VM, observation.ID, observation.Trouble, observation.First, now)
	}
	st.returnTokens(&args, now)
	for _, returned := range args.Returned {
		st.pool.End(args.From.VM, returned.ID, Ending{
			Trouble:  returned.Trouble,
			Complete: returned.Complete,
			Begun:    returned.Begun,
			Answered: returned.Answered,
		}, now)
	}
	for _, id := range args.Withdrawn {
		st.pool.Release(args.From.VM, id, TroubleUnknown, now)
	}
	for _, held := range args.Held {
		st.pool.AddRun(held.Ask.ticket(args, now), held.Endpoint, now)
	}
	for i := range args.Asks {
		if st.admit(&args.Asks[i], args, sess, now) {
			st.pool.Enqueue(args.Asks[i].ticket(args, now), now)
		}
	}
	st.decide(now, sess)
	st.takeNews(sess, reply)
}

// register starts a session and drops the tickets and runs of the VM's previous one.
func (st *steward) register(args UpdateArgs, now time.Time) *session {
	if old := st.sessions[args.From.VM]; old != nil {
		old.wake()
		st.pool.DropVM(args.From.VM, now)
	}
	sess := &session{
		id:       args.From.Session,
		domain:   args.Domain,
		lastCall: now,
		ready:    make(chan struct{}, 1),
		// The VM may have missed earlier changes.
		quarantineChanged: true,
		leaving:           st.inventory.Leaving(st.service),
		concurrency:       st.pool.registered(args.Concurrency),
	}
	st.sessions[args.From.VM] = sess
	st.log.Info("vm registered", "service", st.service, "vm", args.From.VM, "held", len(args.Held), "asks", len(args.Asks), "vms", len(st.sessions))
	return sess
}

func (st *steward) listen(args ListenArgs, reply *Reply) {
	st.mu.Lock()
	sess := st.sessions[args.From.VM]
	if sess == nil || sess.id != args.From.Session {
		st.mu.Unlock()
		reply.Unknown = true
		return
	}
	sess.lastCall = time.Now()
	st.mu.Unlock()
	timer := time.NewTimer(args.Wait)
	defer timer.Stop()
	select {
	case <-sess.ready:
	case <-timer.C:
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	now := time.Now()
	sess.lastCall = now
	st.dropSilent(now)
	st.takeNews(sess, reply)
}

func (st *steward) leave(from Sender) {
	st.mu.Lock()
	defer st.mu.Unlock()
	sess := st.sessions[from.VM]
	if sess == nil || sess.id != from.Session {
		return
	}
	delete(st.sessions, from.VM)
	now := time.Now()
	st.pool.DropVM(from.VM, now)
	st.cancelReservations(from.VM, now)
	st.countSessions(now)
	st.decide(now, nil)
}

// dropSilent drops the sessions of VMs that have not called within sessionTimeout, and counts the others.
func (st *steward) dropSilent(now time.Time) {
	for vm, sess := range st.sessions {
		if now.Sub(sess.lastCall) < sessionTimeout {
			continue
		}
		st.log.Warn("vm silent", "service", st.service, "vm", vm, "silent_ms", now.Sub(sess.lastCall).Milliseconds())
		delete(st.sessions, vm)
		st.pool.DropVM(vm, now)
		st.cancelReservations(vm, now)
	}
	st.countSessions(now)
}

// decide delivers the pool's decisions to the sessions. It does not wake the calls to Listen of the session answered,
// unless that is nil, because the answer to another call carries its outcomes. The lock must be held.
func (st *steward) decide(now time.Time, answered *session) {
	for _, assessment := range st.pool.Assessments() {
		st.log.Info("endpoint judged", "service", st.service, "endpoint", assessment.Endpoint, "runs", assessment.Runs,
			"trouble", assessment.Trouble, "slow", assessment.Slow, "first_ms", assessment.First.Milliseconds(),
			"limited", assessment.Limit.Named, "per_s", assessment.Limit.Rate)
	}
	st.noteConcurrency()
	st.judge(now)
	outcomes := st.pool.Decide(now)
	online, batch, running := st.pool.Counts()
	slots := 0
	if len(outcomes) > 0 {
		slots = st.pool.Slots(now)
	}
	for _, outcome := range outcomes {
		outcome.logger(st.log).Info("slot decision", "ticket", outcome.Ticket, "vm", outcome.VM, "decision", outcome.Kind, "endpoint", outcome.Endpoint.ID,
			"online_waiting", online, "batch_waiting", batch, "running", running, "slots", slots, "vms", len(st.sessions))
		st.settle(&outcome, now)
		sess := st.sessions[outcome.VM]
		if sess == nil {
			continue
		}
		sess.outcomes = append(sess.outcomes, outcome)
		if sess != answered {
			sess.wake()
		}
	}
	if st.recheckScheduled || st.pool.Idle() {
		return
	}
	st.recheckScheduled = true
	time.AfterFunc(recheckPeriod, st.recheck)
}

// recheck runs decide again after recheckPeriod, as tickets may have expired.
func (st *steward) recheck() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.recheckScheduled = false
	st.decide(time.Now(), nil)
}

func (st *steward) wakeAll() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, sess := range st.sessions {
		sess.wake()
	}
}

func (s *session) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}
