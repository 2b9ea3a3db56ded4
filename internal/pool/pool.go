// Package pool decides which request runs at which endpoint of a service, and when. For each service one VM, the
// steward, holds the queue of waiting requests and grants the slots of the endpoints to all VMs. The steward keeps its
// state in memory only: when another VM takes over, every VM registers there and sends its waiting requests and the
// slots that it holds.
package pool

import (
	"slices"
	"time"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/prompt"
	"rhubarbrudder/internal/quarantine"
	"rhubarbrudder/internal/route"
)

type (
	// TicketID identifies one request of a VM for a slot.
	TicketID string
	// VMName names a VM of the system.
	VMName string
)

// Class separates online requests, whose callers wait for the answer, from batch items that are due later.
type Class int

const (
	// ClassOnline is for requests whose callers wait.
	ClassOnline Class = iota
	// ClassBatch is for items of batch jobs.
	ClassBatch
)

// Ticket is a request for a slot at an endpoint, as the steward holds it. The same request is a SlotRequest for the
// caller of Client.Acquire, a pendingRequest while the client keeps its state, and a WireTicket in messages to the
// steward. When it is granted a slot, the pool holds it as a run.
type Ticket struct {
	ID    TicketID
	VM    VMName
	Class Class
	// Rank is the priority; it takes precedence over Start. Zero is the most urgent.
	Rank int
	// Begun means that the caller has received part of its answer. Such a ticket is not refused before it expires and
	// is served before tickets whose callers have received nothing.
	Begun bool
	// Start is the latest time at which the run can begin and still be on time.
	Start time.Time
	// Expires is when the ticket is refused if no slot was granted.
	Expires time.Time
	// Avoid lists endpoints at which the request failed before. It is a preference: see Pool.avoided.
	Avoid []inventory.ID
	// Prompt lists the parts of the prompt that other requests may have as well.
	Prompt []prompt.PartID
	// Domain is the VM's failure domain; an endpoint there is preferred among equals.
	Domain inventory.Domain
	// Organisation is on whose behalf the request is made. It is empty if the deployment has no organisations.
	Organisation route.OrganisationID
	// Cost is what the run counts against the organisation's turn.
	Cost Cost
	// Admitted means that the request has been counted against the organisation's allowance before.
	Admitted bool
	// queued is when this steward received the ticket.
	queued time.Time
	// position is nil without organisations.
	position *position
}

// key identifies a ticket. The id alone is not enough, as two VMs may send tickets for the same item when a job changes
// its owner.
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
	// revoked is when the holder was asked to return the slot; zero if it was not.
	revoked time.Time
	runBeginning
}

