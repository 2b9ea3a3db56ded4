// Package router sends a request to endpoints, with retries, until one complete answer has been passed on or the
// request is refused.
package router

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/explain"
	"rhubarbrudder/internal/request"
)

// Sink receives an answer: either by one call of Whole, or by one call of Begin, any number of calls of Event and then
// one of End. An error means that the answer can't be written to the caller.
type Sink interface {
	Whole(status int, header http.Header, body []byte) error
	Begin(header http.Header) error
	Event(data []byte) error
	End() error
}

// Picker chooses an endpoint that has not been tried yet.
type Picker interface {
	Pick(service document.ServiceName, shape request.Shape, tried map[endpoint.ID]bool) (endpoint.Endpoint, bool)
}

// Sender sends a request to one endpoint.
type Sender interface {
	Send(ctx context.Context, target endpoint.Endpoint, r request.Request, body []byte) (*endpoint.Answer, error)
}

// Tracker counts the requests in flight at endpoints and records failures and successes.
type Tracker interface {
	// Start counts a request as in flight until the returned function is called.
	Start(id endpoint.ID, class request.Class) func()
	Failed(id endpoint.ID)
	Succeeded(id endpoint.ID)
}

// Router sends requests to endpoints.
type Router struct {
	picker  Picker
	sender  Sender
	tracker Tracker
	stall   StallTimeouts
	budget  *retryBudget
	notes   *explain.Recorder
	log     *slog.Logger
}

// StallTimeouts limits how long a model engine may send nothing before its answer counts as broken.
type StallTimeouts struct {
	// First is the longest time to the first token.
	First time.Duration
	// Between is the longest time between two tokens.
	Between time.Duration
}

// New returns a router; notes may be nil.
func New(picker Picker, sender Sender, tracker Tracker, stall StallTimeouts, notes *explain.Recorder, log *slog.Logger) *Router {
	return &Router{
		stall:   stall,
		budget:  newRetryBudget(),
		notes:   notes,
		picker:  picker,
		sender:  sender,
		tracker: tracker,
		log:     log,
	}
}

const (
	// maxAttempts is the largest number of endpoints that a request is sent to.
	maxAttempts = 4
	// noEndpointRetryAfter is the time after which a caller is asked to retry if no endpoint could take the request.
	noEndpointRetryAfter = time.Second
)

// Do passes the request's answer to the sink. A refusal means that no complete answer was passed on.
func (r *Router) Do(ctx context.Context, req request.Request, ticket *request.Ticket, sink Sink) error {
	if !req.Deadline.IsZero() {
		bounded, cancel := context.WithDeadlineCause(ctx, req.Deadline, errDeadline)
		defer cancel()
		ctx = bounded
	}
	a := newAttempt(r, req, ticket, sink)
	r.budget.addRequest(req.Service, time.Now())
	lastErr := a.run(ctx)
	if lastErr == nil && len(a.tried) > 0 {
		return nil
	}
	return a.refusal(ctx, lastErr)
}

// run tries endpoints until one answers completely or no retry is allowed. It returns the last failure. Without a
// failure it returns nil, which means either success or that there was no endpoint to try.
func (a *attempt) run(ctx context.Context) error {
	var lastErr error
	for range maxAttempts {
		target, ok := a.router.picker.Pick(a.request.Service, a.request.Shape, a.tried)
		if !ok {
			break
		}
		if lastErr != nil && !a.begun && !a.router.budget.takeRetry(a.request.Service, time.Now()) {
			a.note("not retried: retry budget spent")
			break
		}
		a.tried[target.ID] = true
		a.note("sent to " + string(target.ID))
		lastErr = a.try(ctx, target)
		if lastErr == nil || ctx.Err() != nil || !a.mayRetry(lastErr) {
			break
		}
		a.progress.BeginAttempt(a.request.Shape)
		if a.textComplete() {
			// The failed answer lacks only its end.
			return a.finish()
		}
		a.router.log.Info("no complete answer from endpoint", "request", a.request.ID, "endpoint", target.ID, "tokens", a.progress.Tokens, "err", lastErr)
	}
	return lastErr
}

func (a *attempt) note(text string) {
	a.router.notes.Note(explain.Subject(a.request.ID), text)
}

// refusal turns the last failure into the error that the caller receives.
func (a *attempt) refusal(ctx context.Context, lastErr error) error {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return a.ticket.Refuse(http.StatusGatewayTimeout, "answer_late", "the request's deadline has passed", 0)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if lastErr == nil || errors.Is(lastErr, endpoint.ErrNotSent) || errors.Is(lastErr, errRequestNotRun) {
		return a.ticket.Refuse(http.StatusServiceUnavailable, "no_endpoint", "no endpoint can take the request", noEndpointRetryAfter)
	}
	// This also covers answers that ended but can't be used, such as an engine's 5xx or an answer of another request.
	return a.ticket.Refuse(http.StatusBadGateway, "answer_broken", "the answer broke off", 0)
}

// Broken reports whether a refusal means that no endpoint gave a complete answer although one may have run the request,
// or that there was no complete answer before the deadline.
func Broken(err error) bool {
	var refusal *request.Refusal
	return errors.As(err, &refusal) && strings.HasPrefix(refusal.Code, "answer_")
}
