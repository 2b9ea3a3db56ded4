package pool

import (
	"slices"
	"time"

	"rhubarbrudder/internal/inventory"
)

// endpoint is what the pool knows of an endpoint.
type endpoint struct {
	inventory.Endpoint
	running int
	// troubles counts troubles since the last success.
	troubles int
	// trust is how many runs it may have after trouble; zero is as many as it has slots.
	trust      int
	troubledAt time.Time
	restsTo    time.Time
	gone       bool
	// first is the average time to its latest first events, firstAt when the last came; zero if there was none.
	first   time.Duration
	firstAt time.Time
	// slow is what the log last said of it; Pool.slow decides.
	slow bool
}

func (e *endpoint) better(than *endpoint, domain inventory.Domain) bool {
	if mine, theirs := e.limit()-e.running, than.limit()-than.running; mine != theirs {
		return mine > theirs
	}
	return e.Domain == domain && than.Domain != domain
}

// limit is how many runs the endpoint may have: one after trouble, and more with each success.
func (e *endpoint) limit() int {
	if e.trust > 0 {
		return min(e.trust, e.Slots)
	}
	return e.Slots
}

// succeed takes a sign that the endpoint works.
func (e *endpoint) succeed() {
	e.troubles = 0
	e.trust *= trustStep
	if e.trust >= e.Slots {
		e.trust = 0
	}
}

func (e *endpoint) takes(t Ticket, now time.Time) bool {
	return !e.gone && !e.Leaving && !now.Before(e.restsTo) && !slices.Contains(t.Avoid, e.ID)
}

// observe takes what a VM saw of the endpoint.
func (e *endpoint) observe(trouble Trouble, now time.Time) {
	var rest time.Duration
	switch trouble {
	case TroubleNone:
		e.succeed()
		return
	case TroubleLeaving:
		e.Leaving = true
		return
	case TroubleUnreachable, TroubleSilent:
		rest = restUnreachable
		e.troubles++
		e.trust = 1
		e.troubledAt = now
	case TroubleBroken:
		rest = restBroken
	case TroubleFull:
		rest = restFull
	case TroubleUnknown:
		return
	}
	for range min(e.troubles-1, 4) {
		rest *= 2
	}
	if to := now.Add(min(rest, restMost)); to.After(e.restsTo) {
		e.restsTo = to
	}
}
