package batch

import (
	"context"
	"errors"
	"maps"
	"time"

	"rhubarbrudder/internal/store"
)

// commitAll commits results as they arrive until every item has one, or this VM no longer owns the job. The number done is that of
// the committed results, and thus the position of the next one.
func (j *job) commitAll(ctx context.Context, done int) {
	var pending []Result
	for done < len(j.items) {
		select {
		case <-ctx.Done():
			return
		case r := <-j.results:
			pending = append(pending, r)
		case <-j.attemptsChanged:
			if err := j.commitAttempts(ctx); err != nil {
				j.cancel(err)
				return
			}
		}
		pending = j.takeAvailable(pending)
		for len(pending) > 0 {
			var n int
			var err error
			if pending, err = j.awaitTurn(ctx, pending, done); err == nil {
				n, err = j.commitSome(ctx, pending, done)
			}
			if err != nil {
				j.cancel(err)
				return
			}
			pending = j.takeAvailable(pending[n:])
			done += n
		}
	}
	j.manager.log.Info("job complete", "job", j.id, "items", len(j.items), "ahead_ms", time.Until(j.due).Milliseconds())
}

// takeAvailable appends the results that can be received without waiting.
func (j *job) takeAvailable(pending []Result) []Result {
	for {
		select {
		case r := <-j.results:
			pending = append(pending, r)
		default:
			return pending
		}
	}
}

// commitSome commits the first pending results in one transaction and returns their number. It retries until it
// succeeds or this VM no longer owns the job.
func (j *job) commitSome(ctx context.Context, pending []Result, done int) (int, error) {
	puts, n, err := j.encode(pending, done)
	if err != nil {
		return 0, err
	}
	results := pending[:n]
	err = j.persist(ctx, puts, func(next claim) claim {
		next.Results = done + n
		next.Tokens -= j.tokens(results)
		next.Attempts = maps.Clone(next.Attempts)
		for _, r := range results {
			delete(next.Attempts, r.Item)
		}
		return next
	})
	if err != nil {
		return 0, err
	}
	j.dropPartial(results)
	return n, nil
}

// persist writes rows and the claim as changed by update. It retries until it succeeds or this VM no longer owns the job.
func (j *job) persist(ctx context.Context, puts []store.Put, update func(claim) claim) error {
	sending := sendTime(bytesOfPuts(puts))
	timeout := j.persistTimeout() + sending
	var err error
	for attempts := 0; ; attempts++ {
		if errors.Is(err, store.ErrUnknown) && j.isPersisted(ctx, update) {
			return nil
		}
		err = j.tryPersist(ctx, timeout, puts, update)
		if err == nil {
			return nil
		}
		if errors.Is(err, errNotOwner) || ctx.Err() != nil {
			return errNotOwner
		}
		j.manager.log.Warn("attempt to write to job failed", "job", j.id, "rows", len(puts), "timeout_ms", timeout.Milliseconds(), "err", err)
		timeout = min(2*timeout, maxTimeout+sending)
		sleep(ctx, j.persistPause(attempts, err))
	}
}

// encode returns the rows of as many of the first results as fit into one transaction, and the number of results.
func (j *job) encode(pending []Result, done int) ([]store.Put, int, error) {
	var puts []store.Put
	bytes := 0
	for n, r := range pending {
		rows, err := encodeResult(j.id, done+n, r)
		if err != nil {
			return nil, 0, err
		}
		bytes += len(r.Output)
		if n > 0 && (bytes > maxOutputBytes || len(puts)+len(rows) > maxCommitRows) {
			return puts, n, nil
		}
		puts = append(puts, rows...)
	}
	return puts, len(pending), nil
}

// tryPersist makes one attempt to write rows and the claim. If an earlier attempt succeeded but its answer was lost, this
// one conflicts, and reconcile finds that out by reading the claim again.
func (j *job) tryPersist(ctx context.Context, timeout time.Duration, puts []store.Put, update func(claim) claim) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	j.mu.Lock()
	next := update(j.claim)
	revision := j.revision
	j.mu.Unlock()
	var err error
	writes := j.writes(len(puts) > 0 && !j.completesLate(next.Results))
	if next.Results == len(j.items) {
		err = writes.finish(ctx, j.claimKey(), revision, puts)
	} else {
		revision, err = writes.write(ctx, j.claimKey(), revision, next, puts)
	}
	if errors.Is(err, store.ErrConflict) {
		return j.reconcile(ctx, next)
	}
	if err != nil {
		return err
	}
	j.setClaim(next, revision)
	return nil
}

// isPersisted reports whether a write whose outcome was unknown has taken effect. A store that answers no write in time may have
// applied it all the same; to send it again would only add to its load.
func (j *job) isPersisted(ctx context.Context, update func(claim) claim) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	j.mu.Lock()
	next := update(j.claim)
	j.mu.Unlock()
	return j.reconcile(ctx, next) == nil
}

// reconcile reads the claim after a conflict: nil means that the claim is already written, errNotOwner that this VM no
// longer owns the job.
func (j *job) reconcile(ctx context.Context, next claim) error {
	c, revision, err := j.manager.ledger.claim(ctx, j.claimKey())
	if err != nil {
		return err
	}
	if revision == 0 {
		if next.Results < len(j.items) {
			return errNotOwner
		}
		committed, err := j.manager.ledger.results(ctx, readTimeout, j.id, next.Results-1, 0)
		if err != nil {
			return err
		}
		if len(committed) == 0 {
			return errNotOwner
		}
		return nil
	}
	if c.Owner != next.Owner || c.Incarnation != next.Incarnation || c.Number != next.Number {
		return errNotOwner
	}
	j.setClaim(c, revision)
	if c.Results == next.Results && maps.Equal(c.Attempts, next.Attempts) {
		return nil
	}
	return store.ErrConflict
}

// setClaim records the claim as it is now in the store.
func (j *job) setClaim(c claim, revision store.Revision) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.claim = c
	j.revision = revision
	j.checked = time.Now()
}

func (j *job) tokens(results []Result) int64 {
	finished := map[ItemID]bool{}
	for _, r := range results {
		finished[r.Item] = true
	}
	var tokens int64
	for _, item := range j.items {
		if finished[item.ID] {
			tokens += item.Tokens
		}
	}
	return tokens
}
