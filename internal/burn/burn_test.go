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

// clock is a clock that the test moves.
type clock struct {
	at time.Time
}

func (c *clock) now() time.Time {
	return c.at
}

// TestWindowsAgreeWithEveryEventKept compares the rings with a list of all events: a window's count holds the whole
// window and nothing older than a quarter more.
func TestWindowsAgreeWithEveryEventKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		at := &clock{at: start}
		counters := burn.NewCounters(at.now)
		var events []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			longest := rapid.SampledFrom([]time.Duration{time.Minute, 20 * time.Minute, 8 * time.Hour}).Draw(t, "longest")
			at.at = at.at.Add(time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, "gap")))
			counters.Observe(burn.Sample{
				Key:    burn.Key{Organisation: "wenber", Service: "chairplan-llm"},
				Counts: burn.Counts{Answers: 1},
			})
			events = append(events, at.at)
		}
		answer := counters.Counts(burn.Query{Most: 1})
		for i, window := range burn.Windows() {
			var least, most uint32
			for _, event := range events {
				if at.at.Sub(event) < window {
					least++
				}
				if at.at.Sub(event) < window+window/4 {
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
		want   map[burn.ObjectiveName]float64
	}{
		"nothing missed": {
			counts: burn.Counts{Answers: 100, First: 100, Tokens: 1000},
			want:   map[burn.ObjectiveName]float64{burn.ObjectiveAnswer: 1, burn.ObjectiveFirstToken: 1, burn.ObjectiveToken: 1},
		},
		"first tokens just within the budget": {
			counts: burn.Counts{Answers: 100, First: 100, SlowFirst: 5, Tokens: 1000},
			want:   map[burn.ObjectiveName]float64{burn.ObjectiveAnswer: 1, burn.ObjectiveFirstToken: 0, burn.ObjectiveToken: 1},
		},
		"tokens at half the budget": {
			counts: burn.Counts{Answers: 100, First: 100, Tokens: 1000, SlowTokens: 25},
			want:   map[burn.ObjectiveName]float64{burn.ObjectiveAnswer: 1, burn.ObjectiveFirstToken: 1, burn.ObjectiveToken: 0.5},
		},
		"jobs in time": {
			counts: burn.Counts{Answers: 1, Jobs: 8},
			want:   map[burn.ObjectiveName]float64{burn.ObjectiveAnswer: 1, burn.ObjectiveFirstToken: 1, burn.ObjectiveToken: 1, burn.ObjectiveJobDue: 1},
		},
		"one job late": {
			counts: burn.Counts{Answers: 1, Jobs: 8, LateJobs: 1},
			want:   map[burn.ObjectiveName]float64{burn.ObjectiveAnswer: 1, burn.ObjectiveFirstToken: 1, burn.ObjectiveToken: 1, burn.ObjectiveJobDue: -1},
		},
		"refusals and failures": {
			counts: burn.Counts{Answers: 998, Refused: 1, Failed: 1},
			want:   map[burn.ObjectiveName]float64{burn.ObjectiveAnswer: -1, burn.ObjectiveFirstToken: 1, burn.ObjectiveToken: 1},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			doc := &view{services: map[document.ServiceName]document.Service{"chairplan-llm": service}}
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
			assert.Equal(t, len(report.Services), len(tt.want))
			for _, row := range append(report.Services, report.Organisations...) {
				assert.Assert(t, closeTo(row.BudgetLeft, tt.want[row.Objective]), "%v", row)
				assert.Assert(t, closeTo(row.Burn5m, 1-tt.want[row.Objective]), "%v", row)
			}
		})
	}
}

func closeTo(a, b float64) bool {
	return a-b < 1e-6 && b-a < 1e-6
}

// view is a document with the given services.
type view struct {
	services map[document.ServiceName]document.Service
}

func (v *view) View() *document.View {
	return &document.View{
		Services: v.services,
	}
}

// played is a router that passes events on as told, or fails.
type played struct {
	wait time.Duration
	err  error
}

func (p played) Do(_ context.Context, _ request.Request, _ *request.Ticket, sink router.Sink) error {
	for range 3 {
		time.Sleep(p.wait)
		if err := sink.Event(nil); err != nil {
			return err
		}
	}
	return p.err
}

type nowhere struct{}

func (nowhere) Whole(int, http.Header, []byte) error { return nil }
func (nowhere) Begin(http.Header) error              { return nil }
func (nowhere) Event([]byte) error                   { return nil }
func (nowhere) End() error                           { return nil }

