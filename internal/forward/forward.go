// Package forward forwards callers' requests to endpoints and returns the answers, byte for byte.
package forward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/memory"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/prompt"
	"rhubarbrudder/internal/route"
)

// Pools grants slots at endpoints.
type Pools interface {
	Acquire(ctx context.Context, service route.Service, request pool.SlotRequest) (*pool.Slot, error)
}

// Inventory is the part of the endpoint inventory that is used here.
type Inventory interface {
	// LeavingOrGone reports whether an endpoint takes no new work in the lifetime.
	LeavingOrGone(lifetime inventory.Lifetime) bool
}

// Routes watches the configuration in force.
type Routes interface {
	// Watch returns a context that ends with route.ErrMoved as soon as the configuration in force does not fit, and a
	// function that releases it.
	Watch(ctx context.Context, fits func(*route.Config) bool) (context.Context, context.CancelFunc)
	Current() *route.Config
}

// Forwarder serves online requests.
type Forwarder struct {
	pools     Pools
	routes    Routes
	inventory Inventory
	sender    *Sender
	headers   Headers
	recorder  Recorder
	stop      *stop
	log       *slog.Logger
}

const (
	// firstEventAllowance is reserved for the time to first event: about 50 ms at a free endpoint, plus the transfer
	// from and to the caller, who measures from before its connection is made.
	firstEventAllowance = 75 * time.Millisecond
	// minPatience is how long callers wait for data at least. On routes with a longer objective or longer pauses they
	// wait patienceObjectives times the objective, or patiencePauses times the pause, if that is more.
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patiencePauses     = 8
	// patienceMargin is the time reserved for the last answer to reach the caller: a request is refused that long before
	// the caller stops waiting, and an answer may be written until that long after the deadline.
	patienceMargin = 150 * time.Millisecond
	// maxAttempts is the maximum number of attempts for one request.
	maxAttempts = 6
	// rejectedRetry is the retry delay for callers whose request was rejected at each attempt. In that time several of the
	// requests that fill an endpoint end.
	rejectedRetry = 400 * time.Millisecond
)

// New returns a forwarder.
func New(pools Pools, routes Routes, list Inventory, sender *Sender, headers Headers, recorder Recorder, log *slog.Logger) *Forwarder {
	return &Forwarder{
		pools:     pools,
		routes:    routes,
		inventory: list,
		sender:    sender,
		headers:   headers,
		recorder:  recorder,
		stop:      newStop(),
		log:       log,
	}
}

// serving is the state of one request.
type serving struct {
	*Forwarder
	w       http.ResponseWriter
	control *http.ResponseController
	route   *route.Route
	// service is the one picked by the route's shares; it stays the same once the answer has begun.
	service route.Service
	// meta.After is the id of the last event sent to the caller once the answer has begun.
	meta   Meta
	call   Call
	prompt prompt.Prompt
	// promptTokens is the size of the prompt that the request's headers state, or zero.
	promptTokens PromptTokens
	arrived      time.Time
	// deadline is the time limit for the complete answer.
	deadline time.Time
	// lastEvent is when something was last sent to the caller, or when the request arrived.
	lastEvent time.Time
	// attempts counts the slots used, also if the request could not be sent; possibleRuns counts the attempts in which
	// the request may have run. Log lines call them sends and runs.
	attempts     int
	possibleRuns int
	// avoid lists the endpoints at which an attempt failed.
	avoid []inventory.ID
	// started means that the answer to the caller has begun.
	started bool
	// onFirstEvent, if set, is called once, on the first event of the current attempt.
	onFirstEvent func()
	// events counts the events sent to the caller, in all attempts.
	events int
	// waited is the time that all attempts together waited for a slot, first the time from the arrival until the answer
	// to the caller began, or zero.
	waited time.Duration
	first  time.Duration
	// status is that of the answer to the caller, or zero if it has not begun.
	status int
	// endpoint is where the last slot was granted.
	endpoint inventory.ID
	// answerBegun means that the headers of the last attempt's answer have arrived, contentBegan is when the first event
	// of a stream or the headers of another answer did, or zero.
	answerBegun  bool
	contentBegan time.Time
	// account counts the memory held for the request, source reads the answer of the current attempt.
	account *memory.Account
	source  *readAhead
}

