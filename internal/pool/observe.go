package pool

import "time"

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
		e.observe(p.judge(trouble), now)
	}
	if trouble != TroubleNone || first <= 0 || r.ticket.Class != ClassOnline {
		return
	}
	p.meanFirst = average(p.meanFirst, first, firstWeight)
	e.first = average(e.first, first, ownFirstWeight)
	e.firstAt = now
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