func TestWatch(t *testing.T) {
	unknown := &request.Ticket{}
	unknown.Dispatch()
	const wait = 5 * time.Millisecond
	cases := map[string]struct {
		limit  int
		err    error
		counts burn.Counts
		none   bool
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
		"refused for lack of room": {
			err:    (&request.Ticket{}).Refuse(http.StatusServiceUnavailable, "no_endpoint", "", 0),
			counts: burn.Counts{Refused: 1, First: 1, Tokens: 2},
		},
		"broken off": {
			err:    unknown.Refuse(http.StatusBadGateway, "answer_broken", "", 0),
			counts: burn.Counts{Failed: 1, First: 1, Tokens: 2},
		},
		"the caller's own fault": {
			err:  request.Invalid("invalid_body", ""),
			none: true,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			counters := burn.NewCounters(time.Now)
			doc := &view{services: map[document.ServiceName]document.Service{
				"beacon-assist": {FirstTokenMilliseconds: tt.limit, TokenMilliseconds: tt.limit},
			}}
			watch := burn.NewMeasuredRouter(played{wait: wait, err: tt.err}, doc, counters)
			err := watch.Do(context.Background(), request.Request{
				Organisation: "lawinenwerk",
				Service:      "beacon-assist",
			}, &request.Ticket{}, nowhere{})
			assert.Equal(t, err, tt.err)
			answer := counters.Counts(burn.Query{Most: 1})
			if tt.none {
				assert.Equal(t, len(answer.Services), 0)
				return
			}
			assert.Equal(t, answer.Organisations[0].Windows[0], tt.counts)
			assert.Assert(t, answer.Organisations[0].First.Quantile(0.5) >= wait)
		})
	}
}

// TestFairness serves one organisation worse than the rest.
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
					Key:    burn.Key{Organisation: document.OrganisationID(fmt.Sprint("shop", i%10)), Service: "s"},
					Counts: burn.Counts{Answers: 1, First: 1},
					First:  100 * time.Millisecond,
				})
				took := tt.first
				if tt.tail > 0 && i%30 == 0 {
					took = tt.tail
				}
				counters.Observe(burn.Sample{
					Key:    burn.Key{Organisation: "wenber", Service: "s"},
					Counts: burn.Counts{Answers: 1, First: 1, Refused: tt.refused},
					First:  took,
				})
			}
			merged := burn.NewMerged()
			merged.Add(counters.Counts(burn.Query{Most: 100}))
			first := merged.Fairness().Shares[0]
			assert.Equal(t, first.Worse, tt.worse, "%+v", first)
			if tt.worse {
				assert.Equal(t, first.Organisation, document.OrganisationID("wenber"))
			}
		})
	}
}

// mostBytes is the most memory that the counters of 39,000 organisations may take.
const mostBytes = 64 << 20

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
	before := heap()
	observe(0, 39000)
	took := heap() - before
	t.Logf("39,000 organisations: %d bytes, %d each", took, took/39000)
	assert.Assert(t, took < mostBytes, "%d bytes", took)
	observe(39000, 100000)
	answer := counters.Counts(burn.Query{Most: 1 << 20})
	assert.Equal(t, len(answer.Organisations), 50001)
	assert.Equal(t, answer.Services[0].Windows[0].Answers, uint32(100000))
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func BenchmarkObserve(b *testing.B) {
	counters := burn.NewCounters(time.Now)
	for b.Loop() {
		counters.Observe(burn.Sample{
			Key:    burn.Key{Organisation: "wenber", Service: "chairplan-llm"},
			Counts: burn.Counts{Answers: 1, First: 1, Tokens: 200},
			First:  100 * time.Millisecond,
		})
	}
}

// slowQueue lets requests in after a wait, or refuses them.
type slowQueue struct {
	wait time.Duration
	err  error
}

func (q slowQueue) Enter(context.Context, queue.Place) (func(), error) {
	time.Sleep(q.wait)
	return func() {}, q.err
}

// TestWaitCounts lets a request wait for a slot longer than the objective, and be refused.
func TestWaitCounts(t *testing.T) {
	const limit = 20
	cases := map[string]struct {
		queue  slowQueue
		counts burn.Counts
	}{
		"late by waiting": {
			queue:  slowQueue{wait: 2 * limit * time.Millisecond},
			counts: burn.Counts{Answers: 1, First: 1, SlowFirst: 1, Tokens: 2},
		},
		"refused, full": {
			queue:  slowQueue{err: queue.ErrFull},
			counts: burn.Counts{Refused: 1},
		},
		"refused, late": {
			queue:  slowQueue{err: queue.ErrLate},
			counts: burn.Counts{Refused: 1},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			counters := burn.NewCounters(time.Now)
			doc := &view{services: map[document.ServiceName]document.Service{
				"beacon-assist": {FirstTokenMilliseconds: limit},
			}}
			waiting := burn.NewMeasuredQueue(tt.queue, counters)
			watch := burn.NewMeasuredRouter(played{}, doc, counters)
			handler := burn.TrackQueueWait(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, err := waiting.Enter(r.Context(), queue.Place{
					Organisation: "wenber",
					Service:      "beacon-assist",
				})
				if err != nil {
					return
				}
				assert.NilError(t, watch.Do(r.Context(), request.Request{
					Organisation: "wenber",
					Service:      "beacon-assist",
				}, &request.Ticket{}, nowhere{}))
			}))
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
			assert.Equal(t, counters.Counts(burn.Query{Most: 1}).Organisations[0].Windows[0], tt.counts)
		})
	}
}