// Serve answers a request of the route on the caller's behalf; body is the complete request body, and account counts what is
// held for the answer.
func (f *Forwarder) Serve(w http.ResponseWriter, r *http.Request, rt *route.Route, caller Caller, account *memory.Account, body []byte, arrived time.Time) {
	meta := f.headers.Meta(r)
	s := &serving{
		Forwarder:    f,
		w:            w,
		control:      http.NewResponseController(w),
		route:        rt,
		service:      rt.Pick(string(meta.ID)),
		meta:         meta,
		prompt:       f.headers.Prompt(r.Header),
		promptTokens: f.headers.PromptTokens(r.Header),
		arrived:      arrived,
		lastEvent:    arrived,
		account:      account,
		deadline:     arrived.Add(rt.Timeout),
		call: Call{
			ID:     meta.ID,
			Method: r.Method,
			Host:   r.Host,
			Target: r.RequestURI,
			Header: r.Header,
			Body:   body,
			Caller: caller,
		},
	}
	if budget := arrived.Add(meta.Budget); meta.Budget > 0 && budget.Before(s.deadline) {
		s.deadline = budget
	}
	ctx, cancel := context.WithDeadline(r.Context(), s.deadline)
	defer cancel()
	ctx, release := endWith(ctx, f.stop.answering)
	defer release()
	_ = s.control.SetWriteDeadline(s.deadline.Add(patienceMargin))
	err := s.run(ctx)
	s.finish(r.Context(), err)
}

// run sends the request until it is answered or can't be retried; nil means that the caller has the complete answer.
func (s *serving) run(ctx context.Context) error {
	for {
		s.call.Caller = s.call.Caller.In(s.routes.Current())
		asked := time.Now()
		slot, err := s.acquireBeforeStop(ctx)
		s.waited += time.Since(asked)
		if errors.Is(err, route.ErrMoved) {
			continue
		}
		if err != nil {
			return err
		}
		err = s.attempt(ctx, slot)
		ending := s.ending(ctx, slot, err)
		slot.End(ending)
		s.recorder.Attempt(s.route.Kind, ending.Trouble)
		if err == nil || ctx.Err() != nil {
			return err
		}
		s.log.Info("attempt failed", "id", s.meta.ID, "endpoint", slot.Endpoint.ID, "sends", s.attempts, "runs", s.possibleRuns, "events", s.events,
			"answer_ms", ending.Answered.Milliseconds(), "trouble", ending.Trouble, "prompt", s.prompt, "err", err)
		if !s.mayRetry(err) {
			return err
		}
		s.avoid = append(s.avoid, slot.Endpoint.ID)
	}
}

// mayRetry reports whether the request may be sent again after the error.
func (s *serving) mayRetry(err error) bool {
	if s.attempts >= maxAttempts || errors.Is(err, errCut) {
		return false
	}
	if NotRun(err) {
		return true
	}
	return s.route.Repeatable() && s.possibleRuns < s.route.Attempts && !errors.Is(err, errCaller)
}

// ending returns what the end of an attempt says about its endpoint and about the request's prompt.
func (s *serving) ending(ctx context.Context, slot *pool.Slot, err error) pool.Ending {
	ending := pool.Ending{
		Trouble:  s.trouble(err),
		Complete: err == nil && s.status < http.StatusMultipleChoices,
		Begun:    s.answerBegun,
	}
	if !s.contentBegan.IsZero() {
		ending.Answered = time.Since(s.contentBegan)
	}
	if len(s.prompt.Shared()) == 0 {
		return ending
	}
	return s.sender.CheckCrash(ctx, slot.Endpoint, err, ending)
}

// errCaller means that the answer could not be written to the caller.
var errCaller = errors.New("forward: caller gone")

