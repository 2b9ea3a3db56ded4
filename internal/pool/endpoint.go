package pool

import (
	"slices"
	"time"

	"rhubarbrudder/internal/inventory"
)

// endpoint is the state of an endpoint in the pool.
type endpoint struct {
	inventory.Endpoint
	// running is the number of slots in use; a revoked run no longer counts.
	running int
	// consecutiveFailures counts unreachable and silent failures since the last success.
	consecutiveFailures int
	// trialLimit is the run limit while the endpoint is on trial after a failure; zero means that it is not on trial.
	trialLimit int
	// lastFailure is the time of the last unreachable or silent failure.
	lastFailure time.Time
	// backoffUntil is when the endpoint may get new work again.
	backoffUntil time.Time
	// gone means that the endpoint is no longer listed.
	gone bool
	// allowance counts the requests against the limit that the endpoint names, if it names one.
	allowance endpointAllowance
	// firstEventLatency is the moving average of the time from a grant to the first event, zero if none was reported
	// yet; it was last updated at firstEventLatencyAt.
	firstEventLatency   time.Duration
	firstEventLatencyAt time.Time
	// loggedSlow is the result of Pool.slow when it last changed in Observe, which the steward logged.
	loggedSlow bool
	// adaptive is what is known of the endpoint's answers, or nil unless the pool adapts run limits to them.
	adaptive *adaptiveState
}

// better reports whether e should be preferred to other: e has more free slots, or as many and is, unlike other, in the
// given failure domain.
func (e *endpoint) better(other *endpoint, domain inventory.Domain) bool {
	if mine, theirs := e.limit()-e.running, other.limit()-other.running; mine != theirs {
		return mine > theirs
	}
	return e.Domain == domain && other.Domain != domain
}

// limit returns the run limit: one after an unreachable or silent failure, more with each success, up to the slots.
func (e *endpoint) limit() int {
	if e.adaptive != nil {
		return e.adaptive.runs(e.Slots, e.allowance.share)
	}
	if e.trialLimit > 0 {
		return min(e.trialLimit, e.Slots)
	}
	return e.Slots
}

// succeed records that the endpoint works.
func (e *endpoint) succeed() {
	e.consecutiveFailures = 0
	e.trialLimit *= trialGrowth
	if e.trialLimit >= e.Slots {
		e.trialLimit = 0
	}
}

// accepts reports whether the endpoint can take a ticket that avoids some endpoints, as far as its state allows; free slots
// are not considered.
func (e *endpoint) accepts(avoid []inventory.ID, now time.Time) bool {
	return !e.gone && !e.Leaving && !now.Before(e.backoffUntil) && !slices.Contains(avoid, e.ID) && e.allowance.allows(now)
}

// sound reports whether the endpoint is in use and has not failed since its last success.
func (e *endpoint) sound() bool {
	return !e.gone && !e.Leaving && e.trialLimit == 0
}

// applyTrouble applies what a VM observed at the endpoint; TroubleNone is a success.
func (e *endpoint) applyTrouble(trouble Trouble, now time.Time) {
	var backoff time.Duration
	switch trouble {
	case TroubleNone:
		e.succeed()
		return
	case TroubleLeaving:
		// Only the list and the endpoint itself tell for how long it leaves. The VM may know an older list.
		backoff = backoffLeaving
	case TroubleUnreachable, TroubleSilent, TroubleCrashed:
		backoff = backoffUnreachable
		e.consecutiveFailures++
		e.trialLimit = 1
		e.lastFailure = now
	case TroubleBroken:
		backoff = backoffBroken
	case TroubleFull:
		backoff = backoffFull
	case TroubleUnknown:
		return
	}
	// Each unreachable or silent failure in a row after the first doubles the backoff, also that after a broken
	// connection or a rejection, at most four times.
	for range min(e.consecutiveFailures-1, 4) {
		backoff *= 2
	}
	if until := now.Add(min(backoff, e.maxBackoff())); until.After(e.backoffUntil) {
		e.backoffUntil = until
	}
}
