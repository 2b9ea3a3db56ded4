package burn_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbrudder/internal/burn"
	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/queue"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/router"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

// fakeClock is a clock that the test sets.
type fakeClock struct {
	current time.Time
}

func (c *fakeClock) now() time.Time {
	return c.current
}

// TestWindowsMatchAllEvents compares the rings with a list of all events: a window's count includes every event of the
// window, and none older than 1.25 times the window.
func TestWindowsMatchAllEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		clock := &fakeClock{current: start}
		counters := burn.NewCounters(clock.now)
		var events []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			longest := rapid.SampledFrom([]time.Duration{time.Minute, 20 * time.Minute, 8 * time.Hour}).Draw(t, "longest")
			clock.current = clock.current.Add(time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, "gap")))
			counters.Observe(burn.Sample{
				Key:    burn.Key{Organisation: "wenber", Service: "chairplan-llm"},
				Counts: burn.Counts{Answers: 1},
			})
			events = append(events, clock.current)
		}
		answer := counters.Counts(burn.Query{Most: 1})
		for i, window := range burn.Windows() {
			var least, most uint32
			for _, event := range events {
				if clock.current.Sub(event) < window {
					least++
				}
				if clock.current.Sub(event) < window+window/4 {
					most++
				}
			}
			got := answer.Services[0].Windows[i].Answers
			assert.Assert(t, got >= least && got <= most, "window %s: %d not in %d..%d", window, got, least, most)
		}
	})
}

func TestReport(t *testing.T) {
	service := document.Service{
		FirstTokenMilliseconds: 710,
		TokenMilliseconds:      54,
	}
	cases := map[string]struct {
		counts burn.Counts
		// budgetLeft is what is left of each objective's budget. Each case is counted in two processes.
		budgetLeft map[burn.ObjectiveName]float64
	}{
		"nothing missed": {
			counts:     burn.Counts{Answers: 100, First: 100, Tokens: 1000},
			budgetLeft: map[burn.ObjectiveName]float64{burn.ObjectiveAnswer: 1, burn.ObjectiveFirstToken: 1, burn.ObjectiveToken: 1},
		},
		"first tokens just within the budget": {
			counts:     burn.Counts{Answers: 100, First: 100, SlowFirst: 5, Tokens: 1000},
			budgetLeft: map[burn.ObjectiveName]float64{burn.ObjectiveAnswer: 1, burn.ObjectiveFirstToken: 0, burn.ObjectiveToken: 1},
		},
		"tokens at half the budget": {
			counts:     burn.Counts{Answers: 100, First: 100, Tokens: 1000, SlowTokens: 25},
			budgetLeft: map[burn.ObjectiveName]float64{burn.ObjectiveAnswer: 1, burn.ObjectiveFirstToken: 1, burn.ObjectiveToken: 0.5},
		},
		"jobs in time": {
			counts:     burn.Counts{Answers: 1, Jobs: 8},
			budgetLeft: map[burn.ObjectiveName]float64{burn.ObjectiveAnswer: 1, burn.ObjectiveFirstToken: 1, burn.ObjectiveToken: 1, burn.ObjectiveJobDue: 1},
		},
		"one job late in each process": {
			counts:     burn.Counts{Answers: 1, Jobs: 8, LateJobs: 1},
			budgetLeft: map[burn.ObjectiveName]float64{burn.ObjectiveAnswer: 1, burn.ObjectiveFirstToken: 1, burn.ObjectiveToken: 1, burn.ObjectiveJobDue: -1},
		},
		"refusals and failures": {
			counts:     burn.Counts{Answers: 998, Refused: 1, Failed: 1},
			budgetLeft: map[burn.ObjectiveName]float64{burn.ObjectiveAnswer: -1, burn.ObjectiveFirstToken: 1, burn.ObjectiveToken: 1},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			doc := &fakeDocument{services: map[document.ServiceName]document.Service{"chairplan-llm": service}}
			merged := burn.NewMerged()
			for range 2 {
				counters := burn.NewCounters(time.Now)
				counters.Observe(burn.Sample{
					Key:    burn.Key{Organisation: "wenber", Service: "chairplan-llm"},
					Counts: tt.counts,
				})
				merged.Add(counters.Counts(burn.Query{Most: 10}))
			}
			report := merged.Report(doc.View())
			assert.Equal(t, len(report.Services), len(tt.budgetLeft))
			for _, row := range append(report.Services, report.Organisations...) {
				assert.Assert(t, approximatelyEqual(row.BudgetLeft, tt.budgetLeft[row.Objective]), "%v", row)
				assert.Assert(t, approximatelyEqual(row.Burn5m, 1-tt.budgetLeft[row.Objective]), "%v", row)
			}
		})
	}
}

