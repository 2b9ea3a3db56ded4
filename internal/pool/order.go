package pool

import (
	"cmp"
	"time"
)

func compareTickets(a, b Ticket) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		a.Start.Compare(b.Start),
		cmp.Compare(a.ID, b.ID),
		cmp.Compare(a.VM, b.VM),
	)
}

// grantOnline gives slots to online tickets; where none is free, a batch run gives way. Those that can still be on time
// go first: at a rise beyond all slots, serving in order of arrival would make everyone late by a little.
func (p *Pool) grantOnline(now time.Time) {
	if len(p.online) == 0 {
		return
	}
	p.grantWhere(now, func(t Ticket) bool {
		return t.Begun
	})
	late := p.grantWhere(now, func(t Ticket) bool {
		return !t.late(now)
	})
	if !late {
		p.grantWhere(now, func(Ticket) bool {
			return true
		})
	}
}

// grantWhere gives slots to the online tickets that are eligible, and reports whether one was left without.
func (p *Pool) grantWhere(now time.Time, eligible func(Ticket) bool) bool {
	left := p.online[:0]
	missed := false
	for _, t := range p.online {
		if !eligible(t) {
			left = append(left, t)
			continue
		}
		e := p.free(t, now)
		if e == nil {
			e = p.revoke(t, now)
		}
		if e == nil {
			missed = true
			left = append(left, t)
			continue
		}
		p.grant(t, e, now)
	}
	p.online = left
	return missed
}

// grantBatch gives the slots that are left to batch tickets. Those that can still be done by their due time go first: in
// order of their due times alone, an overload would make nearly all of them late by a little.
func (p *Pool) grantBatch(now time.Time) {
	if len(p.online) > 0 || len(p.batch) == 0 {
		return
	}
	if p.grantBatchWhere(now, false) {
		p.grantBatchWhere(now, true)
	}
}

// grantBatchWhere gives slots to the batch tickets that are late, or to those that are not, and reports whether slots may
// be left.
func (p *Pool) grantBatchWhere(now time.Time, late bool) bool {
	left := p.batch[:0]
	for i, t := range p.batch {
		if t.late(now) != late {
			left = append(left, t)
			continue
		}
		e := p.free(t, now)
		if e == nil && len(t.Avoid) == 0 {
			p.batch = append(left, p.batch[i:]...)
			return false
		}
		if e == nil {
			left = append(left, t)
			continue
		}
		p.grant(t, e, now)
	}
	p.batch = left
	return true
}

// late says that a run that begins now would not be on time.
func (t Ticket) late(now time.Time) bool {
	return now.After(t.Start)
}

func (p *Pool) grant(t Ticket, e *endpoint, now time.Time) {
	delete(p.waiting, t.key())
	e.running++
	p.runs[t.key()] = &run{
		ticket:   t,
		endpoint: e.ID,
		since:    now,
	}
	p.outcomes = append(p.outcomes, Outcome{
		Kind:     OutcomeGrant,
		VM:       t.VM,
		Ticket:   t.ID,
		Endpoint: e.Endpoint,
	})
}

// free returns the endpoint with the most free slots, or nil. Among equals it takes turns, the VM's failure domain first.
func (p *Pool) free(t Ticket, now time.Time) *endpoint {
	var best *endpoint
	p.turn++
	for i := range p.order {
		e := p.order[(i+p.turn)%len(p.order)]
		if !e.takes(t, now) || e.running >= e.limit() {
			continue
		}
		if best == nil || p.better(t, e, best, now) {
			best = e
		}
	}
	return best
}

// better orders endpoints for a ticket: slow ones last for callers that wait, then by free slots.
func (p *Pool) better(t Ticket, a, b *endpoint, now time.Time) bool {
	if t.Class == ClassOnline {
		if aSlow, bSlow := p.slow(a, now), p.slow(b, now); aSlow != bSlow {
			return bSlow
		}
	}
	return a.better(b, t.Domain)
}

// revoke takes the slot of the batch run with the most time left, at a slow endpoint only if there is no other, and returns
// its endpoint, or nil.
func (p *Pool) revoke(t Ticket, now time.Time) *endpoint {
	var victim *run
	victimSlow := false
	for _, r := range p.runs {
		if r.ticket.Class != ClassBatch || !r.revoked.IsZero() {
			continue
		}
		e := p.endpoints[r.endpoint]
		if e == nil || !e.takes(t, now) {
			continue
		}
		slow := p.slow(e, now)
		if victim == nil || slow == victimSlow && later(r, victim) || !slow && victimSlow {
			victim, victimSlow = r, slow
		}
	}
	if victim == nil {
		return nil
	}
	victim.revoked = now
	p.outcomes = append(p.outcomes, Outcome{
		Kind:   OutcomeRevoke,
		VM:     victim.ticket.VM,
		Ticket: victim.ticket.ID,
	})
	e := p.endpoints[victim.endpoint]
	e.running--
	return e
}

// later orders batch runs by how well they can wait: first those that were late when they began.
func later(a, b *run) bool {
	if aLate, bLate := a.ticket.late(a.since), b.ticket.late(b.since); aLate != bLate {
		return aLate
	}
	if !a.ticket.Start.Equal(b.ticket.Start) {
		return a.ticket.Start.After(b.ticket.Start)
	}
	return a.ticket.ID > b.ticket.ID
}
