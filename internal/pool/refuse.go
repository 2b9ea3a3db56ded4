package pool

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// decay lets online arrivals that are long ago count less.
func (p *Pool) decay(now time.Time) {
	if since := now.Sub(p.countedAt); since > 0 {
		p.arrivals *= math.Exp(-float64(since) / float64(arrivalsOver))
	}
	p.countedAt = now
}

// refuseHopeless refuses online tickets for which no slot will be free in their time, as soon as that shows: their callers
// can come back when the rise is over, rather than wait in vain. A stream that has begun can't come back.
func (p *Pool) refuseHopeless(now time.Time) {
	slots := p.capacity()
	if len(p.online) == 0 || slots == 0 {
		return
	}
	p.decay(now)
	rate := float64(slots) / p.meanRun.Seconds()
	spare := rate
	if p.arrivals >= arrivalsLeast {
		spare = max(spareLeast*rate, rate-p.arrivals/arrivalsOver.Seconds())
	}
	waitingOnTime := 0
	for _, t := range p.online {
		if !t.late(now) {
			waitingOnTime++
		}
	}
	left := p.online[:0]
	ahead, late := 0, 0
	for _, t := range p.online {
		inTime := !t.late(now) && !now.Add(seconds(float64(ahead+1)/rate)).After(t.Start)
		// Once late, a ticket waits behind all that can be on time, itself not counted, and those late before it.
		before := waitingOnTime + late
		if !t.late(now) {
			before--
		}
		wait := seconds(float64(before+1) / spare)
		if !t.Begun && !inTime && now.Add(wait).After(t.Expires) {
			p.refuse(t, wait)
			continue
		}
		left = append(left, t)
		if inTime {
			ahead++
		} else {
			late++
		}
	}
	p.online = left
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// capacity returns how many runs the endpoints have room for, also those that rest for a moment.
func (p *Pool) capacity() int {
	slots := 0
	for _, e := range p.order {
		if !e.gone && !e.Leaving {
			slots += e.limit()
		}
	}
	return slots
}

// refuse refuses a ticket that was taken from its queue; its caller is asked to come back when the queue of now is served.
func (p *Pool) refuse(t Ticket, wait time.Duration) {
	delete(p.waiting, t.key())
	// A third more or less spreads those who are refused at once.
	wait = time.Duration(float64(wait) * (2.0/3 + rand.Float64()*2/3))
	p.outcomes = append(p.outcomes, Outcome{
		Kind:       OutcomeRefuse,
		VM:         t.VM,
		Ticket:     t.ID,
		RetryAfter: min(max(wait, retryLeast), retryMost),
	})
}

func (p *Pool) expire(now time.Time) {
	for _, class := range []Class{ClassOnline, ClassBatch} {
		queue := p.queue(class)
		*queue = slices.DeleteFunc(*queue, func(t Ticket) bool {
			if now.Before(t.Expires) {
				return false
			}
			p.refuse(t, retryAfter)
			return true
		})
	}
}
