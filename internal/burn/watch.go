package burn

import (
	"context"
	"errors"
	"net/http"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/organisation"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/router"
)

// Router passes a request's answer to a sink.
type Router interface {
	Do(ctx context.Context, req request.Request, ticket *request.Ticket, sink router.Sink) error
}

// Document provides the view in force.
type Document interface {
	View() *document.View
}

// Observer receives a sample of each request that has ended.
type Observer interface {
	Observe(sample Sample)
}

// MeasuredRouter wraps a router and measures its answers.
type MeasuredRouter struct {
	router   Router
	document Document
	observer Observer
}

// NewMeasuredRouter returns a router that measures the answers of the given one.
func NewMeasuredRouter(router Router, document Document, observer Observer) *MeasuredRouter {
	return &MeasuredRouter{
		router:   router,
		document: document,
		observer: observer,
	}
}

// Do passes the request's answer to the sink and counts how it compares with the service's objectives.
func (m *MeasuredRouter) Do(ctx context.Context, req request.Request, ticket *request.Ticket, sink router.Sink) error {
	service := m.document.View().Services[req.Service]
	timed := &timedSink{
		Sink:       sink,
		started:    waitStart(ctx),
		tokenLimit: time.Duration(service.TokenMilliseconds) * time.Millisecond,
	}
	err := m.router.Do(ctx, req, ticket, timed)
	sample, ok := timed.sample(err, ctx.Err() != nil)
	if !ok {
		return err
	}
	sample.Key = Key{
		Organisation: req.Organisation,
		Service:      req.Service,
	}
	if limit := time.Duration(service.FirstTokenMilliseconds) * time.Millisecond; limit > 0 && sample.TimeToFirstToken > limit {
		sample.Counts.SlowFirst = 1
	}
	m.observer.Observe(sample)
	return err
}

// timedSink measures the times at which the events of an answer are passed on.
type timedSink struct {
	router.Sink
	started    time.Time
	firstToken time.Duration
	lastEvent  time.Time
	tokenLimit time.Duration
	// tokens counts the tokens after the first, slowTokens those that took longer than tokenLimit.
	tokens     uint32
	slowTokens uint32
}

// Event records the time and passes the event on.
func (s *timedSink) Event(data []byte) error {
	now := time.Now()
	if s.firstToken == 0 {
		s.firstToken = max(now.Sub(s.started), 1)
	} else {
		s.tokens++
		if s.tokenLimit > 0 && now.Sub(s.lastEvent) > s.tokenLimit {
			s.slowTokens++
		}
	}
	s.lastEvent = now
	return s.Sink.Event(data)
}

// sample returns the sample of the request. It returns false for requests that are not counted: those that failed due to
// the caller or whose caller disconnected.
func (s *timedSink) sample(err error, callerLeft bool) (Sample, bool) {
	sample := Sample{
		TimeToFirstToken: s.firstToken,
		Counts: Counts{
			Tokens:     s.tokens,
			SlowTokens: s.slowTokens,
		},
	}
	if s.firstToken > 0 {
		sample.Counts.First = 1
	}
	var refusal *request.Refusal
	switch {
	case err == nil:
		sample.Counts.Answers = 1
	case callerLeft:
		return sample, false
	case errors.As(err, &refusal) && refusal.Status < http.StatusInternalServerError && refusal.Status != http.StatusTooManyRequests:
		return sample, false
	case errors.As(err, &refusal) && refusal.NotRun():
		sample.Counts.Refused = 1
	default:
		sample.Counts.Failed = 1
	}
	return sample, true
}

// JobEnded counts a job that has ended. Cancelled jobs are not counted, because they have no due time to meet.
func (c *Counters) JobEnded(ended job.Job) {
	if ended.State != job.StateCompleted {
		return
	}
	counts := Counts{
		Jobs: 1,
	}
	if ended.Ended.After(ended.Due) {
		counts.LateJobs = 1
	}
	c.Observe(Sample{
		Key: Key{
			Organisation: ended.Organisation,
			Service:      ended.Service,
		},
		Counts: counts,
	})
}

// Limiter enforces the organisations' limits.
type Limiter interface {
	// Enter admits a request if the limits in the organisation's settings allow it. The returned function must be
	// called when the request has ended.
	Enter(ctx context.Context, id document.OrganisationID, settings document.Organisation) (func(), error)
}

// MeasuredLimiter wraps a limiter and counts its refusals.
type MeasuredLimiter struct {
	limiter  Limiter
	observer Observer
}

// NewMeasuredLimiter returns a limiter that counts the refusals of the given one.
func NewMeasuredLimiter(limiter Limiter, observer Observer) *MeasuredLimiter {
	return &MeasuredLimiter{
		limiter:  limiter,
		observer: observer,
	}
}

// Enter calls the wrapped limiter and counts a refusal. Refusals are counted under no service, because limits apply to an
// organisation's requests to all services.
func (l *MeasuredLimiter) Enter(ctx context.Context, id document.OrganisationID, settings document.Organisation) (func(), error) {
	leave, err := l.limiter.Enter(ctx, id, settings)
	if errors.Is(err, organisation.ErrOverLimit) {
		l.observer.Observe(Sample{
			Key: Key{
				Organisation: id,
			},
			Counts: Counts{
				Refused: 1,
			},
		})
	}
	return leave, err
}
