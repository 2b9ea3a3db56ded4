package dispatcher

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/job"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestFrozenProcessChecksCancellationsBeforeItStartsItems(t *testing.T) {
	var detector freezeDetector
	detector.tick(start)
	assert.Assert(t, !detector.notFrozenSinceCheck(start), "no check yet")
	detector.checkedAt = start
	assert.Assert(t, detector.notFrozenSinceCheck(start.Add(tickPeriod)))
	resumed := start.Add(time.Minute)
	assert.Assert(t, !detector.notFrozenSinceCheck(resumed), "frozen, before the next tick")
	detector.tick(resumed)
	assert.Assert(t, !detector.notFrozenSinceCheck(resumed), "the last check was before the freeze")
	detector.checkedAt = resumed
	assert.Assert(t, detector.notFrozenSinceCheck(resumed))
}

func TestCauseOfFailure(t *testing.T) {
	cases := map[string]struct {
		err             error
		kind            failureKind
		countsAsAttempt bool
	}{
		"refused connection": {err: endpoint.ErrNotSent, kind: failureUnreachable},
		"broken answer":      {err: endpoint.ErrBroken, kind: failureAttempt, countsAsAttempt: true},
		"server error":       {err: &statusError{status: 500}, kind: failureAttempt, countsAsAttempt: true},
		"rate limited":       {err: &statusError{status: 429}, kind: failureOverloaded},
		"overloaded":         {err: &statusError{status: 503}, kind: failureOverloaded},
		"anything else":      {err: errors.New("other"), kind: failureAttempt, countsAsAttempt: true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			cause := causeOf(tt.err)
			assert.Equal(t, cause.kind, tt.kind)
			assert.Equal(t, cause.countsAsAttempt(), tt.countsAsAttempt)
		})
	}
}

// TestSlowItemsAreSplitOff uses a lot of 20 items in which all but the running and the deferred ones have ended.
func TestSlowItemsAreSplitOff(t *testing.T) {
	const items = 20
	now := start.Add(time.Hour)
	cases := map[string]struct {
		// running has the durations for which items have run so far.
		running  map[int]time.Duration
		deferred []int
		// isSplit says that slow items of the lot were split off before.
		isSplit bool
		// want is the number of items to be split off.
		want int
	}{
		"one runs for long":            {running: map[int]time.Duration{3: time.Minute}, want: 1},
		"one has just begun":           {running: map[int]time.Duration{3: time.Second}},
		"one of two has just begun":    {running: map[int]time.Duration{3: time.Minute, 4: time.Second}},
		"too many are slow":            {running: map[int]time.Duration{3: time.Minute, 4: time.Minute, 5: time.Minute}},
		"one is slow and one deferred": {running: map[int]time.Duration{3: time.Minute}, deferred: []int{4}, want: 2},
		"only deferred ones are left":  {deferred: []int{4}},
		"a remainder is not split":     {running: map[int]time.Duration{3: time.Minute}, isSplit: true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			r := &run{
				items:     make([]job.Item, items),
				progress:  job.NewCheckpoint(),
				running:   map[int]time.Time{},
				deferred:  map[int]bool{},
				isSplit:   tt.isSplit,
				durations: durations{time.Second, time.Second, time.Second},
			}
			for index := range items {
				r.progress.Results[index] = job.Result{}
			}
			for index, ran := range tt.running {
				delete(r.progress.Results, index)
				r.running[index] = now.Add(-ran)
			}
			for _, index := range tt.deferred {
				delete(r.progress.Results, index)
				r.deferred[index] = true
			}
			assert.Equal(t, len(r.slowItems(now)), tt.want)
		})
	}
}

// TestThroughputIsScaledToTheFleet feeds a constant rate and expects the estimate to be that rate times the number of
// processes.
func TestThroughputIsScaledToTheFleet(t *testing.T) {
	rates := map[document.ServiceName]*throughput{
		"beacon-assist": {},
	}
	for second := range 60 {
		rates["beacon-assist"].add(10, 3, start.Add(time.Duration(second)*time.Second))
	}
	// The first window counts the items of six seconds in five, so the estimate starts at 36 and falls towards 30.
	rate := rates["beacon-assist"].perSecond()
	assert.Assert(t, rate > 29 && rate < 37, "%.1f", rate)
	assert.Equal(t, rates["booking"].perSecond(), 0.0)
}