// attempt sends the request to the slot's endpoint and forwards the answer to the caller.
func (s *serving) attempt(ctx context.Context, slot *pool.Slot) error {
	s.attempts++
	s.endpoint = slot.Endpoint.ID
	s.answerBegun = false
	s.contentBegan = time.Time{}
	if err := CheckNotLeaving(s.inventory, slot.Endpoint); err != nil {
		return err
	}
	ctx, watchdog := NewWatchdog(ctx, s.firstTimeout())
	defer watchdog.Stop()
	if s.route.Kind == route.KindStream {
		defer s.watchPace(slot)()
	}
	send := SendParams{
		Left:     time.Until(s.deadline),
		Answered: slot.ObserveLimit,
		Leaves:   slot.ObserveLeaving,
	}
	if s.started {
		send.After = s.meta.After
		send.Resumes = true
	}
	response, err := s.sender.Open(ctx, slot.Endpoint, s.call, send)
	if err != nil {
		if !NotRun(err) {
			s.possibleRuns++
		}
		return err
	}
	defer func() {
		_ = response.Body.Close()
	}()
	s.possibleRuns++
	s.answerBegun = true
	s.source = newReadAhead(response.Body, s.account, watchdog, s.nextTimeout, func() {
		s.endEarly(slot, response)
	})
	defer s.source.close()
	if s.route.Kind == route.KindStream && response.StatusCode == http.StatusOK {
		return s.forwardStream(ctx, response)
	}
	s.contentBegan = time.Now()
	return s.forwardWhole(ctx, response)
}

// endEarly returns the slot of an answer that has been read to its end while the caller has yet to take the rest, so that a slow
// caller does not keep it. An answer that ends with its connection may be incomplete; its slot is returned as usual.
func (s *serving) endEarly(slot *pool.Slot, response *http.Response) {
	if EndsWithConnection(response) {
		return
	}
	slot.End(pool.Ending{
		Complete: response.StatusCode < http.StatusMultipleChoices,
		Begun:    true,
		Answered: time.Since(s.contentBegan),
	})
}

// trouble returns the failure of the endpoint that the end of an attempt indicates. Silence counts only for streams, as
// the duration of other answers says nothing about the endpoint's health.
func (s *serving) trouble(err error) pool.Trouble {
	if trouble := Trouble(err); trouble != pool.TroubleSilent || s.route.Kind == route.KindStream {
		return trouble
	}
	return pool.TroubleBroken
}

// begin begins the answer to the caller, with the status and the headers of the response and with contentLength unless
// that is unknownLength.
func (s *serving) begin(response *http.Response, contentLength int64) {
	s.started = true
	s.first = time.Since(s.arrived)
	s.status = response.StatusCode
	header := s.w.Header()
	for name, values := range s.headers.Returned(response.Header) {
		header[name] = values
	}
	if contentLength != unknownLength {
		header.Set("Content-Length", strconv.FormatInt(contentLength, 10))
	}
	s.w.WriteHeader(response.StatusCode)
}

// brokenError returns ErrBroken joined with the reason: why ctx was cancelled, or else err.
func brokenError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return errors.Join(ErrBroken, err)
}

// finish logs and records the outcome of the request. If the request was not answered, it aborts the connection, if the
// answer has begun or the caller has left, or else answers with an error status.
func (s *serving) finish(caller context.Context, err error) {
	outcome, status := s.outcome(caller, err)
	s.recorder.Request(Served{
		Kind:         s.route.Kind,
		Organisation: s.call.Caller.Organisation,
		Outcome:      outcome,
		Admitted:     s.attempts > 0,
		Waited:       s.waited,
		First:        s.first,
	})
	log := s.log
	if s.call.Caller.Keyed {
		log = log.With("organisation", s.call.Caller.Organisation)
	}
	log.Info("request", "id", s.meta.ID, "route", s.route.Name, "outcome", outcome, "status", status,
		"endpoint", s.endpoint, "sends", s.attempts, "runs", s.possibleRuns, "events", s.events,
		"waited_ms", s.waited.Milliseconds(), "first_ms", s.first.Milliseconds(), "total_ms", time.Since(s.arrived).Milliseconds(), "prompt", s.prompt, "err", err)
	if err == nil {
		return
	}
	if s.started || caller.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		s.headers.SetRetryAfter(s.w.Header(), retryAfter(err))
	}
	s.w.WriteHeader(status)
}