const (
	// defaultRetryAfter is the delay suggested to a refused caller when no estimate is available: roughly the time in
	// which a full pool turns over once, as a generation takes about a second.
	defaultRetryAfter = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the suggested delay. A retry after a shorter delay meets the same queue, and
	// the upper bound is a third of the few seconds that a caller waits in all.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// initialMeanRun is the assumed length of an online run until runs have been measured.
	initialMeanRun = 800 * time.Millisecond
	// runWeight is the weight of the newest run in the moving average of run lengths. About fifty runs count, which is
	// about one second of traffic.
	runWeight = 0.02
	// firstEventLatencyWeight is the weight of the newest time to first event in the moving average over all endpoints,
	// endpointLatencyWeight in that of a single endpoint: about fifty requests count for the former, three for the
	// latter.
	firstEventLatencyWeight = 0.02
	endpointLatencyWeight   = 0.3
	// slowFactor is how many times the mean time to first event an endpoint must reach to count as slow. A full batch
	// or a long prompt alone does not slow a single endpoint that much.
	slowFactor = 2
	// slowTTL is how long an endpoint counts as slow after its last measurement.
	slowTTL = 2 * time.Second
	// arrivalWindow is the time constant of the arrival count: shorter than a load peak, longer than its noise.
	arrivalWindow = 500 * time.Millisecond
	// reserveTime is how long ahead batch leaves slots to the online requests that are expected: about as long as a batch run
	// takes to its first token.
	reserveTime = 20 * time.Millisecond
	// minLateShare is the minimum share of all slots that late requests are expected to get while requests that can
	// still be on time go first.
	minLateShare = 0.3
	// minArrivals is how many arrivals must be counted for the rate to be meaningful.
	minArrivals = 8
	// silentDivisor limits how many endpoints may be on trial before silence no longer counts against an endpoint: one
	// in silentDivisor. An endpoint is on trial after an unreachable or silent failure, with a reduced run limit. A
	// failure domain may fail as a whole; if more endpoints are silent, the cause is a common one.
	silentDivisor = 3
	// trialGrowth is the factor by which the run limit of an endpoint on trial grows with each success.
	trialGrowth = 2
	// backoffUnreachable, backoffBroken and backoffFull are how long an endpoint gets no new work after a failure. Each
	// unreachable or silent failure in a row after the first doubles all three, at most four times and up to backoffMax.
	backoffUnreachable = 500 * time.Millisecond
	backoffBroken      = 100 * time.Millisecond
	backoffFull        = 50 * time.Millisecond
	backoffMax         = 2 * time.Second
	// backoffLeaving is how long an endpoint gets no new work after a VM has returned a slot there because the endpoint
	// leaves. By then, this VM's list says the same, or that VM's list has the endpoint again.
	backoffLeaving = time.Second
	// avoidTime is how long a waiting ticket avoids the endpoints at which its request failed.
	avoidTime = 2 * time.Second
)

// Pool is the queue and the slots of one service. It is not safe for use by several goroutines.
type Pool struct {
	endpoints map[inventory.ID]*endpoint
	// byID holds the endpoints in the order of their ids.
	byID []*endpoint
	// unlisted holds the allowances of endpoints that named a limit when they were last listed.
	unlisted map[inventory.Lifetime]endpointAllowance
	// online and batch are the queues, in the order of compareTickets; waiting holds the class of each queued ticket.
	online  []Ticket
	batch   []Ticket
	waiting map[key]Class
	// runs holds the tickets that hold a slot, and the revoked ones until their VM has released them.
	runs map[key]*run
	// batchRuns holds the batch runs that have not been revoked.
	batchRuns map[key]*run
	// firstExpiry is no later than the earliest time at which a waiting ticket expires, zero if none waits.
	firstExpiry time.Time
	// outcomes and assessments hold what was added since they were last read.
	outcomes    []Outcome
	assessments []Assessment
	// roundRobin is the offset in byID at which the search for a free endpoint starts.
	roundRobin int
	// meanRun is the moving average of the length of online runs.
	meanRun time.Duration
	// meanFirstEventLatency is the moving average of the time from an online request's grant to its first event, over all
	// endpoints.
	meanFirstEventLatency time.Duration
	// arrivals counts online tickets, decaying exponentially over arrivalWindow, as of countedAt.
	arrivals  float64
	countedAt time.Time
	// evidence judges which parts of prompts crash endpoints. quarantine holds the listed ones, with the time until which
	// each is withheld, and verdicts what was found out since it was last read.
	evidence   *quarantine.Evidence
	quarantine map[prompt.PartID]time.Time
	verdicts   []Verdict
	// share is the part of the endpoints' limits that may be used.
	share float64
	// fair keeps the turns of organisations.
	fair *fairness
	// adaptation adapts the run limits of endpoints to their answers, or is nil.
	adaptation *adaptation
}

// New returns a pool without endpoints.
func New() *Pool {
	return &Pool{
		endpoints: map[inventory.ID]*endpoint{},
		unlisted:  map[inventory.Lifetime]endpointAllowance{},
		waiting:   map[key]Class{},
		runs:      map[key]*run{},
		batchRuns: map[key]*run{},
		meanRun:   initialMeanRun,
		evidence:  quarantine.NewEvidence(),
		share:     1,
		fair:      newFairness(),
	}
}

