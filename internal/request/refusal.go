package request

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// OutcomeNotRun says that a refused request reached no endpoint.
	OutcomeNotRun = "not run"
	// OutcomeUnknown says that a refused request may have run.
	OutcomeUnknown = "unknown"
)

// Refusal tells a caller that its request was not answered, and whether it may have run.
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

// Error returns the refusal in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request: %s: %s", r.Code, r.Message)
}

// Outcome is the value of the header that tells whether a refused request ran.
func (r *Refusal) Outcome() string {
	if r.notRun {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// Ticket follows a request from arrival to dispatch. Only a ticket whose request was never
// dispatched, or whose every dispatch was provably not sent, makes refusals that say "not run".
type Ticket struct {
	mu   sync.Mutex
	sent int
}

// Dispatch notes that the request is about to be sent; it must come before the first byte.
func (t *Ticket) Dispatch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
}

// Undispatch takes back one dispatch that provably reached no endpoint.
func (t *Ticket) Undispatch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent--
}

// Dispatched reports whether the request may have reached an endpoint.
func (t *Ticket) Dispatched() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent > 0
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

// CorrectOutcome returns the refusal, or one that says "unknown" if the request may have reached an endpoint.
func (t *Ticket) CorrectOutcome(refusal *Refusal) *Refusal {
	vouched := *refusal
	vouched.notRun = refusal.notRun && !t.Dispatched()
	return &vouched
}

// Unknown returns a refusal of a request that may have run, or whose earlier sending may have.
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

// Reject is Invalid with a status of its own.
func Reject(status int, code, message string) *Refusal {
	return &Refusal{
		Status:  status,
		Code:    code,
		Message: message,
		notRun:  true,
	}
}
