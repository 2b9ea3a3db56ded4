package dispatcher

import (
	"errors"
	"net/http"

	"rhubarbrudder/internal/endpoint"
)

// failureKind says whose fault a failed attempt is.
type failureKind int

const (
	// failureYield is for an attempt that made room for online requests.
	failureYield failureKind = iota
	// failureUnreached is for an attempt that reached no endpoint; it isn't held against the item.
	failureUnreached
	// failureLimit is for an endpoint that asks to be left alone for a while; it isn't held against the item.
	failureLimit
	// failureAttempt is for a fault of the endpoint or the item; distinct endpoints tell which.
	failureAttempt
)

// failure is why an attempt failed.
type failure struct {
	kind   failureKind
	reason string
}

// causeYield is the failure of an attempt that was cancelled for lack of room.
var causeYield = failure{
	kind: failureYield,
}

// counts reports whether the attempt is held against the item.
func (f failure) counts() bool {
	return f.kind == failureAttempt
}

// statusError is an endpoint's answer that another attempt may not meet.
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
		kind = failureUnreached
	case errors.As(err, &status) && limits(status.status):
		kind = failureLimit
	}
	return failure{
		kind:   kind,
		reason: err.Error(),
	}
}

// limits reports whether the status asks for patience and says nothing about the item.
func limits(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
