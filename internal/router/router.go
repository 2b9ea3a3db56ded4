// Package router sends a request to endpoints until one whole answer is passed on or the request is refused.
package router

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/explain"
	"rhubarbrudder/internal/request"
)

// Sink takes an answer: either one Whole, or Begin, Events and End.
type Sink interface {
	Whole(status int, header http.Header, body []byte) error
	Begin(header http.Header) error
	Event(data []byte) error
	End() error
}

// Picker chooses an endpoint that was not tried yet.
type Picker interface {
	Pick(service document.ServiceName, shape request.Shape, tried map[endpoint.ID]bool) (endpoint.Endpoint, bool)
}

// Sender sends a request to one endpoint.
type Sender interface {
	Send(ctx context.Context, target endpoint.Endpoint, r request.Request, body []byte) (*endpoint.Answer, error)
}

// Tracker follows what is in flight at endpoints.
type Tracker interface {
	Start(id endpoint.ID, class request.Class) func()
	Failed(id endpoint.ID)
	Succeeded(id endpoint.ID)
}

// Router routes requests.
type Router struct {
	picker  Picker
	sender  Sender
	tracker Tracker
	notes   *explain.Recorder
	log     *slog.Logger
}

// New returns a router; notes may be nil.
func New(picker Picker, sender Sender, tracker Tracker, notes *explain.Recorder, log *slog.Logger) *Router {
	return &Router{
		notes:   notes,
		picker:  picker,
		sender:  sender,
		tracker: tracker,
		log:     log,
	}
}

const (
	mostAttempts = 4
	noEndpointIn = time.Second
)

// attempt is the state of one request over its attempts.
type attempt struct {
	router   *Router
	request  request.Request
	ticket   *request.Ticket
	sink     Sink
	progress *request.Progress
	begun    bool
	tried    map[endpoint.ID]bool
}

// Do passes the request's answer to the sink. A refusal means that nothing whole was passed on.
func (r *Router) Do(ctx context.Context, req request.Request, ticket *request.Ticket, sink Sink) error {
	a := &attempt{
		router:   r,
		request:  req,
		ticket:   ticket,
		sink:     sink,
		progress: &request.Progress{},
		tried:    map[endpoint.ID]bool{},
	}
	var last error
	for range mostAttempts {
		target, ok := r.picker.Pick(req.Service, req.Shape, a.tried)
		if !ok {
			break
		}
		a.tried[target.ID] = true
		r.notes.Note(explain.Subject(req.ID), "sent to "+string(target.ID))
		last = a.try(ctx, target)
		if last == nil || ctx.Err() != nil || !a.mayRetry(last) {
			break
		}
		r.log.Info("request retried", "request", req.ID, "endpoint", target.ID, "err", last)
	}
	return a.outcome(ctx, last)
}

func (a *attempt) outcome(ctx context.Context, last error) error {
	if last == nil && len(a.tried) > 0 {
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var refusal *request.Refusal
	if errors.As(last, &refusal) {
		return refusal
	}
	if last == nil || errors.Is(last, endpoint.ErrNotSent) {
		return a.ticket.Refuse(http.StatusServiceUnavailable, "no_endpoint", "no endpoint can take the request", noEndpointIn)
	}
	return a.ticket.Refuse(http.StatusBadGateway, "answer_broken", "the answer broke off", 0)
}

// mayRetry reports whether the request may be sent again after the failure.
func (a *attempt) mayRetry(err error) bool {
	if errors.Is(err, errSink) {
		return false
	}
	if errors.Is(err, endpoint.ErrNotSent) || errors.Is(err, errEndpointNotRun) {
		return true
	}
	if !a.request.Idempotent {
		return false
	}
	return !a.begun || a.request.Shape.Resumable
}

func (a *attempt) try(ctx context.Context, target endpoint.Endpoint) error {
	body, err := a.request.EndpointBody(a.progress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := a.router.tracker.Start(target.ID, a.request.Class)
	defer done()
	a.ticket.Dispatch()
	answer, err := a.router.sender.Send(ctx, target, a.request, body)
	if err != nil {
		if errors.Is(err, endpoint.ErrNotSent) {
			a.ticket.Undispatch()
		}
		a.failed(ctx, target)
		return err
	}
	defer answer.Close()
	if answer.Status == http.StatusTooManyRequests || answer.Status == http.StatusServiceUnavailable {
		a.failed(ctx, target)
		return a.notTaken(answer)
	}
	if err := a.pass(answer); err != nil {
		a.failed(ctx, target)
		return err
	}
	a.router.tracker.Succeeded(target.ID)
	return nil
}

// headerOutcome is set to "not run" by an endpoint that took nothing on.
const headerOutcome = "Rhubarbrudder-Outcome"

func (a *attempt) notTaken(answer *endpoint.Answer) error {
	if a.request.Shape.Engine || answer.Header.Get(headerOutcome) == "not run" {
		a.ticket.Undispatch()
		return errEndpointNotRun
	}
	return endpoint.ErrBroken
}

// failed holds a failure against the endpoint unless the caller left.
func (a *attempt) failed(ctx context.Context, target endpoint.Endpoint) {
	if ctx.Err() == nil {
		a.router.tracker.Failed(target.ID)
	}
}

func (a *attempt) pass(answer *endpoint.Answer) error {
	if !answer.Streamed {
		return a.passWhole(answer)
	}
	for {
		data, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return a.finish()
		}
		if err != nil {
			return err
		}
		if err := a.passEvent(answer.Header, data); err != nil {
			return err
		}
	}
}

func (a *attempt) passWhole(answer *endpoint.Answer) error {
	body, err := answer.Whole()
	if err != nil {
		return err
	}
	if id := answer.Header.Get(endpoint.HeaderRequestID); id != "" && id != string(a.request.ID) {
		return errCrossed
	}
	if answer.Status >= http.StatusInternalServerError && a.request.Shape.Engine {
		return endpoint.ErrBroken
	}
	if a.begun {
		return endpoint.ErrBroken
	}
	return sinkError(a.sink.Whole(answer.Status, answer.Header, body))
}

func (a *attempt) passEvent(header http.Header, data []byte) error {
	chunk, err := request.ParseChunk(data)
	if err != nil {
		return errors.Join(endpoint.ErrBroken, err)
	}
	if !chunk.Belongs(a.request.ID) {
		return errCrossed
	}
	a.progress.Add(chunk)
	if a.request.Shape.Resumable && !a.request.Shape.Stream {
		return nil
	}
	if chunk.Usage && a.request.Shape.Resumable {
		if !a.request.Shape.Usage {
			return nil
		}
		data, err = a.progress.UsageEvent(data)
		if err != nil {
			return err
		}
	}
	if !a.begun {
		a.begun = true
		if err := a.sink.Begin(header); err != nil {
			return sinkError(err)
		}
	}
	return sinkError(a.sink.Event(data))
}

// finish ends the answer, which is whole only with a finish reason.
func (a *attempt) finish() error {
	if a.progress.Finish == "" {
		return endpoint.ErrBroken
	}
	if a.request.Shape.Stream {
		return sinkError(a.sink.End())
	}
	body, err := a.progress.WholeBody(a.request)
	if err != nil {
		return err
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	return sinkError(a.sink.Whole(http.StatusOK, header, body))
}

func sinkError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Join(errSink, err)
}

// Broken reports whether a refusal came after part of a streamed answer was passed on.
func Broken(err error) bool {
	var refusal *request.Refusal
	return errors.As(err, &refusal) && strings.HasPrefix(refusal.Code, "answer_")
}
