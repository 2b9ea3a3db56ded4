// Package pool decides which request runs at which endpoint of a service, and when. One VM, the pool's steward, holds
// the one queue of a pool; what it knows is told anew by the VMs when another VM takes over.
package pool

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrudder/internal/inventory"
)

type (
	// TicketID names one wish of a VM for a slot.
	TicketID string
	// VMName names a VM of the system.
	VMName string
)

// Class separates callers that wait for their answer from work that is due later.
type Class int

const (
	// ClassOnline is for callers that wait.
	ClassOnline Class = iota
	// ClassBatch is for items of batch jobs.
	ClassBatch
)

// Ticket asks for a slot at an endpoint.
type Ticket struct {
	ID    TicketID
	VM    VMName
	Class Class
	// Rank orders online tickets by urgency before their time; zero is the most urgent.
	Rank int
	// Begun says that the caller has part of its answer already: it is not refused before its time, nor kept waiting for
	// those who have nothing yet.
	Begun bool
	// Start is until when a run must begin to be on time.
	Start time.Time
	// Expires is when the ticket is refused if it has no slot.
	Expires time.Time
	// Avoid lists endpoints at which the request failed before.
	Avoid []inventory.ID
	// Domain is the VM's failure domain; an endpoint there is preferred among equals.
	Domain inventory.Domain
}

// key tells tickets apart: two VMs may ask for the same request, as when a job changes its owner.
type key struct {
	vm VMName
	id TicketID
}

func (t Ticket) key() key {
	return key{
		vm: t.VM,
		id: t.ID,
	}
}

// run is a ticket that holds a slot.
type run struct {
	ticket   Ticket
	endpoint inventory.ID
	since    time.Time
	// revoked is when its holder was told to give the slot back; zero if it was not.
	revoked time.Time
}

// OutcomeKind is what an outcome decides.
type OutcomeKind int

const (
	// OutcomeGrant gives a ticket a slot.
	OutcomeGrant OutcomeKind = iota
	// OutcomeRevoke asks for the slot of a batch run back.
	OutcomeRevoke
	// OutcomeRefuse says that a ticket gets no slot in its time.
	OutcomeRefuse
)

// String names the decision, for logs.
func (k OutcomeKind) String() string {
	switch k {
	case OutcomeGrant:
		return "grant"
	case OutcomeRevoke:
		return "revoke"
	case OutcomeRefuse:
		return "refuse"
	}
	return "unknown"
}

// Outcome is a decision for a VM.
type Outcome struct {
	Kind   OutcomeKind
	VM     VMName
	Ticket TicketID
	// Endpoint is where a granted ticket runs.
	Endpoint inventory.Endpoint
	// RetryAfter is when it makes sense to ask again after a refusal.
	RetryAfter time.Duration
}

// Trouble is what a VM saw at an endpoint.
type Trouble int

const (
	// TroubleNone means that all was well.
	TroubleNone Trouble = iota
	// TroubleUnreachable means that no connection could be made.
	TroubleUnreachable
	// TroubleBroken means that a connection broke off or went silent.
	TroubleBroken
	// TroubleSilent means that the endpoint sent nothing for too long.
	TroubleSilent
	// TroubleFull means that the endpoint turned a request away.
	TroubleFull
	// TroubleLeaving means that the VM knows of the endpoint's departure.
	TroubleLeaving
	// TroubleUnknown means that the run ended for a reason that says nothing about the endpoint.
	TroubleUnknown
)

// String names the trouble, for logs.
func (t Trouble) String() string {
	names := map[Trouble]string{
		TroubleNone:        "none",
		TroubleUnreachable: "unreachable",
		TroubleBroken:      "broken",
		TroubleSilent:      "silent",
		TroubleFull:        "full",
		TroubleLeaving:     "leaving",
		TroubleUnknown:     "unknown",
	}
	return names[t]
}

