package pool

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/route"
)

const (
	// listenWait is how long a call for outcomes waits at the steward; with callSlack it bounds how late a
	// steward that went silent is noticed, inside the 300 ms that callers expect a first token in.
	listenWait = 150 * time.Millisecond
	// callSlack is how much longer than its wait a call to a steward may take: two ways between failure domains
	// and the work of a busy VM.
	callSlack = 120 * time.Millisecond
	// suspectFor is for how long a steward that failed to answer is passed over.
	suspectFor = time.Second
	// notReadyFor is for how long one is passed over that has only just started and reads the endpoints yet.
	notReadyFor = 30 * time.Millisecond
	// probeMost is how many VMs are asked at once whether they can hold the pool.
	probeMost = 4
	// probeGrace is how long a VM with a better rank is waited for once another one has answered: several times
	// the way between failure domains and back.
	probeGrace = 20 * time.Millisecond
	// reviewPeriod is how often a VM looks whether a steward with a better rank answers again.
	reviewPeriod = 250 * time.Millisecond
)

// Member is a VM that may be a steward.
type Member struct {
	VM      VMName
	Address string
}

// Members knows the VMs of the system.
type Members interface {
	// Ranked returns the VMs in the order in which they should be the service's steward, this VM among them.
	Ranked(service route.Service) []Member
}

// Caller calls methods of other VMs.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Refused means that the pool gives no slot in time.
type Refused struct {
	RetryAfter time.Duration
}

// Error says so.
func (r *Refused) Error() string {
	return "pool: no slot in time"
}

// Wish asks for a slot.
type Wish struct {
	ID      TicketID
	Class   Class
	Rank    int
	Start   time.Time
	Expires time.Time
	Avoid   []inventory.ID
}

// Slot is a right to run one request at an endpoint.
type Slot struct {
	// Endpoint is as the steward knows it.
	Endpoint inventory.Endpoint
	client   *Client
	id       TicketID
	revoked  chan struct{}
}

// Revoked is closed when the slot should be given back.
func (s *Slot) Revoked() <-chan struct{} {
	return s.revoked
}

// Release gives the slot back, with what was seen of the endpoint.
func (s *Slot) Release(trouble Trouble) {
	s.client.release(s.id, trouble)
}

// wish is a ticket's state at its VM.
type wish struct {
	Wish
	granted bool
	refused *Refused
	slot    *Slot
	done    chan struct{}
	revoked bool
}

// Client asks the steward of one service for slots.
type Client struct {
	self    Member
	domain  inventory.Domain
	service route.Service
	members Members
	caller  Caller
	local   *Stewards
	log     *slog.Logger

	mu        sync.Mutex
	wishes    map[TicketID]*wish
	asks      []TicketID
	returned  []Returned
	withdrawn []TicketID
	session   Session
	suspects  map[VMName]time.Time
	steward   VMName
	wake      chan struct{}
}

// NewClient returns a client of the service's pool; Run must run for slots to be granted.
func NewClient(self Member, domain inventory.Domain, service route.Service, members Members, caller Caller, local *Stewards, log *slog.Logger) *Client {
	return &Client{
		self:     self,
		domain:   domain,
		service:  service,
		members:  members,
		caller:   caller,
		local:    local,
		log:      log,
		wishes:   map[TicketID]*wish{},
		suspects: map[VMName]time.Time{},
		wake:     make(chan struct{}, 1),
	}
}

// Acquire waits for a slot. It returns *Refused if there is none in time, or the error of ctx.
func (c *Client) Acquire(ctx context.Context, ask Wish) (*Slot, error) {
	w := &wish{
		Wish: ask,
		done: make(chan struct{}),
	}
	c.mu.Lock()
	c.wishes[ask.ID] = w
	c.asks = append(c.asks, ask.ID)
	c.mu.Unlock()
	c.signal()
	timer := time.NewTimer(time.Until(ask.Expires) + watchPeriod)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.granted {
		return w.slot, nil
	}
	if w.refused != nil {
		return nil, w.refused
	}
	delete(c.wishes, ask.ID)
	c.withdrawn = append(c.withdrawn, ask.ID)
	c.signal()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return nil, &Refused{
		RetryAfter: retryAfter,
	}
}

// Steward returns the VM that holds the pool, as this VM sees it.
func (c *Client) Steward() VMName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steward
}

func (c *Client) release(id TicketID, trouble Trouble) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wishes[id] == nil {
		return
	}
	delete(c.wishes, id)
	c.returned = append(c.returned, Returned{
		ID:      id,
		Trouble: trouble,
	})
	c.signal()
}