func approximatelyEqual(a, b float64) bool {
	return a-b < 1e-6 && b-a < 1e-6
}

// fakeDocument provides a view with the given services.
type fakeDocument struct {
	services map[document.ServiceName]document.Service
}

func (d *fakeDocument) View() *document.View {
	return &document.View{
		Services: d.services,
	}
}

// fakeRouter is a router that passes on three events, each after a wait, and returns the error.
type fakeRouter struct {
	wait time.Duration
	err  error
}

func (r fakeRouter) Do(_ context.Context, _ request.Request, _ *request.Ticket, sink router.Sink) error {
	for range 3 {
		time.Sleep(r.wait)
		if err := sink.Event(nil); err != nil {
			return err
		}
	}
	return r.err
}

type discardSink struct{}

func (discardSink) Whole(int, http.Header, []byte) error { return nil }
func (discardSink) Begin(http.Header) error              { return nil }
func (discardSink) Event([]byte) error                   { return nil }
func (discardSink) End() error                           { return nil }

func TestMeasuredRouter(t *testing.T) {
	dispatched := &request.Ticket{}
	dispatched.Dispatch()
	const wait = 5 * time.Millisecond
	cases := map[string]struct {
		limit      int
		err        error
		counts     burn.Counts
		notCounted bool
	}{
		"in time": {
			limit:  600000,
			counts: burn.Counts{Answers: 1, First: 1, Tokens: 2},
		},
		"late": {
			limit:  1,
			counts: burn.Counts{Answers: 1, First: 1, SlowFirst: 1, Tokens: 2, SlowTokens: 2},
		},
		"no objective": {
			counts: burn.Counts{Answers: 1, First: 1, Tokens: 2},
		},
		"refused: no endpoint": {
			err:    (&request.Ticket{}).Refuse(http.StatusServiceUnavailable, "no_endpoint", "", 0),
			counts: burn.Counts{Refused: 1, First: 1, Tokens: 2},
		},
		"stream interrupted": {
			err:    dispatched.Refuse(http.StatusBadGateway, "answer_broken", "", 0),
			counts: burn.Counts{Failed: 1, First: 1, Tokens: 2},
		},
		"invalid request": {
			err:        request.Invalid("invalid_body", ""),
			notCounted: true,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			counters := burn.NewCounters(time.Now)
			doc := &fakeDocument{services: map[document.ServiceName]document.Service{
				"beacon-assist": {FirstTokenMilliseconds: tt.limit, TokenMilliseconds: tt.limit},
			}}
			measured := burn.NewMeasuredRouter(fakeRouter{wait: wait, err: tt.err}, doc, counters)
			err := measured.Do(context.Background(), request.Request{
				Organisation: "lawinenwerk",
				Service:      "beacon-assist",
			}, &request.Ticket{}, discardSink{})
			assert.Equal(t, err, tt.err)
			answer := counters.Counts(burn.Query{Most: 1})
			if tt.notCounted {
				assert.Equal(t, len(answer.Services), 0)
				return
			}
			assert.Equal(t, answer.Organisations[0].Windows[0], tt.counts)
			assert.Assert(t, answer.Organisations[0].First.Quantile(0.5) >= wait)
		})
	}
}

// TestFairness checks which differences between one organisation and the rest are reported as clearly worse.
func TestFairness(t *testing.T) {
	cases := map[string]struct {
		first   time.Duration
		tail    time.Duration
		refused uint32
		worse   bool
	}{
		"like the rest":  {first: 100 * time.Millisecond},
		"a little worse": {first: 120 * time.Millisecond},
		"slower":         {first: 400 * time.Millisecond, worse: true},
		"slower tail":    {first: 100 * time.Millisecond, tail: 400 * time.Millisecond, worse: true},
		"refused":        {first: 100 * time.Millisecond, refused: 1, worse: true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			counters := burn.NewCounters(time.Now)
			for i := range 100 {
				counters.Observe(burn.Sample{
					Key:              burn.Key{Organisation: document.OrganisationID(fmt.Sprint("shop", i%10)), Service: "s"},
					Counts:           burn.Counts{Answers: 1, First: 1},
					TimeToFirstToken: 100 * time.Millisecond,
				})
				took := tt.first
				if tt.tail > 0 && i%30 == 0 {
					took = tt.tail
				}
				counters.Observe(burn.Sample{
					Key:              burn.Key{Organisation: "wenber", Service: "s"},
					Counts:           burn.Counts{Answers: 1, First: 1, Refused: tt.refused},
					TimeToFirstToken: took,
				})
			}
			merged := burn.NewMerged()
			merged.Add(counters.Counts(burn.Query{Most: 100}))
			worst := merged.Fairness().Shares[0]
			assert.Equal(t, worst.Worse, tt.worse, "%+v", worst)
			if tt.worse {
				assert.Equal(t, worst.Organisation, document.OrganisationID("wenber"))
			}
		})
	}
}

