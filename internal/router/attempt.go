package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/request"
)

// attempt holds the state of one request across the attempts to send it.
type attempt struct {
	router   *Router
	request  request.Request
	ticket   *request.Ticket
	sink     Sink
	progress *request.Progress
	// begun reports whether the sink has received a part of the answer.
	begun bool
	// tried holds the endpoints that the request was sent to.
	tried map[endpoint.ID]bool
}

func newAttempt(r *Router, req request.Request, ticket *request.Ticket, sink Sink) *attempt {
	return &attempt{
		router:   r,
		request:  req,
		ticket:   ticket,
		sink:     sink,
		progress: &request.Progress{},
		tried:    map[endpoint.ID]bool{},
	}
}

// mayRetry reports whether the request may be sent again after the failure. An idempotent request that may have run can
// be, unless a part of an answer that can't be resumed has been passed on.
func (a *attempt) mayRetry(err error) bool {
	if errors.Is(err, errSink) {
		return false
	}
	if errors.Is(err, endpoint.ErrNotSent) || errors.Is(err, errRequestNotRun) {
		return true
	}
	if !a.request.Idempotent {
		return false
	}
	return !a.begun || a.request.Shape.Resumable
}

// try sends the request to one endpoint and passes its answer on.
func (a *attempt) try(ctx context.Context, target endpoint.Endpoint) error {
	body, err := a.request.EndpointBody(a.progress)
	if err != nil {
		return err
	}
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := a.watch(cancel)
	defer watch.stop()
	done := a.router.tracker.Start(target.ID, a.request.Class)
	defer done()
	err = a.send(sending, target, body, watch)
	if err == nil {
		a.router.tracker.Succeeded(target.ID)
		return nil
	}
	if cause := context.Cause(sending); errors.Is(cause, errStalled) {
		err = errors.Join(cause, err)
	}
	if ctx.Err() == nil && !errors.Is(err, errSink) {
		a.router.tracker.Failed(target.ID)
	}
	return err
}

func (a *attempt) send(ctx context.Context, target endpoint.Endpoint, body []byte, watch *stallWatch) error {
	a.ticket.Dispatch()
	answer, err := a.router.sender.Send(ctx, target, a.request, body)
	if errors.Is(err, endpoint.ErrNotSent) {
		a.ticket.Undispatch()
	}
	if err != nil {
		return err
	}
	defer answer.Close()
	if answer.Status == http.StatusTooManyRequests || answer.Status == http.StatusServiceUnavailable {
		return a.refusedByEndpoint(answer)
	}
	return a.pass(answer, watch)
}

// headerOutcome is set to "not run" by an endpoint that did not run the request.
const headerOutcome = "Rhubarbrudder-Outcome"

// refusedByEndpoint returns the error for a status of 429 or 503. A model engine that answers so is taken
// not to have run the request; a plain service only if its answer's headerOutcome says so.
func (a *attempt) refusedByEndpoint(answer *endpoint.Answer) error {
	if a.request.Shape.Engine || answer.Header.Get(headerOutcome) == request.OutcomeNotRun {
		a.ticket.Undispatch()
		return errRequestNotRun
	}
	return endpoint.ErrBroken
}

// pass passes an answer to the sink, a streamed answer of a model engine event by event and any other as a whole.
func (a *attempt) pass(answer *endpoint.Answer, watch *stallWatch) error {
	if !answer.Streamed || !a.request.Shape.Engine {
		return a.passWhole(answer)
	}
	for {
		data, err := answer.Next()
		watch.stop()
		if errors.Is(err, io.EOF) || (err != nil && a.textComplete()) {
			return a.finish()
		}
		if err != nil {
			return err
		}
		if err := a.passEvent(answer.Header, data); err != nil {
			return err
		}
		watch.restart()
	}
}

// textComplete reports whether a broken answer has everything that the caller asked for except the end marker.
func (a *attempt) textComplete() bool {
	needsUsage := a.request.Shape.Usage || !a.request.Shape.Stream
	return a.request.Shape.Resumable && a.progress.Finish != "" && (a.progress.UsageKnown() || !needsUsage)
}

