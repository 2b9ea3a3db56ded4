package pool

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrudder/internal/inventory"
)

// compareTickets orders tickets by rank, then by the time at which they must start.
func compareTickets(a, b Ticket) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		a.Start.Compare(b.Start),
		cmp.Compare(a.ID, b.ID),
		cmp.Compare(a.VM, b.VM),
	)
}

// grantOnline grants slots to online tickets. If no slot is free, it revokes one held by a batch run. Tickets whose
// answer has begun are served first, then those that can still be on time: in a load peak with more requests than slots,
// serving in order of arrival would make all callers slightly late.
func (p *Pool) grantOnline(now time.Time) {
	if len(p.online) == 0 {
		return
	}
	p.grantWhere(now, func(t *Ticket) bool {
		return t.Begun
	})
	unserved := p.grantWhere(now, func(t *Ticket) bool {
		return !t.late(now)
	})
	if !unserved {
		p.grantWhere(now, func(*Ticket) bool {
			return true
		})
	}
}

// grantWhere grants slots to the eligible online tickets and reports whether one of them got none. Its time does not grow
// with the number of tickets that wait in vain, of which there are hundreds in a load peak.
func (p *Pool) grantWhere(now time.Time, eligible func(*Ticket) bool) bool {
	// kept is the number of tickets among the first i that stay in the queue.
	kept := 0
	unserved := false
	for i := range p.online {
		t := &p.online[i]
		if eligible(t) && !p.mustWait(t) {
			e := p.freeEndpoint(t, now, false)
			if e == nil {
				e = p.revoke(t, now)
			}
			if e != nil {
				p.grant(*t, e, now)
				continue
			}
			unserved = true
			if len(t.Avoid) == 0 {
				// No endpoint can serve a ticket that avoids none, so none can serve the others either.
				p.online = slices.Delete(p.online, kept, i)
				return true
			}
		}
		if kept != i {
			p.online[kept] = *t
		}
		kept++
	}
	p.online = slices.Delete(p.online, kept, len(p.online))
	return unserved
}

// grantBatch grants the remaining slots to batch tickets, but for those that online requests will need in a moment. Tickets
// that can still be completed by their due time go first: in order of due time alone, an overload would make nearly all of
// them slightly late.
func (p *Pool) grantBatch(now time.Time) {
	if len(p.online) > 0 || len(p.batch) == 0 {
		return
	}
	budget := p.batchBudget(now)
	if p.grantBatchWhere(now, false, &budget) {
		p.grantBatchWhere(now, true, &budget)
	}
}

// batchBudget returns how many of the free slots at endpoints that are not slow batch may take. It leaves those that
// online requests are expected to need within reserveTime. A batch run that is cut so soon has cost a connection and the
// reading of its prompt for nothing.
func (p *Pool) batchBudget(now time.Time) int {
	p.decay(now)
	free := 0
	for _, e := range p.byID {
		if e.accepts(nil, now) && !p.slow(e, now) {
			free += max(0, e.limit()-e.running)
		}
	}
	return free - int(p.arrivals*reserveTime.Seconds()/arrivalWindow.Seconds())
}

// grantBatchWhere grants slots to the batch tickets that are late, or to those that are not, and reports whether free
// slots may remain. The budget is for endpoints that are not slow.
func (p *Pool) grantBatchWhere(now time.Time, late bool, budget *int) bool {
	kept := 0
	for i := range p.batch {
		t := &p.batch[i]
		if t.late(now) == late && !p.mustWait(t) {
			e := p.freeEndpoint(t, now, *budget <= 0)
			if e != nil {
				if !p.slow(e, now) {
					*budget--
				}
				p.grant(*t, e, now)
				continue
			}
			if len(t.Avoid) == 0 {
				// No endpoint is free for a ticket that avoids none, so none is free for the others either.
				p.batch = slices.Delete(p.batch, kept, i)
				return false
			}
		}
		if kept != i {
			p.batch[kept] = *t
		}
		kept++
	}
	p.batch = slices.Delete(p.batch, kept, len(p.batch))
	return true
}

// late reports whether it is too late for a run that begins now to be on time: an online request would get its first
// event after its objective, a batch item would be complete after its due time.
func (t *Ticket) late(now time.Time) bool {
	return now.After(t.Start)
}

