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
	restsTo  time.Time
	gone     bool
}

func (e *endpoint) better(than *endpoint, domain inventory.Domain) bool {
	if mine, theirs := e.limit()-e.running, than.limit()-than.running; mine != theirs {
		return mine > theirs
	}
	return e.Domain == domain && than.Domain != domain
}

// limit is how many runs the endpoint may have; one at a time after trouble, until a run succeeds.
func (e *endpoint) limit() int {
	if e.troubles > 0 {
		return 1
	}
	return e.Slots
}

func (e *endpoint) takes(t Ticket, now time.Time) bool {
	return !e.gone && !e.Leaving && !now.Before(e.restsTo) && !slices.Contains(t.Avoid, e.ID)
}

// observe takes what a VM saw of the endpoint.
func (e *endpoint) observe(trouble Trouble, now time.Time) {
	var rest time.Duration
	switch trouble {
	case TroubleNone:
		e.troubles = 0
		return
	case TroubleLeaving:
		e.Leaving = true
		return
	case TroubleUnreachable:
		rest = restUnreachable
		e.troubles++
	case TroubleBroken:
		rest = restBroken
	case TroubleFull:
		rest = restFull
	}
	for range min(e.troubles-1, 4) {
		rest *= 2
	}
	if to := now.Add(min(rest, restMost)); to.After(e.restsTo) {
		e.restsTo = to
	}
}
