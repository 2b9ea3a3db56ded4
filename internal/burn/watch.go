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

// Document is the view in force.
type Document interface {
	View() *document.View
}

// Observer takes the requests that have ended.
type Observer interface {
	Observe(sample Sample)
}

// MeasuredRouter is a router that measures the answers of another.
type MeasuredRouter struct {
	router   Router
	document Document
	observer Observer
}

// NewMeasuredRouter returns a router that measures what the given one passes on.
func NewMeasuredRouter(router Router, document Document, observer Observer) *MeasuredRouter {
	return &MeasuredRouter{
		router:   router,
		document: document,
		observer: observer,
	}
}

// Do passes the request's answer to the sink and counts how it compares with the service's objectives.
func (w *MeasuredRouter) Do(ctx context.Context, req request.Request, ticket *request.Ticket, sink router.Sink) error {
	service := w.document.View().Services[req.Service]
	timed := &timedSink{
		Sink:    sink,
		started: since(ctx),
		between: time.Duration(service.TokenMilliseconds) * time.Millisecond,
	}
	err := w.router.Do(ctx, req, ticket, timed)
	sample, counted := timed.sample(err, ctx.Err() != nil)
	if !counted {
		return err
	}
	sample.Key = Key{
		Organisation: req.Organisation,
		Service:      req.Service,
	}
	if limit := time.Duration(service.FirstTokenMilliseconds) * time.Millisecond; limit > 0 && sample.First > limit {
		sample.Counts.SlowFirst = 1
	}
	w.observer.Observe(sample)
	return err
}

// timedSink notes when the events of an answer are passed on.
type timedSink struct {
	router.Sink
	started time.Time
	first   time.Duration
	last    time.Time
	between time.Duration
	tokens  uint32
	slow    uint32
}

// Event notes the time and passes the event on.
func (s *timedSink) Event(data []byte) error {
	now := time.Now()
	if s.first == 0 {
		s.first = max(now.Sub(s.started), 1)
	} else {
		s.tokens++
		if s.between > 0 && now.Sub(s.last) > s.between {
			s.slow++
		}
	}
	s.last = now
	return s.Sink.Event(data)
}

// sample returns what the request counts as; a caller's own faults and its leaving do not count.
func (s *timedSink) sample(err error, left bool) (Sample, bool) {
	sample := Sample{
		First: s.first,
		Counts: Counts{
			Tokens:     s.tokens,
			SlowTokens: s.slow,
		},
	}
	if s.first > 0 {
		sample.Counts.First = 1
	}
	var refusal *request.Refusal
	switch {
	case err == nil:
		sample.Counts.Answers = 1
	case left:
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

// JobEnded counts a job that has ended; a cancelled one is owed nothing.
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

// Limiter holds organisations to their limits.
type Limiter interface {
	Enter(ctx context.Context, id document.OrganisationID, limit document.Organisation) (func(), error)
}

// MeasuredLimiter is a limiter that counts the refusals of another.
type MeasuredLimiter struct {
	limiter  Limiter
	observer Observer
}

// NewMeasuredLimiter returns a limiter that counts what the given one refuses.
func NewMeasuredLimiter(limiter Limiter, observer Observer) *MeasuredLimiter {
	return &MeasuredLimiter{
		limiter:  limiter,
		observer: observer,
	}
}

// Enter counts a request in, or counts its refusal. The refusals are of no service.
func (w *MeasuredLimiter) Enter(ctx context.Context, id document.OrganisationID, limit document.Organisation) (func(), error) {
	leave, err := w.limiter.Enter(ctx, id, limit)
	if errors.Is(err, organisation.ErrOverLimit) {
		w.observer.Observe(Sample{
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
