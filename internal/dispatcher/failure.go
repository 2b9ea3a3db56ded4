package dispatcher

import (
	"errors"
	"net/http"

	"rhubarbrudder/internal/endpoint"
)

// failureKind classifies a failed attempt by its cause.
type failureKind int

const (
	// failureYield means that the attempt did not start, or was cancelled to make room for online requests.
	failureYield failureKind = iota
	// failureUnreachable means that the endpoint could not be reached. It does not count as an attempt of the item.
	failureUnreachable
	// failureOverloaded means that the endpoint is overloaded or rate-limits. It does not count as an attempt of the
	// item.
	failureOverloaded
	// failureAttempt means that the endpoint or the item is at fault. Attempts at other endpoints show which.
	failureAttempt
)

// failure is the cause of a failed attempt.
type failure struct {
	kind   failureKind
	reason string
}

// causeYield is the failure of an attempt that did not start, or was cancelled to make room for online requests.
var causeYield = failure{
	kind: failureYield,
}

// countsAsAttempt reports whether the failure uses up one of the item's attempts.
func (f failure) countsAsAttempt() bool {
	return f.kind == failureAttempt
}

// statusError is an answer with an error status that is worth another attempt.
type statusError struct {
	status int
}

func (e *statusError) Error() string {
	return "dispatcher: the endpoint answered " + http.StatusText(e.status)
}

func causeOf(err error) failure {
	kind := failureAttempt
	var status *statusError
	switch {
	case errors.Is(err, endpoint.ErrNotSent):
		kind = failureUnreachable
	case errors.As(err, &status) && isOverloadStatus(status.status):
		kind = failureOverloaded
	}
	return failure{
		kind:   kind,
		reason: err.Error(),
	}
}

// isOverloadStatus reports whether the status means that the endpoint is overloaded or rate-limits, rather
// than that it or the item is faulty.
func isOverloadStatus(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
