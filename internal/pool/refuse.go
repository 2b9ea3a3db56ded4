package pool

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// decay reduces the arrival count exponentially by the time since it was last updated.
func (p *Pool) decay(now time.Time) {
	if since := now.Sub(p.countedAt); since > 0 {
		p.arrivals *= math.Exp(-float64(since) / float64(arrivalWindow))
	}
	p.countedAt = now
}

// refuseUnservable refuses online tickets that are not expected to get a slot before they expire, so that their callers
// can retry when the load peak is over instead of waiting in vain. The caller of a stream that has begun can't retry, so
// such a ticket is kept.
func (p *Pool) refuseUnservable(now time.Time) {
	if len(p.online) == 0 {
		return
	}
	// rate is the number of runs that are expected to begin per second, spare the part of it that is left for late
	// tickets.
	rate := p.startRate()
	if rate == 0 {
		if p.allLeaving() {
			p.refuseNotBegun()
		}
		return
	}
	p.decay(now)
	spare := rate
	if p.arrivals >= minArrivals {
		spare = max(minLateShare*rate, rate-p.arrivals/arrivalWindow.Seconds())
	}
	waitingOnTime := 0
	for i := range p.online {
		if !p.online[i].late(now) {
			waitingOnTime++
		}
	}
	kept, ahead, late := 0, 0, 0
	for i := range p.online {
		t := &p.online[i]
		// inTime means that the ticket is expected to get a slot early enough to be on time.
		inTime := !t.late(now) && !now.Add(seconds((float64(ahead+1)+p.overtakers(t, now))/rate)).After(t.Start)
		// A late ticket waits behind all tickets that can still be on time, and behind the late ones ahead of it. This
		// one is counted in waitingOnTime if it is not late yet.
		before := waitingOnTime + late
		if !t.late(now) {
			before--
		}
		before += t.lateAhead()
		wait := seconds(float64(before+1) / spare)
		if !t.Begun && !inTime && now.Add(wait).After(t.Expires) {
			p.refuse(t, wait)
			continue
		}
		if kept != i {
			p.online[kept] = *t
		}
		kept++
		if inTime {
			ahead++
		} else {
			late++
			p.online[kept-1].keepLate()
		}
	}
	p.online = slices.Delete(p.online, kept, len(p.online))
}

// allLeaving reports whether all listed endpoints leave. A service without any may just have lost its entries in the list.
func (p *Pool) allLeaving() bool {
	leaving := false
	for _, e := range p.byID {
		if !e.gone && !e.Leaving {
			return false
		}
		leaving = leaving || !e.gone
	}
	return leaving
}

// refuseNotBegun refuses the online tickets that have not begun. Their callers are asked to wait for a time in which new
// endpoints may start.
func (p *Pool) refuseNotBegun() {
	kept := p.online[:0]
	for i := range p.online {
		t := &p.online[i]
		if t.Begun {
			kept = append(kept, *t)
			continue
		}
		p.refuse(t, maxRetryAfter)
	}
	clear(p.online[len(kept):])
	p.online = kept
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// refuse refuses a ticket that was removed from its queue. The outcome suggests to the caller to retry after wait, when
// the current queue is expected to have been served.
func (p *Pool) refuse(t *Ticket, wait time.Duration) {
	delete(p.waiting, t.key())
	// Jitter of up to a third either way spreads the retries of callers that are refused together.
	wait = time.Duration(float64(wait) * (2.0/3 + rand.Float64()*2/3))
	p.outcomes = append(p.outcomes, Outcome{
		Kind:       OutcomeRefuse,
		VM:         t.VM,
		Ticket:     t.ID,
		RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
		position:   t.position,
	})
}

// expire refuses the tickets that have expired.
func (p *Pool) expire(now time.Time) {
	if p.firstExpiry.IsZero() || now.Before(p.firstExpiry) {
		return
	}
	p.firstExpiry = time.Time{}
	for _, class := range []Class{ClassOnline, ClassBatch} {
		queue := p.queue(class)
		*queue = slices.DeleteFunc(*queue, func(t Ticket) bool {
			if now.Before(t.Expires) {
				if p.firstExpiry.IsZero() || t.Expires.Before(p.firstExpiry) {
					p.firstExpiry = t.Expires
				}
				return false
			}
			p.refuse(&t, defaultRetryAfter)
			return true
		})
	}
}
