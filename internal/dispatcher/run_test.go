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

func TestFrozenProcessLooksBeforeItStartsItems(t *testing.T) {
	var p pulse
	p.at(start)
	assert.Assert(t, !p.steady(start), "no look yet")
	p.looked = start
	assert.Assert(t, p.steady(start.Add(beatPeriod)))
	thawed := start.Add(time.Minute)
	assert.Assert(t, !p.steady(thawed), "frozen, before the next beat")
	p.at(thawed)
	assert.Assert(t, !p.steady(thawed), "the look was before the freeze")
	p.looked = thawed
	assert.Assert(t, p.steady(thawed))
}

func TestCauseOfFailure(t *testing.T) {
	cases := map[string]struct {
		err    error
		kind   failureKind
		counts bool
	}{
		"refused connection": {err: endpoint.ErrNotSent, kind: failureUnreached},
		"broken answer":      {err: endpoint.ErrBroken, kind: failureAttempt, counts: true},
		"server error":       {err: &statusError{status: 500}, kind: failureAttempt, counts: true},
		"asked for patience": {err: &statusError{status: 429}, kind: failureLimit},
		"overloaded":         {err: &statusError{status: 503}, kind: failureLimit},
		"anything else":      {err: errors.New("other"), kind: failureAttempt, counts: true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			cause := causeOf(tt.err)
			assert.Equal(t, cause.kind, tt.kind)
			assert.Equal(t, cause.counts(), tt.counts)
		})
	}
}

// TestSlowItemsAreSplitOff has a lot of 20 items of which all but the running and the deferred ones have ended.
func TestSlowItemsAreSplitOff(t *testing.T) {
	const items = 20
	now := start.Add(time.Hour)
	cases := map[string]struct {
		running  map[int]time.Duration
		deferred []int
		split    bool
		want     int
	}{
		"one runs for long":            {running: map[int]time.Duration{3: time.Minute}, want: 1},
		"one has just begun":           {running: map[int]time.Duration{3: time.Second}},
		"one of two has just begun":    {running: map[int]time.Duration{3: time.Minute, 4: time.Second}},
		"too many are slow":            {running: map[int]time.Duration{3: time.Minute, 4: time.Minute, 5: time.Minute}},
		"one is slow and one deferred": {running: map[int]time.Duration{3: time.Minute}, deferred: []int{4}, want: 2},
		"only deferred ones are left":  {deferred: []int{4}},
		"a remainder is not split":     {running: map[int]time.Duration{3: time.Minute}, split: true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			r := &run{
				items:    make([]job.Item, items),
				progress: job.NewCheckpoint(),
				running:  map[int]time.Time{},
				deferred: map[int]bool{},
				split:    tt.split,
				took:     durations{time.Second, time.Second, time.Second},
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
			assert.Equal(t, len(r.slow(now)), tt.want)
		})
	}
}

// TestRateOfTheFleet measures at a constant rate and expects it times the processes.
func TestRateOfTheFleet(t *testing.T) {
	rates := map[document.ServiceName]*throughput{
		"beacon-assist": {},
	}
	for second := range 60 {
		rates["beacon-assist"].add(10, 3, start.Add(time.Duration(second)*time.Second))
	}
	rate := rates["beacon-assist"].perSecond()
	assert.Assert(t, rate > 29 && rate < 37, "%.1f", rate)
	assert.Equal(t, rates["booking"].perSecond(), 0.0)
}
