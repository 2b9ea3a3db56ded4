package vm

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/quarantine"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

// secondsBounds are the bucket bounds of latency histograms in seconds. They are closest around the latency objectives,
// which are a few hundred milliseconds.
var secondsBounds = []float64{0.05, 0.075, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.75, 1, 2, 5, 10}

// metrics holds the process's counters and histograms.
type metrics struct {
	requests metric.Int64Counter
	first    metric.Float64Histogram
	// waited is the time that a request waited for slots, in all its attempts.
	waited   metric.Float64Histogram
	attempts metric.Int64Counter
	calls    metric.Int64Counter
	callTime metric.Float64Histogram
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	bounds := metric.WithExplicitBucketBoundaries(secondsBounds...)
	seconds := metric.WithUnit("s")
	requests, requestsErr := meter.Int64Counter("rhubarbrudder.requests", metric.WithDescription("Requests by kind of route and outcome."))
	first, firstErr := meter.Float64Histogram("rhubarbrudder.request.first", bounds, seconds, metric.WithDescription("Time to the first part of an answer, by kind of route."))
	waited, waitedErr := meter.Float64Histogram("rhubarbrudder.request.waited", bounds, seconds, metric.WithDescription("Time that a request waited for a slot, by kind of route."))
	attempts, attemptsErr := meter.Int64Counter("rhubarbrudder.attempts", metric.WithDescription("Attempts at endpoints by kind of route and the failure observed."))
	calls, callsErr := meter.Int64Counter("rhubarbrudder.store.calls", metric.WithDescription("Calls to the store by operation and outcome."))
	callTime, callTimeErr := meter.Float64Histogram("rhubarbrudder.store.call", bounds, seconds, metric.WithDescription("Time of calls to the store by operation."))
	return &metrics{
		requests: requests,
		first:    first,
		waited:   waited,
		attempts: attempts,
		calls:    calls,
		callTime: callTime,
	}, errors.Join(requestsErr, firstErr, waitedErr, attemptsErr, callsErr, callTimeErr)
}

// observeQuarantine registers the gauge of the parts of prompts that are withheld at present.
func observeQuarantine(meter metric.Meter, listed *quarantine.List) error {
	_, err := meter.Int64ObservableGauge("rhubarbrudder.quarantine.parts",
		metric.WithDescription("Parts of prompts at which endpoints crash and that are withheld at present, as this VM knows."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			withheld := 0
			now := time.Now()
			for _, listing := range listed.Listings() {
				if listing.Withheld(now) {
					withheld++
				}
			}
			observer.Observe(int64(withheld))
			return nil
		}))
	return err
}

// limitedWithin is how recent an endpoint's latest answer must be for its limit to count in the metrics.
const limitedWithin = time.Minute

// observeLimits registers the gauge of the endpoints that name a limit.
func observeLimits(meter metric.Meter, p *pools) error {
	_, err := meter.Int64ObservableGauge("rhubarbrudder.endpoints.limited",
		metric.WithDescription("Endpoints that named a limit of requests per second in their latest answer to this VM, within the last minute."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(int64(p.LimitedEndpoints(limitedWithin)))
			return nil
		}))
	return err
}

// observeConcurrency registers the gauge of the endpoints below full concurrency.
func observeConcurrency(meter metric.Meter, p *pools) error {
	_, err := meter.Int64ObservableGauge("rhubarbrudder.endpoints.below_slots",
		metric.WithDescription("Endpoints that get fewer runs at once than they have slots, as their answers have shown."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(int64(p.EndpointsBelowSlots()))
			return nil
		}))
	return err
}

// Request records a finished request: how long it waited for slots, and the time from its arrival until the answer began,
// or zero if there was none.
func (m *metrics) Request(kind route.Kind, outcome string, waited, first time.Duration) {
	ctx := context.Background()
	kindAttr := attribute.String("kind", string(kind))
	m.requests.Add(ctx, 1, metric.WithAttributes(kindAttr, attribute.String("outcome", outcome)))
	m.waited.Record(ctx, waited.Seconds(), metric.WithAttributes(kindAttr))
	if first > 0 {
		m.first.Record(ctx, first.Seconds(), metric.WithAttributes(kindAttr))
	}
}

// Attempt records the end of an attempt, with the failure observed at the endpoint.
func (m *metrics) Attempt(kind route.Kind, trouble pool.Trouble) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", string(kind)), attribute.String("trouble", trouble.String())))
}

// countedStore is a Store that records its calls for rows in the metrics. Calls for objects are not recorded.
type countedStore struct {
	store.Store
	metrics *metrics
}

func (c countedStore) count(operation string, started time.Time, err error) {
	ctx := context.Background()
	operationAttr := attribute.String("operation", operation)
	c.metrics.calls.Add(ctx, 1, metric.WithAttributes(operationAttr, attribute.String("outcome", outcomeLabel(err))))
	c.metrics.callTime.Record(ctx, time.Since(started).Seconds(), metric.WithAttributes(operationAttr))
}

// outcomeLabel returns the label for the outcome of a call. A call without an error is done; an error that is not one of
// package store is failed; history means that the store no longer keeps the requested changes.
func outcomeLabel(err error) string {
	for name, kind := range map[string]error{
		"conflict":    store.ErrConflict,
		"unavailable": store.ErrUnavailable,
		"unknown":     store.ErrUnknown,
		"not found":   store.ErrNotFound,
		"history":     store.ErrHistoryGone,
		"invalid":     store.ErrInvalid,
	} {
		if errors.Is(err, kind) {
			return name
		}
	}
	if err != nil {
		return "failed"
	}
	return "done"
}

// Commit applies and records a transaction.
func (c countedStore) Commit(ctx context.Context, txn store.Transaction) (store.Commit, error) {
	started := time.Now()
	commit, err := c.Store.Commit(ctx, txn)
	c.count("commit", started, err)
	return commit, err
}

// Read reads rows and records the call.
func (c countedStore) Read(ctx context.Context, r store.Range) (store.Page, error) {
	started := time.Now()
	page, err := c.Store.Read(ctx, r)
	c.count("read", started, err)
	return page, err
}

// Changes reads changes and records the call.
func (c countedStore) Changes(ctx context.Context, table store.Table, after store.Revision, wait time.Duration) (store.Page, error) {
	started := time.Now()
	page, err := c.Store.Changes(ctx, table, after, wait)
	c.count("changes", started, err)
	return page, err
}
