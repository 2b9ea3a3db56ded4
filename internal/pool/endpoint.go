package pool

import (
	"slices"
	"time"

	"rhubarbrudder/internal/inventory"
)

// endpoint is the state of an endpoint in the pool.
type endpoint struct {
	inventory.Endpoint
	running int
	// troubles counts unreachable and silent failures since the last success.
	troubles int
	// trialLimit is the run limit while the endpoint is on trial after a failure; zero means that it is not on trial.
	trialLimit int
	// troubledAt is the time of the last unreachable or silent failure.
	troubledAt   time.Time
	backoffUntil time.Time
	// gone means that the endpoint is no longer listed.
	gone bool
	// firstLatency is the moving average of the time to first event, zero if there was none; firstLatencyAt is when the
	// last first event was reported.
	firstLatency   time.Duration
	firstLatencyAt time.Time
	// slow is the value in the last assessment, which was logged; Pool.slow gives the current one.
	slow bool
}

// better reports whether e should be preferred: by free slots, and among equals if only e is in the domain.
func (e *endpoint) better(than *endpoint, domain inventory.Domain) bool {
	if mine, theirs := e.limit()-e.running, than.limit()-than.running; mine != theirs {
		return mine > theirs
	}
	return e.Domain == domain && than.Domain != domain
}

// limit returns the run limit: one after an unreachable or silent failure, more with each success, up to the slots.
func (e *endpoint) limit() int {
	if e.trialLimit > 0 {
		return min(e.trialLimit, e.Slots)
	}
	return e.Slots
}

// succeed records that the endpoint works.
func (e *endpoint) succeed() {
	e.troubles = 0
	e.trialLimit *= trialGrowth
	if e.trialLimit >= e.Slots {
		e.trialLimit = 0
	}
}

// accepts reports whether the endpoint can take the ticket as far as its state allows; free slots are not considered.
func (e *endpoint) accepts(t Ticket, now time.Time) bool {
	return !e.gone && !e.Leaving && !now.Before(e.backoffUntil) && !slices.Contains(t.Avoid, e.ID)
}

// applyTrouble records a failure or success that a VM observed at the endpoint.
func (e *endpoint) applyTrouble(trouble Trouble, now time.Time) {
	var backoff time.Duration
	switch trouble {
	case TroubleNone:
		e.succeed()
		return
	case TroubleLeaving:
		e.Leaving = true
		return
	case TroubleUnreachable, TroubleSilent:
		backoff = backoffUnreachable
		e.troubles++
		e.trialLimit = 1
		e.troubledAt = now
	case TroubleBroken:
		backoff = backoffBroken
	case TroubleFull:
		backoff = backoffFull
	case TroubleUnknown:
		return
	}
	for range min(e.troubles-1, 4) {
		backoff *= 2
	}
	if until := now.Add(min(backoff, backoffMax)); until.After(e.backoffUntil) {
		e.backoffUntil = until
	}
}
