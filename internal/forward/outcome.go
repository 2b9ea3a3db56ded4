package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/route"
)

// Served is what became of a request.
type Served struct {
	Kind route.Kind
	// Organisation is on whose behalf the request was made, or empty.
	Organisation route.OrganisationID
	Outcome      string
	// Admitted means that the request got a slot.
	Admitted bool
	// Waited is how long the request waited for slots in all its attempts, First the time from its arrival until the answer
	// to the caller began, or zero.
	Waited time.Duration
	First  time.Duration
}

// Values of Served.Outcome.
const (
	OutcomeAnswered      = "answered"
	OutcomeCallerLeft    = "caller left"
	OutcomeBrokenOff     = "broken off"
	OutcomeRefused       = "refused"
	OutcomeOverAllowance = "over allowance"
	OutcomeFailed        = "failed"
)

// Recorder records finished requests in the metrics.
type Recorder interface {
	// Request records what became of a request.
	Request(served Served)
	// Attempt records the end of an attempt, with the failure observed at the endpoint.
	Attempt(kind route.Kind, trouble pool.Trouble)
}

// outcome returns the outcome of the request, and the status of the answer to the caller.
func (s *serving) outcome(caller context.Context, err error) (outcome string, status int) {
	switch {
	case err == nil:
		return OutcomeAnswered, s.status
	case caller.Err() != nil:
		return OutcomeCallerLeft, s.status
	case s.started:
		return OutcomeBrokenOff, s.status
	case s.possibleRuns == 0 && isOverAllowance(err):
		return OutcomeOverAllowance, http.StatusTooManyRequests
	case s.possibleRuns == 0:
		// The request did not run, because it got no slot in time or because every attempt failed before it ran.
		return OutcomeRefused, http.StatusServiceUnavailable
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, ErrStopping):
		return OutcomeFailed, http.StatusGatewayTimeout
	}
	return OutcomeFailed, http.StatusBadGateway
}

// isOverAllowance reports whether a request got no slot because its organisation has used up its allowance.
func isOverAllowance(err error) bool {
	var refused *pool.Refused
	return errors.As(err, &refused) && refused.OverAllowance
}

// retryAfter returns when the caller of a request that ended with the error and did not run should retry.
func retryAfter(err error) time.Duration {
	var refused *pool.Refused
	if errors.As(err, &refused) {
		return refused.RetryAfter
	}
	if errors.Is(err, ErrStopping) {
		return StoppingRetry
	}
	return rejectedRetry
}
