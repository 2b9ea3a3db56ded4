// Package forward carries callers' requests to endpoints and their answers back, byte for byte.
package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/route"
)

// Pools gives slots at endpoints.
type Pools interface {
	Acquire(ctx context.Context, service route.Service, wish pool.Wish) (*pool.Slot, error)
}

// Inventory knows the endpoints.
type Inventory interface {
	// Left says that an endpoint takes no new work.
	Left(id inventory.ID) bool
}

// Recorder counts requests that ended.
type Recorder interface {
	Request(kind route.Kind, outcome string, waited, first time.Duration)
}

// Forwarder serves online requests.
type Forwarder struct {
	pools     Pools
	inventory Inventory
	sender    *Sender
	headers   Headers
	recorder  Recorder
	log       *slog.Logger
}

const (
	// firstEvent is about how long a free endpoint takes to its first event, 50 ms, with the ways from and to the
	// caller, who counts from before its connection was made.
	firstEvent = 75 * time.Millisecond
	// patienceLeast is the shortest time after which a caller gives up a silent stream; it is longer for routes
	// with a long objective or long pauses.
	patienceLeast  = 2 * time.Second
	patienceAims   = 4
	patiencePauses = 8
	// patienceMargin is how long before that a request is answered, so that the answer still arrives.
	patienceMargin = 150 * time.Millisecond
	// stallFirst and stallNext are after how long without an event a stream that may go on elsewhere is given up:
	// several times what a slow endpoint takes, and early enough to go on before the caller leaves.
	stallFirst = 600 * time.Millisecond
	stallNext  = 500 * time.Millisecond
	// maxSends bounds how often a request that did not run is sent.
	maxSends = 6
	// maxWholeBytes bounds an answer that is not a stream.
	maxWholeBytes = 32 << 20
)

// New returns a forwarder.
func New(pools Pools, list Inventory, sender *Sender, headers Headers, recorder Recorder, log *slog.Logger) *Forwarder {
	return &Forwarder{
		pools:     pools,
		inventory: list,
		sender:    sender,
		headers:   headers,
		recorder:  recorder,
		log:       log,
	}
}

// serving is one request on its way.
type serving struct {
	*Forwarder
	w       http.ResponseWriter
	control *http.ResponseController
	route   *route.Route
	service route.Service
	meta    Meta
	call    Call
	arrived time.Time
	// until is when the caller must have its final answer.
	until time.Time
	// lastEvent is when the caller was last sent something.
	lastEvent time.Time
	// sends counts sendings, runs those that may have run.
	sends int
	runs  int
	avoid []inventory.ID
	// started says that the answer has begun.
	started bool
	// began is called with the first event of the current sending, if it is a stream, and then nil.
	began  func()
	events int
	waited time.Duration
	first  time.Duration
	at     inventory.ID
}

// Serve answers a request of the route; the body was read whole.
func (f *Forwarder) Serve(w http.ResponseWriter, r *http.Request, to *route.Route, body []byte, arrived time.Time) {
	meta := f.headers.Meta(r)
	s := &serving{
		Forwarder: f,
		w:         w,
		control:   http.NewResponseController(w),
		route:     to,
		service:   to.Pick(string(meta.ID)),
		meta:      meta,
		arrived:   arrived,
		lastEvent: arrived,
		until:     arrived.Add(to.Timeout),
		call: Call{
			ID:     meta.ID,
			Method: r.Method,
			Host:   r.Host,
			Target: r.RequestURI,
			Header: r.Header,
			Body:   body,
		},
	}
	if budget := arrived.Add(meta.Budget); meta.Budget > 0 && budget.Before(s.until) {
		s.until = budget
	}
	ctx, cancel := context.WithDeadline(r.Context(), s.until)
	defer cancel()
	_ = s.control.SetWriteDeadline(s.until.Add(patienceMargin))
	err := s.loop(ctx)
	s.finish(r.Context(), err)
}

// loop sends the request until it is answered or can't be; nil means that the caller has its whole answer.
func (s *serving) loop(ctx context.Context) error {
	for {
		slot, err := s.pools.Acquire(ctx, s.service, s.wish())
		s.waited = time.Since(s.arrived)
		if err != nil {
			return err
		}
		err = s.attempt(ctx, slot)
		slot.Release(s.trouble(err))
		if err == nil || ctx.Err() != nil {
			return err
		}
		s.log.Info("attempt failed", "id", s.meta.ID, "endpoint", slot.Endpoint.ID, "sends", s.sends, "runs", s.runs, "events", s.events, "err", err)
		if !s.mayRetry(err) {
			return err
		}
		s.avoid = append(s.avoid, slot.Endpoint.ID)
	}
}

// mayRetry says whether the request may be sent again after the error.
func (s *serving) mayRetry(err error) bool {
	if s.sends >= maxSends {
		return false
	}
	if NotRun(err) {
		return true
	}
	return s.route.Repeatable() && s.runs < s.route.Attempts && !errors.Is(err, errCaller)
}

func (s *serving) wish() pool.Wish {
	patience := max(patienceLeast, patienceAims*s.route.Objective, patiencePauses*s.route.Pause)
	expires := s.lastEvent.Add(patience - patienceMargin)
	if s.until.Before(expires) {
		expires = s.until
	}
	return pool.Wish{
		ID:      pool.TicketID(string(s.meta.ID) + "." + strconv.Itoa(s.sends)),
		Class:   pool.ClassOnline,
		Rank:    s.route.Rank,
		Begun:   s.started,
		Start:   s.lastEvent.Add(s.route.Objective - firstEvent),
		Expires: expires,
		Avoid:   s.avoid,
	}
}