const (
	// retryAfter is the pause that a refused caller is asked to make where nothing better is known: about the time in
	// which a full pool turns over once, as a generation takes about a second.
	retryAfter = 500 * time.Millisecond
	// retryLeast and retryMost bound it: a shorter pause meets the same queue, and callers wait no longer than a third
	// of the few seconds that they have.
	retryLeast = 200 * time.Millisecond
	retryMost  = 1500 * time.Millisecond
	// firstRun is taken for the length of an online run until some were seen.
	firstRun = 800 * time.Millisecond
	// runWeight is the weight of the newest run in their average length: some fifty runs count, about a second's.
	runWeight = 0.02
	// firstWeight is the weight of the newest time to a first event in the mean of all endpoints, ownFirstWeight in
	// that of one: fifty requests count for all, the last three for one.
	firstWeight    = 0.02
	ownFirstWeight = 0.3
	// slowTimes is how many times the mean an endpoint's first events take before others are preferred: beyond what
	// a full batch or a long prompt does to a single one.
	slowTimes = 2
	// slowKept is for how long an endpoint counts as slow without a new sign.
	slowKept = 2 * time.Second
	// arrivalsOver is the time over which online arrivals are counted: shorter than a rise, longer than its noise.
	arrivalsOver = 500 * time.Millisecond
	// spareLeast is the least part of all slots that late requests are expected to get while those that can be
	// on time go first.
	spareLeast = 0.3
	// arrivalsLeast is how many arrivals must be counted for their rate to say anything.
	arrivalsLeast = 8
	// silentMost is which part of all endpoints, one in so many, may be on trial before silence stops to count: some
	// fail at once, as those of a failure domain do; more have a common cause.
	silentMost = 3
	// trustStep is by what the runs that an endpoint may have after trouble grow with each success.
	trustStep = 2
	// restUnreachable, restBroken and restFull are for how long an endpoint gets no new work after trouble; each
	// further trouble in a row doubles it up to restMost.
	restUnreachable = 500 * time.Millisecond
	restBroken      = 100 * time.Millisecond
	restFull        = 50 * time.Millisecond
	restMost        = 2 * time.Second
)

// Pool is the queue and the slots of one service. It is not safe for use by several goroutines.
type Pool struct {
	endpoints map[inventory.ID]*endpoint
	order     []*endpoint
	online    []Ticket
	batch     []Ticket
	waiting   map[key]Class
	runs      map[key]*run
	outcomes  []Outcome
	standings []Standing
	turn      int
	// meanRun is the average length of online runs.
	meanRun time.Duration
	// meanFirst is the average time from an online request's grant to its first event, over all endpoints.
	meanFirst time.Duration
	// arrivals is the number of online asks in the last arrivalsOver, decaying, as of countedAt.
	arrivals  float64
	countedAt time.Time
}

// New returns a pool without endpoints.
func New() *Pool {
	return &Pool{
		endpoints: map[inventory.ID]*endpoint{},
		waiting:   map[key]Class{},
		runs:      map[key]*run{},
		meanRun:   firstRun,
	}
}