// Enqueue adds a ticket to the queue. A ticket that already waits or runs is left unchanged.
func (p *Pool) Enqueue(t Ticket, now time.Time) {
	if _, waits := p.waiting[t.key()]; waits || p.runs[t.key()] != nil {
		return
	}
	if p.withhold(&t, now) {
		return
	}
	if t.Class == ClassOnline {
		p.decay(now)
		p.arrivals++
	}
	t.queued = now
	p.fair.admit(&t, now)
	p.waiting[t.key()] = t.Class
	if p.firstExpiry.IsZero() || t.Expires.Before(p.firstExpiry) {
		p.firstExpiry = t.Expires
	}
	queue := p.queue(t.Class)
	position, _ := slices.BinarySearchFunc(*queue, t, compareTickets)
	*queue = slices.Insert(*queue, position, t)
}

// AddRun records a run that was granted by an earlier steward.
func (p *Pool) AddRun(t Ticket, at inventory.ID, now time.Time) {
	p.Withdraw(t.VM, t.ID)
	if p.runs[t.key()] != nil {
		return
	}
	p.addRun(&run{
		ticket:   t,
		endpoint: at,
		since:    now,
	})
	if e := p.endpoints[at]; e != nil {
		e.running++
	}
}

func (p *Pool) addRun(r *run) {
	p.runs[r.ticket.key()] = r
	if r.ticket.Class == ClassBatch {
		p.batchRuns[r.ticket.key()] = r
	}
}

// Withdraw removes a waiting ticket.
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

// Release frees the slot of a run and records the failure, if any, that the VM observed at the endpoint. If the ticket
// still waits, it is withdrawn.
func (p *Pool) Release(vm VMName, id TicketID, trouble Trouble, now time.Time) {
	p.End(vm, id, Ending{
		Trouble: trouble,
	}, now)
}

// End is like Release and also records what the end of the run says about the parts of its prompt.
func (p *Pool) End(vm VMName, id TicketID, ending Ending, now time.Time) {
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
	delete(p.batchRuns, k)
	p.recordEnding(r, ending, now)
	trouble := ending.Trouble
	e := p.endpoints[r.endpoint]
	if e == nil {
		return
	}
	if r.revoked.IsZero() {
		e.running--
	}
	p.adaptToEnding(e, r, trouble, now)
	if r.ticket.Class == ClassOnline && trouble == TroubleNone {
		p.meanRun += time.Duration(runWeight * float64(now.Sub(r.since)-p.meanRun))
	}
	p.recordTrouble(e, trouble, now)
}

// DropVM drops all tickets and runs of a VM.
func (p *Pool) DropVM(vm VMName, now time.Time) {
	p.fair.keepPaid(vm, p.runs)
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

// Decide returns the decisions that follow from the changes since the last call and from the time that has passed.
func (p *Pool) Decide(now time.Time) []Outcome {
	p.expire(now)
	p.advanceAdaptive(now)
	p.decideOnline(now)
	p.decideBatch(now)
	outcomes := p.outcomes
	p.outcomes = nil
	return outcomes
}

// Idle reports whether no ticket waits and no crash is to be judged, so that Verdicts and Decide need not be called as time
// passes.
func (p *Pool) Idle() bool {
	return len(p.waiting) == 0 && !p.evidence.Pending()
}

// Counts returns the number of waiting tickets by class and the number of runs.
func (p *Pool) Counts() (online, batch, running int) {
	return len(p.online), len(p.batch), len(p.runs)
}

// Slots returns the sum of the run limits of the endpoints that take new work.
func (p *Pool) Slots(now time.Time) int {
	slots := 0
	for _, e := range p.byID {
		if e.accepts(nil, now) {
			slots += e.limit()
		}
	}
	return slots
}