// maxCounterBytes is the maximum memory for the counters of 39,000 organisations, the number for which the documents
// and schedules of other packages are tested as well.
const maxCounterBytes = 64 << 20

func TestMemoryIsBounded(t *testing.T) {
	counters := burn.NewCounters(time.Now)
	observe := func(from, to int) {
		for i := from; i < to; i++ {
			counters.Observe(burn.Sample{
				Key:    burn.Key{Organisation: document.OrganisationID(fmt.Sprintf("organisation-%d", i)), Service: "s"},
				Counts: burn.Counts{Answers: 1},
			})
		}
	}
	before := heapBytes()
	observe(0, 39000)
	used := heapBytes() - before
	t.Logf("39,000 organisations: %d bytes, %d each", used, used/39000)
	assert.Assert(t, used < maxCounterBytes, "%d bytes", used)
	observe(39000, 100000)
	answer := counters.Counts(burn.Query{Most: 1 << 20})
	// The limit on series (maxSeries) and the series of Others.
	assert.Equal(t, len(answer.Organisations), 50001)
	assert.Equal(t, answer.Services[0].Windows[0].Answers, uint32(100000))
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func BenchmarkObserve(b *testing.B) {
	counters := burn.NewCounters(time.Now)
	for b.Loop() {
		counters.Observe(burn.Sample{
			Key:              burn.Key{Organisation: "wenber", Service: "chairplan-llm"},
			Counts:           burn.Counts{Answers: 1, First: 1, Tokens: 200},
			TimeToFirstToken: 100 * time.Millisecond,
		})
	}
}

// slowQueue admits or refuses requests after a wait.
type slowQueue struct {
	wait time.Duration
	err  error
}

func (q slowQueue) Enter(context.Context, queue.SlotRequest) (func(), error) {
	time.Sleep(q.wait)
	return func() {}, q.err
}

// TestQueueWaitCounts checks that the time in the queue counts towards the first token's objective, and that the queue's
// refusals are counted.
func TestQueueWaitCounts(t *testing.T) {
	const limit = 20
	cases := map[string]struct {
		queue  slowQueue
		counts burn.Counts
	}{
		"first token late because of the queue": {
			queue:  slowQueue{wait: 2 * limit * time.Millisecond},
			counts: burn.Counts{Answers: 1, First: 1, SlowFirst: 1, Tokens: 2},
		},
		"refused, queue full": {
			queue:  slowQueue{err: queue.ErrFull},
			counts: burn.Counts{Refused: 1},
		},
		"refused, timed out in the queue": {
			queue:  slowQueue{err: queue.ErrTimeout},
			counts: burn.Counts{Refused: 1},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			counters := burn.NewCounters(time.Now)
			doc := &fakeDocument{services: map[document.ServiceName]document.Service{
				"beacon-assist": {FirstTokenMilliseconds: limit},
			}}
			waiting := burn.NewMeasuredQueue(tt.queue, counters)
			measured := burn.NewMeasuredRouter(fakeRouter{}, doc, counters)
			handler := burn.TrackQueueWait(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, err := waiting.Enter(r.Context(), queue.SlotRequest{
					Organisation: "wenber",
					Service:      "beacon-assist",
				})
				if err != nil {
					return
				}
				assert.NilError(t, measured.Do(r.Context(), request.Request{
					Organisation: "wenber",
					Service:      "beacon-assist",
				}, &request.Ticket{}, discardSink{}))
			}))
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
			assert.Equal(t, counters.Counts(burn.Query{Most: 1}).Organisations[0].Windows[0], tt.counts)
		})
	}
}
