package pool

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/allowance"
	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/prompt"
	"rhubarbrudder/internal/quarantine"
	"rhubarbrudder/internal/route"
)

const (
	// listenWait is how long a Listen call waits at the steward, which gets these calls from all VMs. Together with
	// callSlack it bounds the time until a VM that sends nothing detects an unresponsive steward.
	listenWait = 300 * time.Millisecond
	// waitingCheckPeriod is how often a VM makes a call to the steward while an online request waits. Together with
	// callSlack it must be below 300 ms, the time in which callers expect the first token.
	waitingCheckPeriod = 150 * time.Millisecond
	// callSlack is how much longer than its wait a call to a steward may take: a round trip between failure domains
	// and the processing delay of a busy VM.
	callSlack = 120 * time.Millisecond
	// suspectFor is how long a VM that failed as the steward is not elected again.
	suspectFor = time.Second
	// suspectLogPause is how long a VM that is suspected again and again is not logged again.
	suspectLogPause = time.Minute
	// notReadyFor is how long a VM that is still loading the endpoints after its start is not elected again. It is also
	// the pause before this VM tries itself again as the steward.
	notReadyFor = 30 * time.Millisecond
	// maxProbes is how many VMs are pinged at once, at first, when a steward is chosen.
	maxProbes = 4
	// probeGrowth is the factor by which that number grows as long as none answers. A VM that is cut off from all others is
	// its own steward after a few rounds of callSlack.
	probeGrowth = 16
	// probeGrace is how long the pings of higher-ranked VMs are waited for once another VM has answered: several
	// round trips between failure domains.
	probeGrace = 20 * time.Millisecond
	// rankingPeriod is how often a VM checks whether a higher-ranked steward answers again.
	rankingPeriod = 250 * time.Millisecond
)

// Member is a VM that may be a steward.
type Member struct {
	VM      VMName
	Address string
}

// Members lists the VMs of the system.
type Members interface {
	// Ranked returns all VMs, including this one, in the order in which they are preferred as the service's steward.
	Ranked(service route.Service) []Member
	// ObserveUptime records that a VM has run for the time. VMs that have just started are ranked last.
	ObserveUptime(vm VMName, uptime time.Duration)
}

// Caller calls methods of other VMs.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Refused is the error for a request that gets no slot in time, or none because it may crash endpoints.
type Refused struct {
	RetryAfter time.Duration
	// Withheld means that endpoints crash at a part of the request's prompt.
	Withheld bool
	// OverAllowance means that the organisation has used up its allowance until RetryAfter has passed.
	OverAllowance bool
}

// Error returns the message.
func (r *Refused) Error() string {
	switch {
	case r.Withheld:
		return "pool: request withheld, endpoints crash at a part of its prompt"
	case r.OverAllowance:
		return "pool: the organisation's allowance is used up"
	}
	return "pool: no slot in time"
}

// SlotRequest describes a request for a slot to a Client. The fields have the same meaning as in Ticket, whose comment
// lists the other forms of a request.
type SlotRequest struct {
	ID      TicketID
	Class   Class
	Rank    int
	Begun   bool
	Start   time.Time
	Expires time.Time
	Avoid   []inventory.ID
	Prompt  []prompt.PartID
	// Organisation is empty if the deployment has no organisations.
	Organisation route.OrganisationID
	Cost         Cost
	Admitted     bool
}

// Slot is the right to run one request at an endpoint.
type Slot struct {
	// Endpoint is the endpoint as listed at the steward.
	Endpoint inventory.Endpoint
	client   *Client
	id       TicketID
	granted  time.Time
	// limited means that the steward knew a limit of the endpoint, learning that it learns how many runs it takes.
	limited  bool
	learning bool
	revoked  chan struct{}
}

// Revoked returns a channel that is closed when the slot should be returned.
func (s *Slot) Revoked() <-chan struct{} {
	return s.revoked
}

// Release returns the slot and reports the failure observed at the endpoint, or TroubleNone.
func (s *Slot) Release(trouble Trouble) {
	s.End(Ending{
		Trouble: trouble,
	})
}

// End returns the slot and reports how the run ended.
func (s *Slot) End(ending Ending) {
	s.client.release(s.id, ending)
}

// Observe reports to the steward what was observed of a run that continues: the time to its first event, or a failure.
func (s *Slot) Observe(trouble Trouble, first time.Duration) {
	s.client.observe(Observation{
		ID:      s.id,
		Trouble: trouble,
		First:   first,
	}, trouble != TroubleNone || s.learning)
}

// ObserveLeaving records that an answer in this slot says that the endpoint leaves. From now on no request is sent there from
// this VM, and the steward is told.
func (s *Slot) ObserveLeaving() {
	s.client.observeLeaving(s.Endpoint.Lifetime())
}

func (c *Client) observeLeaving(lifetime inventory.Lifetime) {
	if !c.local.inventory.SetLeaving(c.service, lifetime) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = append(c.leaving, lifetime)
	c.wakeSender()
}

// pendingRequest is the state of a request from the call of Acquire until it is refused or withdrawn, or its slot is
// released.
type pendingRequest struct {
	SlotRequest
	// granted means that slot is set; refused is nil unless the request was refused.
	granted bool
	refused *Refused
	slot    *Slot
	// admitOnly means that the request gets no slot here and is only to be counted; countedBy is the ledger that did, or zero.
	admitOnly bool
	countedBy allowance.LedgerID
	// done is closed when the request is granted or refused.
	done chan struct{}
	// revoked means that the slot should be returned. The revocation may arrive before the grant, in the reply to
	// another call.
	revoked bool
}

