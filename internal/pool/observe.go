package pool

import (
	"time"

	"rhubarbrudder/internal/inventory"
)

// Observe takes what a VM saw of a run that goes on: the time until its first event, or a trouble that leaves it where it
// is, as a request that may not be repeated waits on at a silent endpoint.
func (p *Pool) Observe(vm VMName, id TicketID, trouble Trouble, first time.Duration, now time.Time) {
	r := p.runs[key{
		vm: vm,
		id: id,
	}]
	if r == nil || p.endpoints[r.endpoint] == nil {
		return
	}
	e := p.endpoints[r.endpoint]
	if r.since.After(e.troubledAt) || trouble != TroubleNone {
		p.take(e, trouble, now)
	}
	if trouble != TroubleNone || first <= 0 || r.ticket.Class != ClassOnline {
		return
	}
	p.meanFirst = average(p.meanFirst, first, firstWeight)
	e.first = average(e.first, first, ownFirstWeight)
	e.firstAt = now
	if slow := p.slow(e, now); slow != e.slow {
		e.slow = slow
		p.stand(e, TroubleNone)
	}
}

// take changes what is thought of an endpoint, and notes if it may have more or fewer runs than before.
func (p *Pool) take(e *endpoint, trouble Trouble, now time.Time) {
	before := e.limit()
	judged := p.judge(trouble)
	e.observe(judged, now)
	if e.limit() != before {
		p.stand(e, judged)
	}
}

// Standing is what is newly thought of an endpoint, and why.
type Standing struct {
	Endpoint inventory.ID
	// Runs is how many it may have.
	Runs    int
	Trouble Trouble
	// Slow says that callers that wait are sent there last; First is its average time to a first event.
	Slow  bool
	First time.Duration
}

// stand notes an endpoint's standing, for the log of the steward.
func (p *Pool) stand(e *endpoint, trouble Trouble) {
	p.standings = append(p.standings, Standing{
		Endpoint: e.ID,
		Runs:     e.limit(),
		Trouble:  trouble,
		Slow:     e.slow,
		First:    e.first,
	})
}

// Standings returns what changed since the last call.
func (p *Pool) Standings() []Standing {
	standings := p.standings
	p.standings = nil
	return standings
}

// judge takes silence as the endpoint's own only while most others answer: if they fall silent together, as when all work off
// what a lost fleet left them, none gets better by being spared.
func (p *Pool) judge(trouble Trouble) Trouble {
	if trouble != TroubleSilent {
		return trouble
	}
	silent := 0
	for _, e := range p.order {
		if e.trust > 0 {
			silent++
		}
	}
	if silent >= max(1, len(p.order)/silentMost) {
		return TroubleBroken
	}
	return trouble
}

// average moves a mean towards a value; a mean of zero has no value yet.
func average(mean, value time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(weight*float64(value-mean))
}

// slow says that an endpoint's first events come much later than those of the others; that is forgotten after a while, so
// that the endpoint is tried again.
func (p *Pool) slow(e *endpoint, now time.Time) bool {
	return e.first > slowTimes*p.meanFirst && now.Sub(e.firstAt) < slowKept
}
