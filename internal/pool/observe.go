package pool

import (
	"time"

	"rhubarbrudder/internal/inventory"
)

// Observe records what a VM observed of a run that continues: the time to its first event, or a failure that does not
// end the run. The latter occurs when a request that must not be repeated keeps waiting at a silent endpoint.
func (p *Pool) Observe(vm VMName, id TicketID, trouble Trouble, first time.Duration, now time.Time) {
	r := p.runs[key{
		vm: vm,
		id: id,
	}]
	if r == nil || p.endpoints[r.endpoint] == nil {
		return
	}
	e := p.endpoints[r.endpoint]
	// A success of a run that began before the last failure does not prove that the endpoint works again.
	if r.since.After(e.lastFailure) || trouble != TroubleNone {
		p.recordTrouble(e, trouble, now)
	}
	if trouble == TroubleNone {
		p.adaptToAnswer(e, r, first, now)
	}
	if trouble != TroubleNone || first <= 0 || r.ticket.Class != ClassOnline {
		return
	}
	p.meanFirstEventLatency = average(p.meanFirstEventLatency, first, firstEventLatencyWeight)
	e.firstEventLatency = average(e.firstEventLatency, first, endpointLatencyWeight)
	e.firstEventLatencyAt = now
	if slow := p.slow(e, now); slow != e.loggedSlow {
		e.loggedSlow = slow
		p.addAssessment(e, TroubleNone)
	}
}

// recordTrouble records a failure of an endpoint, or a success for TroubleNone, and adds an assessment if the run limit
// changes.
func (p *Pool) recordTrouble(e *endpoint, trouble Trouble, now time.Time) {
	before := e.limit()
	effective := p.effectiveTrouble(trouble)
	e.applyTrouble(effective, now)
	if e.limit() != before {
		p.addAssessment(e, effective)
	}
	p.adaptToTrouble(e, effective, now)
}

// Assessment is a changed rating of an endpoint, with the failure that caused it.
type Assessment struct {
	Endpoint inventory.ID
	// Runs is the endpoint's run limit.
	Runs    int
	Trouble Trouble
	// Slow means that online requests are sent to other endpoints first. First is the endpoint's average time to first
	// event.
	Slow  bool
	First time.Duration
	// Limit is the limit that the endpoint names.
	Limit Limit
}

// addAssessment adds an assessment of the endpoint; the steward logs it.
func (p *Pool) addAssessment(e *endpoint, trouble Trouble) {
	p.assessments = append(p.assessments, Assessment{
		Endpoint: e.ID,
		Runs:     e.limit(),
		Trouble:  trouble,
		Slow:     e.loggedSlow,
		First:    e.firstEventLatency,
		Limit:    e.allowance.Limit,
	})
}

// Assessments returns the assessments added since the last call.
func (p *Pool) Assessments() []Assessment {
	assessments := p.assessments
	p.assessments = nil
	return assessments
}

// effectiveTrouble treats silence as a fault of the endpoint only while most other endpoints answer, and as a broken
// connection otherwise. Endpoints can fall silent together, for instance while all of them work through requests that
// lost VMs left behind; withholding work from them does not help then.
func (p *Pool) effectiveTrouble(trouble Trouble) Trouble {
	if trouble != TroubleSilent {
		return trouble
	}
	silent := 0
	for _, e := range p.byID {
		if e.trialLimit > 0 {
			silent++
		}
	}
	if silent >= max(1, len(p.byID)/silentDivisor) {
		return TroubleBroken
	}
	return trouble
}

// average returns the exponential moving average after a new value; a mean of zero means that there is no value yet.
func average(mean, value time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(weight*float64(value-mean))
}

// slow reports whether the endpoint's time to first event is well above the mean. The measurement expires after slowTTL,
// so that the endpoint is tried again.
func (p *Pool) slow(e *endpoint, now time.Time) bool {
	return e.firstEventLatency > slowFactor*p.meanFirstEventLatency && now.Sub(e.firstEventLatencyAt) < slowTTL
}