func (p *Pool) grant(t Ticket, e *endpoint, now time.Time) {
	delete(p.waiting, t.key())
	e.running++
	e.allowance.take()
	p.addRun(&run{
		ticket:   t,
		endpoint: e.ID,
		since:    now,
		runBeginning: runBeginning{
			held: e.running,
		},
	})
	p.outcomes = append(p.outcomes, Outcome{
		Kind:     OutcomeGrant,
		VM:       t.VM,
		Ticket:   t.ID,
		Endpoint: e.Endpoint,
		Limited:  e.allowance.Named,
		Learning: e.belowSlots(),
	})
}

// freeEndpoint returns the best endpoint with a free slot for the ticket, as defined by better, or nil if there is none. With
// onlySlow it considers slow endpoints only. Ties are broken round-robin.
func (p *Pool) freeEndpoint(t *Ticket, now time.Time, onlySlow bool) *endpoint {
	var best *endpoint
	avoid := p.avoided(t, now)
	p.roundRobin++
	for i := range p.byID {
		e := p.byID[(i+p.roundRobin)%len(p.byID)]
		if !e.accepts(avoid, now) || e.running >= e.limit() || onlySlow && !p.slow(e, now) {
			continue
		}
		if best == nil || p.better(t, e, best, now) {
			best = e
		}
	}
	return best
}

// avoided returns the endpoints that the ticket avoids at present. A failure may be no fault of the endpoint, so a ticket goes
// back to where its request failed if there is no other sound endpoint, or if none had a slot for it within avoidTime.
func (p *Pool) avoided(t *Ticket, now time.Time) []inventory.ID {
	if len(t.Avoid) == 0 || now.Sub(t.queued) >= avoidTime {
		return nil
	}
	for _, e := range p.byID {
		if e.sound() && !slices.Contains(t.Avoid, e.ID) {
			return t.Avoid
		}
	}
	return nil
}

// better reports whether a should be preferred to b for the ticket. For online tickets slow endpoints come last, and before
// them those that name a limit, so that some of their requests are left for the next wave. Batch tickets go to the
// latter first, as their runs are long and so use few requests. Then the number of free slots decides, then whether the
// endpoint is in the VM's failure domain.
func (p *Pool) better(t *Ticket, a, b *endpoint, now time.Time) bool {
	if t.Class == ClassOnline {
		if aSlow, bSlow := p.slow(a, now), p.slow(b, now); aSlow != bSlow {
			return bSlow
		}
	}
	if aUntested, bUntested := p.untested(a, now), p.untested(b, now); aUntested != bUntested {
		return aUntested
	}
	if a.allowance.Named != b.allowance.Named {
		return a.allowance.Named == (t.Class == ClassBatch)
	}
	return a.better(b, t.Domain)
}

// revoke revokes the slot of the batch run that comes first according to revokeBefore, and returns its endpoint, or nil
// if there is no batch run. It chooses a run at a slow endpoint only if there is no other, and before that one at an
// endpoint with a limit, which would get a request more when the run goes on.
func (p *Pool) revoke(t *Ticket, now time.Time) *endpoint {
	var victim *run
	victimRank := 0
	avoid := p.avoided(t, now)
	for _, r := range p.batchRuns {
		e := p.endpoints[r.endpoint]
		if e == nil || !e.accepts(avoid, now) {
			continue
		}
		rank := p.revokeRank(e, now)
		if victim == nil || rank == victimRank && revokeBefore(r, victim) || rank < victimRank {
			victim, victimRank = r, rank
		}
	}
	if victim == nil {
		return nil
	}
	victim.revoked = now
	delete(p.batchRuns, victim.ticket.key())
	p.outcomes = append(p.outcomes, Outcome{
		Kind:   OutcomeRevoke,
		VM:     victim.ticket.VM,
		Ticket: victim.ticket.ID,
	})
	e := p.endpoints[victim.endpoint]
	e.running--
	return e
}

// revokeRank returns the group of an endpoint whose batch runs are revoked: 0 before 1 before 2.
func (p *Pool) revokeRank(e *endpoint, now time.Time) int {
	switch {
	case p.slow(e, now):
		return 2
	case e.allowance.Named:
		return 1
	}
	return 0
}

// revokeBefore reports whether batch run a should be revoked rather than b: first runs that were already late when they
// began, then those with a later Start.
func revokeBefore(a, b *run) bool {
	if aLate, bLate := a.ticket.late(a.since), b.ticket.late(b.since); aLate != bLate {
		return aLate
	}
	if !a.ticket.Start.Equal(b.ticket.Start) {
		return a.ticket.Start.After(b.ticket.Start)
	}
	return a.ticket.ID > b.ticket.ID
}
