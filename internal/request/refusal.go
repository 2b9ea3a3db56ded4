package request

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// OutcomeNotRun means that a refused request reached no endpoint.
	OutcomeNotRun = "not run"
	// OutcomeUnknown means that a refused request may have run.
	OutcomeUnknown = "unknown"
)

// Refusal is the response to a request that is not answered. It states whether the request may have run.
type Refusal struct {
	Status     int
	Code       string
	Message    string
	RetryAfter time.Duration
	notRun     bool
}

// NotRun reports whether the request reached no endpoint.
func (r *Refusal) NotRun() bool {
	return r.notRun
}

// Error returns the refusal's code and message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request: %s: %s", r.Code, r.Message)
}

// Outcome returns the value of the header that states whether a refused request ran.
func (r *Refusal) Outcome() string {
	if r.notRun {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// Ticket counts the dispatches of a request to endpoints. Its refusals say "not run" only if the request was never
// dispatched or every dispatch provably reached no endpoint.
type Ticket struct {
	mu         sync.Mutex
	dispatched int
}

// Dispatch records that the request is about to be sent; it must be called before the first byte is sent.
func (t *Ticket) Dispatch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dispatched++
}

// Undispatch reverts one Dispatch whose request provably reached no endpoint.
func (t *Ticket) Undispatch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dispatched--
}

// Dispatched reports whether the request may have reached an endpoint.
func (t *Ticket) Dispatched() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dispatched > 0
}

// Refuse returns a refusal that says "not run" only if that is true.
func (t *Ticket) Refuse(status int, code, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Status:     status,
		Code:       code,
		Message:    message,
		RetryAfter: retryAfter,
		notRun:     !t.Dispatched(),
	}
}

// CorrectOutcome returns a copy of the refusal that says "unknown" if the request may have reached an endpoint.
func (t *Ticket) CorrectOutcome(refusal *Refusal) *Refusal {
	corrected := *refusal
	corrected.notRun = refusal.notRun && !t.Dispatched()
	return &corrected
}

// Unknown returns a refusal of a request that may have run, now or when it was sent before.
func Unknown(status int, code, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Status:     status,
		Code:       code,
		Message:    message,
		RetryAfter: retryAfter,
	}
}

// Invalid returns a refusal of a request that can't be served as it is; it was not run.
func Invalid(code, message string) *Refusal {
	return Reject(http.StatusBadRequest, code, message)
}

// Reject is like Invalid but with the given status.
func Reject(status int, code, message string) *Refusal {
	return &Refusal{
		Status:  status,
		Code:    code,
		Message: message,
		notRun:  true,
	}
}
