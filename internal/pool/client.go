package pool

import (
	"context"
	"errors"
	"log/slog"
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
	Begun   bool
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

// Observe tells the steward what was seen of the run: the time until its first event, or a trouble in spite of which it
// goes on.
func (s *Slot) Observe(trouble Trouble, first time.Duration) {
	s.client.observe(Seen{
		ID:      s.id,
		Trouble: trouble,
		First:   first,
	})
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
	seen      []Seen
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

// observe tells a trouble at once, and times with what is told next.
func (c *Client) observe(seen Seen) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, seen)
	if seen.Trouble != TroubleNone {
		c.signal()
	}
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

// errRetiring and errUnknown end a session with a steward that is well; errSlow passes over one that others outran.
var (
	errRetiring = errors.New("pool: steward retires")
	errUnknown  = errors.New("pool: steward does not know the session")
	errSlow     = errors.New("pool: steward answers late")
)

// pause waits, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
