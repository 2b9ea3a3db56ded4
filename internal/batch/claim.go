package batch

import (
	"context"
	"time"
)

// watchClaim periodically checks whether this VM still owns the job, and cancels the job if not: another VM has adopted
// it, or it is ended or complete. Items keep running while the store is unavailable, which is safe because results are
// committed only if the claim is unchanged.
func (j *job) watchClaim(ctx context.Context) {
	for sleep(ctx, claimCheckPeriod) {
		j.checkClaim(ctx)
	}
}

// checkClaim reads the claim, unless that was done within claimCheckPeriod, and cancels the job if this VM no longer owns
// it.
func (j *job) checkClaim(ctx context.Context) {
	j.mu.Lock()
	recentlyChecked := time.Since(j.checked) < claimCheckPeriod
	j.mu.Unlock()
	if recentlyChecked {
		return
	}
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	c, revision, err := j.manager.ledger.claim(readCtx, j.claimKey())
	cancel()
	if err != nil {
		j.manager.log.Info("claim could not be read", "job", j.id, "err", err)
		return
	}
	j.mu.Lock()
	notOwner := revision == 0 || c.Owner != j.claim.Owner || c.Incarnation != j.claim.Incarnation || c.Number != j.claim.Number
	if !notOwner {
		j.checked = time.Now()
	}
	j.mu.Unlock()
	if notOwner {
		// The owner is empty if the job is ended or complete.
		j.manager.log.Info("job lost", "job", j.id, "owner", c.Owner, "claim", c.Number, "revision", revision)
		j.cancel(errNotOwner)
	}
}
