package pool

import (
	"time"
)

// fairness keeps the turns of organisations. The organisations of a deployment become known with their tickets. Until
// then it only observes, and tickets are served in the order of compareTickets.
type fairness struct {
	organised     bool
	online, batch *turns
	// paid holds the tickets that were charged and whose runs were dropped, by VM.
	paid map[VMName]map[TicketID]bool
	// meanCost is the moving average of the cost of online tickets.
	meanCost float64
}

// initialMeanCost is the assumed cost of an online run until tickets have been received.
const initialMeanCost = 500

func newFairness() *fairness {
	return &fairness{
		online: newTurns(),
		batch:  newTurns(),
		paid:   map[VMName]map[TicketID]bool{},

		meanCost: initialMeanCost,
	}
}

// admit notes whether tickets of organisations exist. From the first one on, tickets without an organisation take turns as
// if they were those of one more, so that callers without a key can't crowd out the others.
func (f *fairness) admit(t *Ticket, now time.Time) {
	f.organised = f.organised || t.Organisation != ""
	if f.organised && t.Class == ClassOnline {
		f.meanCost += runWeight * (float64(t.cost()) - f.meanCost)
		f.online.join(t)
		t.position.line.count(t, now)
	}
}

// charge charges a granted ticket to its organisation, unless that was done before and the grant may have been lost. Batch
// items that are not at risk take no turn and are not charged.
func (f *fairness) charge(t *Ticket, now time.Time) {
	if !f.organised {
		return
	}
	switch {
	case f.paid[t.VM][t.ID]:
		delete(f.paid[t.VM], t.ID)
	case t.Class == ClassOnline:
		f.online.charge(t)
	case t.atRisk(now):
		f.batch.charge(t)
	}
}

// keepPaid notes which tickets of a VM have been charged when its runs are dropped: if the VM registers again, it sends
// those of whose grant it has not learned.
func (f *fairness) keepPaid(vm VMName, runs map[key]*run) {
	if !f.organised {
		return
	}
	paid := map[TicketID]bool{}
	for k := range runs {
		if k.vm == vm {
			paid[k.id] = true
		}
	}
	delete(f.paid, vm)
	if len(paid) > 0 {
		f.paid[vm] = paid
	}
}

// charge adds a granted ticket to the account of its organisation. The virtual time follows the tickets that are served
// in turn, but not those that have begun: if it did, an organisation's turns would be lost when another one's stream
// continues.
func (o *turns) charge(t *Ticket) {
	o.join(t)
	l := t.position.line
	start := l.rank.clock.Charge(l.organisation, t.cost())
	if !t.Begun {
		l.rank.clock.Advance(start)
	}
}

// reset makes all organisations equal.
func (o *turns) reset() {
	for _, r := range o.ranks {
		r.clock.Reset()
	}
}

// prune forgets the lines if there are many. No ticket may wait.
func (o *turns) prune() {
	for _, r := range o.ranks {
		if len(r.lines) > maxLines {
			clear(r.lines)
		}
	}
}