// errCaller means that the answer could not be written to the caller.
var errCaller = errors.New("forward: caller gone")

// attempt sends the request to the slot's endpoint and passes the answer on.
func (s *serving) attempt(ctx context.Context, slot *pool.Slot) error {
	s.sends++
	s.at = slot.Endpoint.ID
	if err := Check(s.inventory, slot.Endpoint); err != nil {
		return err
	}
	first := time.Until(s.until)
	if s.route.Repeatable() && s.runs+1 < s.route.Attempts {
		first = stallFirst
	}
	ctx, watch := NewWatch(ctx, first)
	defer watch.Stop()
	if s.route.Kind == route.KindStream {
		defer s.watchPace(slot)()
	}
	send := Send{
		Left: time.Until(s.until),
	}
	if s.started {
		send.After = s.meta.After
		send.Resumes = true
	}
	response, err := s.sender.Open(ctx, slot.Endpoint, s.call, send)
	if err != nil {
		if !NotRun(err) {
			s.runs++
		}
		return err
	}
	defer func() {
		_ = response.Body.Close()
	}()
	s.runs++
	if s.route.Kind == route.KindStream && response.StatusCode == http.StatusOK {
		return s.stream(ctx, watch, response)
	}
	return s.whole(ctx, response)
}

// watchPace tells the pool when a stream begins, or that it does not: a request that has to wait on at a silent endpoint
// still keeps others away from it. Answers that are not streams may take any time. The function that it returns ends that.
func (s *serving) watchPace(slot *pool.Slot) func() {
	silent := time.AfterFunc(stallFirst, func() {
		slot.Observe(pool.TroubleSilent, 0)
	})
	sent := time.Now()
	s.began = func() {
		silent.Stop()
		slot.Observe(pool.TroubleNone, time.Since(sent))
	}
	return func() {
		silent.Stop()
		s.began = nil
	}
}

// trouble returns what the end of a sending says about the endpoint; silence says something of streams only.
func (s *serving) trouble(err error) pool.Trouble {
	if found := Trouble(err); found != pool.TroubleSilent || s.route.Kind == route.KindStream {
		return found
	}
	return pool.TroubleBroken
}

// whole passes on an answer that is not a stream.
func (s *serving) whole(ctx context.Context, response *http.Response) error {
	if s.started {
		return ErrBroken
	}
	if response.StatusCode >= http.StatusInternalServerError && s.route.Repeatable() && s.runs < s.route.Attempts {
		return ErrBroken
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWholeBytes))
	if err != nil {
		return brokenError(ctx, err)
	}
	s.begin(response)
	s.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.w.WriteHeader(response.StatusCode)
	s.first = time.Since(s.arrived)
	if _, err := s.w.Write(body); err != nil {
		return errCaller
	}
	return nil
}

// begin sets the headers of the caller's answer.
func (s *serving) begin(response *http.Response) {
	s.started = true
	to := s.w.Header()
	for name, values := range s.headers.Returned(response.Header) {
		to[name] = values
	}
}

// stream passes on events as they arrive.
func (s *serving) stream(ctx context.Context, watch *Watch, response *http.Response) error {
	events := NewEvents(response.Body)
	next := time.Until(s.until)
	if s.route.Repeatable() && s.runs < s.route.Attempts {
		next = stallNext
	}
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !s.started {
				s.begin(response)
			}
			return nil
		}
		if err != nil {
			return brokenError(ctx, err)
		}
		watch.Feed(next)
		if s.began != nil {
			s.began()
			s.began = nil
		}
		if event.HasID && s.meta.After > 0 && event.ID <= s.meta.After {
			continue
		}
		if event.HasID && s.started && event.ID != s.meta.After+1 {
			return ErrBroken
		}
		if err := s.pass(response, event); err != nil {
			return err
		}
	}
}

func (s *serving) pass(response *http.Response, event Event) error {
	if !s.started {
		s.begin(response)
		s.w.WriteHeader(response.StatusCode)
		s.first = time.Since(s.arrived)
	}
	if _, err := s.w.Write(event.Raw); err != nil {
		return errCaller
	}
	if err := s.control.Flush(); err != nil {
		return errCaller
	}
	s.meta.After = event.ID
	s.lastEvent = time.Now()
	s.events++
	return nil
}

func brokenError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return errors.Join(ErrBroken, err)
}

// finish ends the answer if it is not whole, and logs what became of the request.
func (s *serving) finish(caller context.Context, err error) {
	outcome := "answered"
	status := http.StatusOK
	switch {
	case err == nil:
	case caller.Err() != nil:
		outcome = "caller left"
	case s.started:
		outcome = "broken off"
	case s.runs == 0:
		outcome = "refused"
		status = http.StatusServiceUnavailable
	default:
		outcome = "failed"
		status = http.StatusBadGateway
		if errors.Is(err, context.DeadlineExceeded) {
			status = http.StatusGatewayTimeout
		}
	}
	s.recorder.Request(s.route.Kind, outcome, s.waited, s.first)
	s.log.Info("request", "id", s.meta.ID, "route", s.route.Name, "outcome", outcome, "status", status,
		"endpoint", s.at, "sends", s.sends, "runs", s.runs, "events", s.events,
		"waited_ms", s.waited.Milliseconds(), "first_ms", s.first.Milliseconds(), "total_ms", time.Since(s.arrived).Milliseconds(), "err", err)
	if err == nil {
		return
	}
	if s.started || caller.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	var refused *pool.Refused
	if status == http.StatusServiceUnavailable && errors.As(err, &refused) {
		s.headers.SetRetryAfter(s.w.Header(), refused.RetryAfter)
	}
	s.w.WriteHeader(status)
}