func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run keeps a session with the best steward that answers until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		to := c.elect(ctx)
		err := c.serve(ctx, to)
		if err != nil && ctx.Err() == nil {
			c.suspect(to.VM, err)
		}
	}
}

// candidates returns the VMs that are not suspected, the best first, or this VM if all are.
func (c *Client) candidates() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var able []Member
	for _, m := range c.members.Ranked(c.service) {
		if now.After(c.suspects[m.VM]) {
			able = append(able, m)
		}
	}
	if len(able) == 0 {
		return []Member{c.self}
	}
	return able
}

// elect asks the best candidates all at once, as some may be gone without a sign, and returns the best that answers.
func (c *Client) elect(ctx context.Context) Member {
	able := c.candidates()
	able = able[:min(probeMost, len(able))]
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	answered := make([]chan error, len(able))
	first := make(chan struct{}, len(able))
	for i, m := range able {
		answered[i] = make(chan error, 1)
		go func() {
			err := c.ping(ctx, m)
			if err == nil {
				first <- struct{}{}
			}
			answered[i] <- err
		}()
	}
	grace := make(chan struct{})
	go func() {
		select {
		case <-first:
			pause(ctx, probeGrace)
		case <-ctx.Done():
		}
		close(grace)
	}()
	for i, m := range able {
		if err := answerWithin(answered[i], grace); err != nil {
			c.suspect(m.VM, err)
			continue
		}
		return m
	}
	return c.self
}

// answerWithin returns an answer, or errSlow if there is none when the grace ends.
func answerWithin(answered <-chan error, grace <-chan struct{}) error {
	select {
	case err := <-answered:
		return err
	case <-grace:
	}
	select {
	case err := <-answered:
		return err
	default:
		return errSlow
	}
}

func (c *Client) ping(ctx context.Context, m Member) error {
	var reply Reply
	if err := c.call(ctx, m, MethodPing, PingArgs{Service: c.service}, &reply); err != nil {
		return err
	}
	if reply.Retiring {
		return errRetiring
	}
	return nil
}

func (c *Client) suspect(vm VMName, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := suspectFor
	// Errors keep no more than their text on the way between VMs.
	if strings.Contains(err.Error(), ErrNotReady.Error()) {
		rest = notReadyFor
	}
	c.suspects[vm] = time.Now().Add(rest)
	c.log.Warn("steward lost", "service", c.service, "steward", vm, "rest_ms", rest.Milliseconds(), "err", err)
}

// errRetiring and errUnknown end a session with a steward that is well; errSlow passes over one that others outran.
var (
	errRetiring = errors.New("pool: steward retires")
	errUnknown  = errors.New("pool: steward does not know the session")
	errSlow     = errors.New("pool: steward answers late")
)

// serve keeps a session with a steward until it fails or a better one is at hand.
func (c *Client) serve(ctx context.Context, to Member) error {
	session := Session(rand.Uint64())
	full := c.full(session, to.VM)
	if err := c.tell(ctx, to, full); err != nil {
		if to.VM == c.self.VM {
			// Nobody else answers and this VM does not know the endpoints yet.
			pause(ctx, notReadyFor)
		}
		return err
	}
	c.log.Info("steward chosen", "service", c.service, "steward", to.VM, "held", len(full.Held), "asks", len(full.Asks))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var listening sync.WaitGroup
	listening.Go(func() {
		c.listen(ctx, cancel, to, full.From)
	})
	defer listening.Wait()
	err := c.talk(ctx, to, full.From)
	cancel(err)
	return err
}

// talk tells the steward what changes.
func (c *Client) talk(ctx context.Context, to Member, from From) error {
	better := make(chan struct{})
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go c.review(ctx, to, better)
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-c.wake:
			if err := c.tell(ctx, to, c.changes(from)); err != nil {
				return err
			}
		case <-better:
			c.leave(ctx, to, from)
			return nil
		}
	}
}

// review closes better once a VM with a better rank can hold the pool. It asks beside the talk, which it must not hold up.
func (c *Client) review(ctx context.Context, steward Member, better chan<- struct{}) {
	for ctx.Err() == nil {
		pause(ctx, reviewPeriod)
		if ctx.Err() == nil && c.outranked(ctx, steward) {
			close(better)
			return
		}
	}
}