// SetEndpoints takes the service's endpoints. Those that left keep their runs but get no new ones.
func (p *Pool) SetEndpoints(list []inventory.Endpoint) {
	listed := make(map[inventory.ID]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		known := p.endpoints[e.ID]
		if known == nil {
			known = &endpoint{}
			p.endpoints[e.ID] = known
			for _, r := range p.runs {
				if r.endpoint == e.ID {
					known.running++
				}
			}
		}
		if known.Born != e.Born {
			known.troubles = 0
			known.trust = 0
			known.restsTo = time.Time{}
			known.first = 0
		}
		known.Endpoint = e
		known.gone = false
	}
	p.order = p.order[:0]
	for id, e := range p.endpoints {
		if !listed[id] {
			e.gone = true
		}
		if e.gone && e.running <= 0 {
			delete(p.endpoints, id)
			continue
		}
		p.order = append(p.order, e)
	}
	slices.SortFunc(p.order, func(a, b *endpoint) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

// Ask adds a ticket; one that is known already is left as it is.
func (p *Pool) Ask(t Ticket, now time.Time) {
	if _, waits := p.waiting[t.key()]; waits || p.runs[t.key()] != nil {
		return
	}
	if t.Class == ClassOnline {
		p.decay(now)
		p.arrivals++
	}
	p.waiting[t.key()] = t.Class
	queue := p.queue(t.Class)
	at, _ := slices.BinarySearchFunc(*queue, t, compareTickets)
	*queue = slices.Insert(*queue, at, t)
}

// Hold takes a run that a VM had before this pool knew of it.
func (p *Pool) Hold(t Ticket, at inventory.ID, now time.Time) {
	p.Withdraw(t.VM, t.ID)
	if p.runs[t.key()] != nil {
		return
	}
	p.runs[t.key()] = &run{
		ticket:   t,
		endpoint: at,
		since:    now,
	}
	if e := p.endpoints[at]; e != nil {
		e.running++
	}
}

// Withdraw forgets a ticket that waits.
func (p *Pool) Withdraw(vm VMName, id TicketID) {
	k := key{
		vm: vm,
		id: id,
	}
	class, waits := p.waiting[k]
	if !waits {
		return
	}
	delete(p.waiting, k)
	queue := p.queue(class)
	*queue = slices.DeleteFunc(*queue, func(t Ticket) bool {
		return t.key() == k
	})
}

// Release frees the slot of a run, with what its VM saw of the endpoint.
func (p *Pool) Release(vm VMName, id TicketID, trouble Trouble, now time.Time) {
	p.Withdraw(vm, id)
	k := key{
		vm: vm,
		id: id,
	}
	r := p.runs[k]
	if r == nil {
		return
	}
	delete(p.runs, k)
	e := p.endpoints[r.endpoint]
	if e == nil {
		return
	}
	if r.revoked.IsZero() {
		e.running--
	}
	if r.ticket.Class == ClassOnline && trouble == TroubleNone {
		p.meanRun += time.Duration(runWeight * float64(now.Sub(r.since)-p.meanRun))
	}
	p.take(e, trouble, now)
}

// Forget drops all tickets and runs of a VM.
func (p *Pool) Forget(vm VMName, now time.Time) {
	for k := range p.runs {
		if k.vm == vm {
			p.Release(vm, k.id, TroubleUnknown, now)
		}
	}
	for _, class := range []Class{ClassOnline, ClassBatch} {
		queue := p.queue(class)
		*queue = slices.DeleteFunc(*queue, func(t Ticket) bool {
			if t.VM != vm {
				return false
			}
			delete(p.waiting, t.key())
			return true
		})
	}
}

// Decide returns the outcomes of what was told since the last call, and of the time that passed.
func (p *Pool) Decide(now time.Time) []Outcome {
	p.expire(now)
	p.grantOnline(now)
	p.refuseHopeless(now)
	p.grantBatch(now)
	outcomes := p.outcomes
	p.outcomes = nil
	return outcomes
}

// Idle says whether nothing waits, so that no time needs to be watched.
func (p *Pool) Idle() bool {
	return len(p.waiting) == 0
}

// Counts returns how many tickets wait and run by class.
func (p *Pool) Counts() (online, batch, running int) {
	return len(p.online), len(p.batch), len(p.runs)
}

// Slots returns how many runs the endpoints that take new work may have.
func (p *Pool) Slots(now time.Time) int {
	slots := 0
	for _, e := range p.order {
		if e.takes(Ticket{}, now) {
			slots += e.limit()
		}
	}
	return slots
}

func (p *Pool) queue(class Class) *[]Ticket {
	if class == ClassOnline {
		return &p.online
	}
	return &p.batch
}
