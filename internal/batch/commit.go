package batch

import (
	"context"
	"errors"
	"time"

	"rhubarbrudder/internal/store"
)

// commitAll lists results as they come until every item has one, or the job is lost or ended.
func (j *job) commitAll(ctx context.Context, listed []Result) {
	done := len(listed)
	var waiting []Result
	for done < len(j.items) {
		select {
		case <-ctx.Done():
			return
		case r := <-j.results:
			waiting = append(waiting, r)
		}
		waiting = j.drain(waiting)
		for len(waiting) > 0 {
			n, err := j.commitSome(ctx, waiting, done)
			if err != nil {
				j.cancel(err)
				return
			}
			waiting = j.drain(waiting[n:])
			done += n
		}
	}
	j.keeper.log.Info("job complete", "job", j.id, "items", len(j.items), "ahead_ms", time.Until(j.due).Milliseconds())
}

// drain adds the results that are there already.
func (j *job) drain(waiting []Result) []Result {
	for {
		select {
		case r := <-j.results:
			waiting = append(waiting, r)
		default:
			return waiting
		}
	}
}

// commitSome lists the first results in one transaction and returns how many; it tries until it succeeds or the job is
// lost.
func (j *job) commitSome(ctx context.Context, waiting []Result, done int) (int, error) {
	puts, n, err := j.encode(waiting, done)
	if err != nil {
		return 0, err
	}
	timeout := firstTimeout
	for {
		err := j.tryCommit(ctx, timeout, puts, waiting[:n], done)
		if err == nil {
			return n, nil
		}
		if errors.Is(err, errLost) || ctx.Err() != nil {
			return 0, errLost
		}
		j.keeper.log.Warn("results not listed yet", "job", j.id, "results", n, "timeout_ms", timeout.Milliseconds(), "err", err)
		timeout = min(2*timeout, longestTimeout)
		sleep(ctx, pauseLeast)
	}
}

// encode returns the rows of the first results that fit a transaction.
func (j *job) encode(waiting []Result, done int) ([]store.Put, int, error) {
	var puts []store.Put
	bytes := 0
	for n, r := range waiting {
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
	return puts, len(waiting), nil
}

// tryCommit tries once to list results. What an earlier try wrote without an answer is found by reading the claim again.
func (j *job) tryCommit(ctx context.Context, timeout time.Duration, puts []store.Put, results []Result, done int) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	j.mu.Lock()
	next := j.claim
	revision := j.revision
	j.mu.Unlock()
	next.Results = done + len(results)
	next.Tokens -= j.tokens(results)
	var err error
	if next.Results == len(j.items) {
		err = j.keeper.ledger.finish(ctx, j.id, revision, puts)
	} else {
		revision, err = j.keeper.ledger.write(ctx, j.id, revision, next, puts)
	}
	if errors.Is(err, store.ErrConflict) {
		return j.reconcile(ctx, next)
	}
	if err != nil {
		return err
	}
	j.adopt(next, revision)
	return nil
}

// reconcile reads the claim after a conflict: nil means that the results are listed already, errLost that the job is not
// this VM's any more.
func (j *job) reconcile(ctx context.Context, next claim) error {
	c, revision, err := j.keeper.ledger.claim(ctx, j.id)
	if err != nil {
		return err
	}
	if revision == 0 {
		if next.Results < len(j.items) {
			return errLost
		}
		listed, err := j.keeper.ledger.results(ctx, j.id, next.Results-1, false)
		if err != nil {
			return err
		}
		if len(listed) == 0 {
			return errLost
		}
		return nil
	}
	if c.Owner != next.Owner || c.Incarnation != next.Incarnation || c.Number != next.Number {
		return errLost
	}
	j.adopt(c, revision)
	if c.Results == next.Results {
		return nil
	}
	return store.ErrConflict
}

// adopt keeps the claim as it stands in the store now.
func (j *job) adopt(c claim, revision store.Revision) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.claim = c
	j.revision = revision
	j.checked = time.Now()
}

func (j *job) tokens(results []Result) int64 {
	ended := map[ItemID]bool{}
	for _, r := range results {
		ended[r.Item] = true
	}
	var tokens int64
	for _, item := range j.items {
		if ended[item.ID] {
			tokens += item.Tokens
		}
	}
	return tokens
}