// outranked says whether a VM with a better rank than the steward's can hold the pool.
func (c *Client) outranked(ctx context.Context, steward Member) bool {
	best := c.candidates()[0]
	if best.VM == steward.VM {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	err := c.ping(ctx, best)
	if err != nil && !errors.Is(err, context.Canceled) {
		c.suspect(best.VM, err)
	}
	return err == nil
}

func (c *Client) leave(ctx context.Context, to Member, from From) {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	if err := c.call(ctx, to, MethodLeave, LeaveArgs{From: from}, &Reply{}); err != nil {
		c.log.Info("steward not told of leaving", "service", c.service, "steward", to.VM, "err", err)
	}
}

func (c *Client) listen(ctx context.Context, cancel context.CancelCauseFunc, to Member, from From) {
	for ctx.Err() == nil {
		var reply Reply
		call, done := context.WithTimeout(ctx, listenWait+callSlack)
		err := c.call(call, to, MethodListen, ListenArgs{
			From: from,
			Wait: listenWait,
		}, &reply)
		done()
		if err == nil {
			err = c.take(from.Session, reply)
		}
		if err != nil {
			cancel(err)
			return
		}
	}
}

func (c *Client) tell(ctx context.Context, to Member, args TellArgs) error {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	var reply Reply
	if err := c.call(ctx, to, MethodTell, args, &reply); err != nil {
		return err
	}
	return c.take(args.From.Session, reply)
}

// call calls a steward; the one on this VM without the network.
func (c *Client) call(ctx context.Context, to Member, method string, args any, reply *Reply) error {
	if to.VM != c.self.VM {
		return c.caller.Call(ctx, to.Address, method, args, reply)
	}
	switch a := args.(type) {
	case TellArgs:
		return c.local.Tell(a, reply)
	case ListenArgs:
		return c.local.Listen(a, reply)
	case LeaveArgs:
		return c.local.Leave(a, reply)
	case PingArgs:
		return c.local.Ping(a, reply)
	}
	return errUnknown
}

// full returns everything that a steward must know, and starts a session.
func (c *Client) full(session Session, steward VMName) TellArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = session
	c.steward = steward
	c.asks = nil
	c.returned = nil
	c.withdrawn = nil
	args := TellArgs{
		From: From{
			Service: c.service,
			VM:      c.self.VM,
			Session: session,
		},
		Full:   true,
		Domain: c.domain,
	}
	now := time.Now()
	for _, w := range c.wishes {
		if w.refused != nil {
			continue
		}
		if !w.granted {
			args.Asks = append(args.Asks, w.ask(now))
			continue
		}
		args.Held = append(args.Held, Held{
			Ask:      w.ask(now),
			Endpoint: w.slot.Endpoint.ID,
		})
	}
	return args
}

// changes returns what the steward does not know yet.
func (c *Client) changes(from From) TellArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	args := TellArgs{
		From:      from,
		Domain:    c.domain,
		Returned:  c.returned,
		Withdrawn: c.withdrawn,
	}
	now := time.Now()
	for _, id := range c.asks {
		if w := c.wishes[id]; w != nil && !w.granted {
			args.Asks = append(args.Asks, w.ask(now))
		}
	}
	c.asks = nil
	c.returned = nil
	c.withdrawn = nil
	return args
}

// take applies the outcomes of a session that is still the current one.
func (c *Client) take(session Session, reply Reply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != session {
		return nil
	}
	for _, outcome := range reply.Outcomes {
		c.apply(outcome)
	}
	if reply.Unknown {
		return errUnknown
	}
	if reply.Retiring {
		return errRetiring
	}
	return nil
}

func (c *Client) apply(outcome Outcome) {
	w := c.wishes[outcome.Ticket]
	if w == nil {
		if outcome.Kind == OutcomeGrant {
			c.withdrawn = append(c.withdrawn, outcome.Ticket)
			c.signal()
		}
		return
	}
	switch outcome.Kind {
	case OutcomeGrant:
		if w.granted {
			return
		}
		w.granted = true
		w.slot = &Slot{
			Endpoint: outcome.Endpoint,
			client:   c,
			id:       outcome.Ticket,
			revoked:  make(chan struct{}),
		}
		if w.revoked {
			close(w.slot.revoked)
		}
		close(w.done)
	case OutcomeRevoke:
		if w.revoked {
			return
		}
		w.revoked = true
		if w.granted {
			close(w.slot.revoked)
		}
	case OutcomeRefuse:
		if w.granted {
			return
		}
		w.refused = &Refused{
			RetryAfter: outcome.RetryAfter,
		}
		delete(c.wishes, outcome.Ticket)
		close(w.done)
	}
}

func (w *wish) ask(now time.Time) Ask {
	return Ask{
		ID:        w.ID,
		Class:     w.Class,
		Rank:      w.Rank,
		StartIn:   w.Start.Sub(now),
		ExpiresIn: w.Expires.Sub(now),
		Avoid:     w.Avoid,
	}
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
