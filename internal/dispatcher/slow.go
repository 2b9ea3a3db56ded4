package dispatcher

import (
	"context"
	"slices"
	"time"

	"rhubarbrudder/internal/job"
)

const (
	// slowShare is the share of a lot's items, at most, that are split off as slow.
	slowShare = 0.1
	// slowFactor is how much longer than the median item an item must run to be slow.
	slowFactor = 3
	// slowLeast is the least time after which an item is slow.
	slowLeast = 2 * time.Second
)

// durations are the times that a lot's items took.
type durations []time.Duration

// median returns the median, or zero without any.
func (d durations) median() time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[len(sorted)/2]
}

// slow returns the unfinished items if they are few and each is slow or deferred, so that the rest needn't wait
// for them; otherwise nil.
func (r *run) slow(now time.Time) []int {
	left := r.unfinished()
	r.mu.Lock()
	defer r.mu.Unlock()
	total := len(r.progress.Indexes(len(r.items)))
	if r.split || len(left) == 0 || float64(len(left)) > max(1, slowShare*float64(total)) || len(r.took) == 0 {
		return nil
	}
	limit := max(slowLeast, slowFactor*r.took.median())
	anyRuns := false
	for _, index := range left {
		since, running := r.running[index]
		if !r.deferred[index] && (!running || now.Sub(since) < limit) {
			return nil
		}
		anyRuns = anyRuns || running
	}
	if !anyRuns {
		return nil
	}
	return left
}

// splitSlow stores the finished items' results and goes on with the slow ones as a remainder of the same claim.
func (r *run) splitSlow(ctx context.Context, left []int) error {
	r.mu.Lock()
	progress := r.progress.Clone()
	r.mu.Unlock()
	finished := progress.Clone()
	for _, index := range left {
		// An item that ended meanwhile stays with the remainder.
		delete(finished.Results, index)
	}
	// The remainder is held before it exists, so that no scan takes it for abandoned.
	r.dispatcher.hold(r.key(job.RemainderLot(r.lot.ID)), r.stopWork)
	remainder, err := r.dispatcher.store.Split(ctx, r.active.Job, r.lot, results(finished), progress.Rest(left), true)
	if err != nil {
		r.dispatcher.drop(r.key(job.RemainderLot(r.lot.ID)))
		return err
	}
	r.dispatcher.drop(r.key(r.lot.ID))
	r.dispatcher.note(r.active.Job, "slow items split off", fact("lot", string(r.lot.ID)), fact("remainder", string(remainder.ID)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lot = remainder
	r.split = true
	r.keepOnly(left)
	return nil
}

// keepOnly drops what no longer belongs to the lot.
func (r *run) keepOnly(left []int) {
	ended := map[int]job.Result{}
	for _, index := range left {
		if result, ok := r.progress.Results[index]; ok {
			ended[index] = result
		}
	}
	r.progress = r.progress.Rest(left)
	r.progress.Results = ended
	r.changed = true
}
