package pool

import (
	"slices"
	"time"
)

const (
	// settleTime is how long after the registration of a VM a new steward waits for others. Each brings its part of the limits,
	// so a request that finds no token may find one when they have registered. VMs elect a steward within the 120 ms of
	// callSlack, and most at the same time.
	settleTime = 100 * time.Millisecond
	// deferralPeriod is the time between two attempts to admit deferred tickets.
	deferralPeriod = 20 * time.Millisecond
	// maxDeferred bounds the deferred tickets.
	maxDeferred = 1024
)

// deferral holds the tickets that found no token while VMs were registering at a new steward.
type deferral struct {
	tickets []Ticket
	// registered is when a VM last registered, and incomplete means that other VMs use the pool that have not.
	registered time.Time
	incomplete bool
	scheduled  bool
}

// settling reports whether more VMs are expected to register in a moment.
func (d *deferral) settling(now time.Time) bool {
	return d.incomplete && now.Sub(d.registered) < settleTime
}

// add defers a ticket and reports true, unless its refusal is certain.
func (d *deferral) add(t Ticket, now time.Time) bool {
	if !d.settling(now) || len(d.tickets) >= maxDeferred {
		return false
	}
	d.tickets = append(d.tickets, t)
	return true
}

// remove removes the tickets for which the function returns true.
func (d *deferral) remove(matches func(key) bool) {
	d.tickets = slices.DeleteFunc(d.tickets, func(t Ticket) bool {
		return matches(t.key())
	})
}

// deferTicket defers a ticket that found no token and reports whether it did.
func (st *steward) deferTicket(asked *WireTicket, args UpdateArgs, now time.Time) bool {
	d := &st.admission.deferral
	if asked.AdmitOnly || !d.add(asked.ticket(args, now), now) {
		return false
	}
	if !d.scheduled {
		d.scheduled = true
		time.AfterFunc(deferralPeriod, st.admitDeferred)
	}
	return true
}

// admitDeferred admits the deferred tickets for which there is a token now, and refuses the others once the VMs have
// registered.
func (st *steward) admitDeferred() {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := time.Now()
	a := st.admission
	waiting := a.deferral.tickets
	a.deferral.tickets = nil
	for _, t := range waiting {
		id := t.Organisation
		if a.ledger.Reserve(id, now) {
			if a.ledger.Limited(id) {
				a.reserved[t.key()] = id
			}
			st.pool.Enqueue(t, now)
			continue
		}
		if !a.deferral.add(t, now) {
			if sess := st.sessions[t.VM]; sess != nil {
				sess.outcomes = append(sess.outcomes, overAllowance(t.key(), a.refuse(id, now)))
				sess.wake()
			}
		}
	}
	a.deferral.scheduled = len(a.deferral.tickets) > 0
	if a.deferral.scheduled {
		time.AfterFunc(deferralPeriod, st.admitDeferred)
	}
	st.decide(now, nil)
}

// overAllowance returns the refusal of a ticket of an organisation without a token.
func overAllowance(k key, retryAfter time.Duration) Outcome {
	return Outcome{
		Kind:          OutcomeRefuse,
		VM:            k.vm,
		Ticket:        k.id,
		RetryAfter:    retryAfter,
		OverAllowance: true,
	}
}