// Client requests slots from the steward of one service.
type Client struct {
	self    Member
	domain  inventory.Domain
	service route.Service
	members Members
	caller  Caller
	// local is used, without the network, if this VM is the steward.
	local      *Stewards
	quarantine Quarantine
	log        *slog.Logger

	mu       sync.Mutex
	requests map[TicketID]*pendingRequest
	// unsent holds the requests, and observations, returned and withdrawn what else goes into the next update to the
	// steward.
	unsent       []TicketID
	observations []Observation
	returned     []ReturnedSlot
	withdrawn    []TicketID
	// unused holds the organisations of counted requests that do not run, for the next update.
	unused []route.OrganisationID
	// limits holds the limits that endpoints have named in their answers to this VM.
	limits map[inventory.Lifetime]namedLimit
	// limitChanges holds the endpoints whose limits go into the next update.
	limitChanges []inventory.Lifetime
	// belowSlots holds the run limits below the slots, as stewards have told.
	belowSlots map[inventory.ID]knownConcurrency
	// leaving holds the endpoints that have said that they leave, for the next update.
	leaving []inventory.Lifetime
	// vms is how many VMs use the pool.
	vms vmCount
	// memory holds what the next steward is told about the parts of prompts.
	memory quarantine.Memory
	// session is the current session, or the last one; replies of others are ignored.
	session SessionID
	// suspects holds the VMs that failed as the steward, with the time until which they are not elected again.
	suspects map[VMName]time.Time
	// steward is the VM of that session.
	steward VMName
	// wake holds a token while an update should be sent.
	wake chan struct{}
}

// NewClient returns a client of the service's pool. Slots are granted only while Run runs.
func NewClient(self Member, domain inventory.Domain, service route.Service, members Members, caller Caller, local *Stewards, listed Quarantine, log *slog.Logger) *Client {
	return &Client{
		self:       self,
		domain:     domain,
		service:    service,
		members:    members,
		caller:     caller,
		local:      local,
		quarantine: listed,
		log:        log,
		requests:   map[TicketID]*pendingRequest{},
		suspects:   map[VMName]time.Time{},
		limits:     map[inventory.Lifetime]namedLimit{},
		belowSlots: map[inventory.ID]knownConcurrency{},
		wake:       make(chan struct{}, 1),
	}
}

// Acquire waits for a slot. It returns *Refused if there is none in time, or the error of ctx if that ends first.
func (c *Client) Acquire(ctx context.Context, request SlotRequest) (*Slot, error) {
	if term := c.quarantine.WithheldFor(c.service, request.Prompt); term > 0 {
		return nil, &Refused{
			RetryAfter: term,
			Withheld:   true,
		}
	}
	r := &pendingRequest{
		SlotRequest: request,
		done:        make(chan struct{}),
	}
	if err := c.await(ctx, r); err != nil {
		return nil, err
	}
	return r.slot, nil
}

// await waits until a request is granted; the error is that of Acquire.
func (c *Client) await(ctx context.Context, r *pendingRequest) error {
	request := r.SlotRequest
	if refused := c.local.allowances.refusal(request); refused != nil {
		return refused
	}
	c.mu.Lock()
	c.requests[request.ID] = r
	c.unsent = append(c.unsent, request.ID)
	c.mu.Unlock()
	c.wakeSender()
	// The steward refuses an expired ticket only at its next check, up to recheckPeriod later.
	timer := time.NewTimer(time.Until(request.Expires) + recheckPeriod)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.granted {
		return nil
	}
	if r.refused != nil {
		return r.refused
	}
	delete(c.requests, request.ID)
	c.withdrawn = append(c.withdrawn, request.ID)
	c.wakeSender()
	if err := ctx.Err(); err != nil {
		return err
	}
	return &Refused{
		RetryAfter: defaultRetryAfter,
	}
}

// Steward returns the VM that this VM uses as the steward.
func (c *Client) Steward() VMName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steward
}

func (c *Client) release(id TicketID, ending Ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	delete(c.requests, id)
	if r.slot != nil {
		c.remember(r, ending)
	}
	c.returned = append(c.returned, ReturnedSlot{
		ID:       id,
		Trouble:  ending.Trouble,
		Complete: ending.Complete,
		Begun:    ending.Begun,
		Answered: ending.Answered,
	})
	c.wakeSender()
}

// remember keeps what the end of a run says about the parts of its prompt. The lock must be held.
func (c *Client) remember(r *pendingRequest, ending Ending) {
	now := time.Now()
	if ending.Sound() {
		c.memory.AddAnswer(r.Prompt, now)
	}
	if ending.Trouble == TroubleCrashed {
		c.memory.AddCrash(r.slot.Endpoint.Lifetime(), ending.lostRun(r.Prompt, r.slot.granted), now)
	}
}

// observe queues an observation. It is sent at once if it is urgent, otherwise with the next update.
func (c *Client) observe(observation Observation, urgent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations = append(c.observations, observation)
	if urgent {
		c.wakeSender()
	}
}

// wakeSender wakes the goroutine that sends changes to the steward.
func (c *Client) wakeSender() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run keeps a session with the highest-ranked steward that answers, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		steward := c.elect(ctx)
		err := c.runSession(ctx, steward)
		if err != nil && ctx.Err() == nil && !c.answers(ctx, steward, err) {
			c.suspect(steward.VM, err)
		}
	}
}

// errRetiring and errUnknownSession end a session although the steward answers. errSlow means that a ping was not
// answered within callSlack, or within probeGrace of the first answer of another VM.
var (
	errRetiring       = errors.New("pool: steward is retiring")
	errUnknownSession = errors.New("pool: steward does not know the session")
	errSlow           = errors.New("pool: steward answered too late")
)

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
