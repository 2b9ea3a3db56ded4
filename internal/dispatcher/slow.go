package dispatcher

import (
	"context"
	"slices"
	"time"

	"rhubarbrudder/internal/job"
)

const (
	// maxSlowShare bounds the share of a lot's items that are split off as slow. One item may always be split off.
	maxSlowShare = 0.1
	// slowFactor is the multiple of the median duration from which a running item is slow.
	slowFactor = 3
	// minSlowDuration is the shortest running time from which an item is slow.
	minSlowDuration = 2 * time.Second
)

// durations holds the durations of a lot's finished items.
type durations []time.Duration

// median returns the median, or zero if there are no durations.
func (d durations) median() time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[len(sorted)/2]
}

// slowItems returns the unfinished items if they are few, at least one is running and each is slow or deferred, so
// that the other results need not wait for them. Otherwise it returns nil.
func (r *run) slowItems(now time.Time) []int {
	left := r.unfinished()
	r.mu.Lock()
	defer r.mu.Unlock()
	total := len(r.progress.Indexes(len(r.items)))
	if r.isSplit || len(left) == 0 || float64(len(left)) > max(1, maxSlowShare*float64(total)) || len(r.durations) == 0 {
		return nil
	}
	limit := max(minSlowDuration, slowFactor*r.durations.median())
	anyRunning := false
	for _, index := range left {
		startedAt, running := r.running[index]
		if !r.deferred[index] && (!running || now.Sub(startedAt) < limit) {
			return nil
		}
		anyRunning = anyRunning || running
	}
	if !anyRunning {
		return nil
	}
	return left
}

// splitSlow stores the results of the finished items and continues with the slow ones as a remainder, a new lot that
// this process holds from the start.
func (r *run) splitSlow(ctx context.Context, left []int) error {
	r.mu.Lock()
	progress := r.progress.Clone()
	r.mu.Unlock()
	finished := progress.Clone()
	for _, index := range left {
		// An item that has ended since the check for slow items belongs to the remainder.
		delete(finished.Results, index)
	}
	// The remainder is registered as held before it exists, so that a scan does not take it for an abandoned claim.
	r.dispatcher.addHeld(r.key(job.RemainderLot(r.lot.ID)), r)
	remainder, err := r.dispatcher.store.Split(ctx, r.active.Job, r.lot, results(finished), progress.ForRemainder(left), true)
	if err != nil {
		r.dispatcher.removeHeld(r.key(job.RemainderLot(r.lot.ID)), r)
		return err
	}
	r.dispatcher.removeHeld(r.key(r.lot.ID), r)
	r.dispatcher.note(r.active.Job, "slow items split off", fact("lot", string(r.lot.ID)), fact("remainder", string(remainder.ID)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lot = remainder
	r.isSplit = true
	r.keepOnly(left)
	return nil
}

// keepOnly reduces the progress to the given items, including results that they have meanwhile.
func (r *run) keepOnly(left []int) {
	ended := map[int]job.Result{}
	for _, index := range left {
		if result, ok := r.progress.Results[index]; ok {
			ended[index] = result
		}
	}
	r.progress = r.progress.ForRemainder(left)
	r.progress.Results = ended
	r.changed = true
}