// passWhole reads an answer to its end, checks it and passes it on.
func (a *attempt) passWhole(answer *endpoint.Answer) error {
	body, err := answer.ReadBody()
	if err != nil {
		return err
	}
	if id := answer.Header.Get(endpoint.HeaderRequestID); id != "" && id != string(a.request.ID) {
		return errCrossed
	}
	if a.begun {
		return endpoint.ErrBroken
	}
	if a.request.Shape.Engine {
		if err := a.checkWhole(answer.Status, body); err != nil {
			return err
		}
	}
	return sinkError(a.sink.Whole(answer.Status, answer.Header, body))
}

// checkWhole returns an error unless the body is an engine's complete answer to this request, or the status says that
// the engine rejected the request, so that a retry would not help.
func (a *attempt) checkWhole(status int, body []byte) error {
	if status >= http.StatusInternalServerError {
		return endpoint.ErrBroken
	}
	if status >= http.StatusBadRequest {
		return nil
	}
	// The engine was asked for a stream but answered without one.
	if a.request.Shape.Resumable || a.request.Shape.Stream {
		return endpoint.ErrBroken
	}
	chunk, err := request.ParseChunk(body)
	if err != nil || chunk.Finish == "" {
		return errors.Join(endpoint.ErrBroken, err)
	}
	if !chunk.Belongs(a.request.ID) {
		return errCrossed
	}
	return nil
}

// passEvent adds an event to the progress and passes it on, unless the caller did not ask for it or gets a whole answer.
func (a *attempt) passEvent(header http.Header, data []byte) error {
	chunk, err := request.ParseChunk(data)
	if err != nil {
		return errors.Join(endpoint.ErrBroken, err)
	}
	if !chunk.Belongs(a.request.ID) {
		return errCrossed
	}
	if !a.progress.Add(chunk) {
		return nil
	}
	if a.request.Shape.Resumable && !a.request.Shape.Stream {
		return nil
	}
	if chunk.Usage && a.request.Shape.Resumable {
		if !a.request.Shape.Usage {
			return nil
		}
		if err := a.finishReason(); err != nil {
			return err
		}
		data, err = a.progress.UsageEvent(data)
		if err != nil {
			return err
		}
	}
	return a.event(header, data)
}

// event passes an event to the sink. Before the first one it begins the answer.
func (a *attempt) event(header http.Header, data []byte) error {
	if !a.begun {
		a.begun = true
		if err := a.sink.Begin(header); err != nil {
			return sinkError(err)
		}
	}
	return sinkError(a.sink.Event(data))
}

// finish ends the answer. An answer without a finish reason is incomplete.
func (a *attempt) finish() error {
	if a.progress.Finish == "" {
		return endpoint.ErrBroken
	}
	if a.request.Shape.Stream {
		return a.finishStream()
	}
	body, err := a.progress.WholeBody(a.request)
	if err != nil {
		return err
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	return sinkError(a.sink.Whole(http.StatusOK, header, body))
}

// finishStream ends a streamed answer.
func (a *attempt) finishStream() error {
	if err := a.finishReason(); err != nil {
		return err
	}
	return sinkError(a.sink.End())
}

// finishReason sends the finish reason unless an endpoint has sent it.
func (a *attempt) finishReason() error {
	if !a.progress.TakeAddedFinish() {
		return nil
	}
	event, err := a.progress.FinishEvent(a.request)
	if err != nil {
		return err
	}
	return a.event(http.Header{}, event)
}

// sinkError marks an error of the sink as errSink, so that the request is not retried.
func sinkError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Join(errSink, err)
}

// stallWatch cancels an attempt whose engine sends nothing for too long. A nil stallWatch does nothing.
type stallWatch struct {
	timer *time.Timer
	// between is the longest time between two events.
	between time.Duration
}

// watch starts a stallWatch for the first event. It returns nil for an answer that is not streamed by an engine.
func (a *attempt) watch(cancel context.CancelCauseFunc) *stallWatch {
	if !a.request.Shape.Engine || !a.request.Shape.Resumable && !a.request.Shape.Stream {
		return nil
	}
	return &stallWatch{
		timer:   time.AfterFunc(a.router.stall.First, func() { cancel(errStalled) }),
		between: a.router.stall.Between,
	}
}

// restart starts the timer for the next event. The timer is stopped while an event is passed on, so that the time a
// slow caller takes to read it does not count against the engine.
func (w *stallWatch) restart() {
	if w != nil {
		w.timer.Reset(w.between)
	}
}

func (w *stallWatch) stop() {
	if w != nil {
		w.timer.Stop()
	}
}
