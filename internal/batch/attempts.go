package batch

import (
	"context"
	"maps"
)

// recordFailure waits until the store has the number of the item's failures, so that an owner that is lost does not take it
// along. The item does not run again before.
func (j *job) recordFailure(ctx context.Context, progress *Progress) {
	recorded := make(chan struct{})
	j.mu.Lock()
	j.recorded = append(j.recorded, recorded)
	j.mu.Unlock()
	j.noteAttempts(progress)
	select {
	case <-recorded:
	case <-ctx.Done():
	}
}

// noteAttempts has the item's attempts written to the store, without waiting for it.
func (j *job) noteAttempts(progress *Progress) {
	j.mu.Lock()
	if j.attempts == nil {
		j.attempts = map[ItemID]attempts{}
	}
	j.attempts[progress.Item] = attempts{
		Failures: progress.Failures,
		Crashes:  progress.Crashes,
	}
	j.mu.Unlock()
	select {
	case j.attemptsChanged <- struct{}{}:
	default:
	}
}

// commitAttempts writes the attempts of the items without a result.
func (j *job) commitAttempts(ctx context.Context) error {
	j.mu.Lock()
	current := maps.Clone(j.attempts)
	recorded := j.recorded
	j.recorded = nil
	j.mu.Unlock()
	err := j.persist(ctx, nil, func(next claim) claim {
		next.Attempts = current
		return next
	})
	if err != nil {
		return err
	}
	for _, done := range recorded {
		close(done)
	}
	return nil
}

// dropPartial forgets the progress of items whose results are committed.
func (j *job) dropPartial(results []Result) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range results {
		delete(j.partial, r.Item)
		delete(j.attempts, r.Item)
	}
}

// mergeAttempts returns the attempts of a job that is adopted: those in its claim and those that the previous owner hands
// over, which may not have been written.
func mergeAttempts(c claim, progress []Progress) map[ItemID]attempts {
	merged := maps.Clone(c.Attempts)
	if merged == nil {
		merged = map[ItemID]attempts{}
	}
	for _, p := range progress {
		made, known := merged[p.Item]
		if !known && p.Failures == 0 && p.Crashes == 0 {
			continue
		}
		merged[p.Item] = attempts{
			Failures: max(p.Failures, made.Failures),
			Crashes:  p.Crashes,
		}
	}
	return merged
}

// adoptedProgress returns the progress with which the items of a job begin: what the previous owner hands over, with the
// attempts in the claim.
func adoptedProgress(c claim, progress []Progress) map[ItemID]Progress {
	adopted := map[ItemID]Progress{}
	for _, p := range progress {
		adopted[p.Item] = p
	}
	for id, made := range c.Attempts {
		p := adopted[id]
		p.Item = id
		p.Failures = made.Failures
		p.Crashes = made.Crashes
		adopted[id] = p
	}
	return adopted
}
