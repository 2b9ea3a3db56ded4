package batch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/store"
)

const (
	// maxSharedEntries bounds the entries of a shared transaction, below the store's limit of 100.
	maxSharedEntries = 90
	// maxSharedBytes bounds its values, like maxOutputBytes.
	maxSharedBytes = maxOutputBytes
	// retryRest is the rest after a transaction that failed, in which the jobs read their claims and try again.
	retryRest = retryPause + 50*time.Millisecond
	// gatherTime is how long a transaction waits for those of other jobs whose turn it is.
	gatherTime = 5 * time.Millisecond
)

// sharing joins the transactions of a VM's jobs into fewer, larger ones: the store takes a limited number a second, whatever their
// size. One is under way at a time, with a rest after it.
type sharing struct {
	mu      sync.Mutex
	waiting []*sharedWrite
	active  bool
	// turn is closed when the rest is over, and nil if there is none.
	turn chan struct{}
}

// closedTurn is the turn of a job that need not wait.
var closedTurn = func() chan struct{} {
	turn := make(chan struct{})
	close(turn)
	return turn
}()

// nextTurn returns a channel that is closed once the next transaction gathers what it is to hold. A job that waits for that can add
// the results that it gets until then.
func (g *sharing) nextTurn() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.turn == nil {
		return closedTurn
	}
	return g.turn
}

// endRest lets waiting jobs send.
func (g *sharing) endRest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.turn)
	g.turn = nil
}

// awaitTurn waits until results of the job can be sent, and appends those that come until then. Failures of items are written
// meanwhile, because the items wait for that.
func (j *job) awaitTurn(ctx context.Context, pending []Result, done int) ([]Result, error) {
	if j.manifest.Organisation == "" || len(pending) == 0 {
		return pending, nil
	}
	turn := j.manager.sharing.nextTurn()
	for !j.completesLate(done + len(pending)) {
		select {
		case r := <-j.results:
			pending = append(pending, r)
		case <-j.attemptsChanged:
			if err := j.commitAttempts(ctx); err != nil {
				return nil, err
			}
		case <-turn:
			return j.takeAvailable(pending), nil
		case <-ctx.Done():
			return pending, nil
		}
	}
	return pending, nil
}

// completesLate reports whether the job, which has so many results, is complete and would be late if it waited for its turn.
func (j *job) completesLate(results int) bool {
	left := time.Until(j.due)
	return results == len(j.items) && left > 0 && left < maxRest
}

// sharedWrite is the transaction of one job.
type sharedWrite struct {
	txn     store.Transaction
	answers chan commitAnswer
}

func (w *sharedWrite) entries() int {
	return len(w.txn.Expect) + len(w.txn.Put) + len(w.txn.Remove)
}

func (w *sharedWrite) bytes() int {
	sum := 0
	for _, put := range w.txn.Put {
		sum += len(put.Value)
	}
	return sum
}

// expects reports whether both transactions expect the same row, which one transaction can't do for both.
func (w *sharedWrite) expects(other *sharedWrite) bool {
	return slices.ContainsFunc(w.txn.Expect, func(e store.Expectation) bool {
		return slices.ContainsFunc(other.txn.Expect, func(o store.Expectation) bool {
			return o.Address == e.Address
		})
	})
}

// sharedStore is a Store whose transactions are joined.
type sharedStore struct {
	store.Store
	sharing *sharing
	pace    *pace
}

// Commit applies a transaction, which may share one with those of other jobs. After store.ErrConflict, which may be due to another
// job, the caller reads its own claim; the transactions without a conflict then share the next one.
func (s sharedStore) Commit(ctx context.Context, txn store.Transaction) (store.Commit, error) {
	w := &sharedWrite{
		txn:     txn,
		answers: make(chan commitAnswer, 1),
	}
	s.sharing.mu.Lock()
	s.sharing.waiting = append(s.sharing.waiting, w)
	if !s.sharing.active {
		s.sharing.active = true
		go s.sendAll(context.WithoutCancel(ctx))
	}
	s.sharing.mu.Unlock()
	select {
	case a := <-w.answers:
		return a.commit, a.err
	case <-ctx.Done():
	}
	if s.sharing.withdraw(w) {
		return store.Commit{}, errors.Join(store.ErrUnavailable, ctx.Err())
	}
	return store.Commit{}, errors.Join(store.ErrUnknown, ctx.Err())
}

// withdraw removes a transaction that has not been sent, and reports whether that is so.
func (g *sharing) withdraw(w *sharedWrite) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.waiting, w)
	if i < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, i, i+1)
	return true
}

// take returns as many of the waiting transactions as fit into one, at least one if there is any. Without any, sending ends.
func (g *sharing) take() []*sharedWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	var group, rest []*sharedWrite
	entries, bytes := 0, 0
	for _, w := range g.waiting {
		entries += w.entries()
		bytes += w.bytes()
		if len(group) > 0 && (entries > maxSharedEntries || bytes > maxSharedBytes || slices.ContainsFunc(group, w.expects)) {
			entries -= w.entries()
			bytes -= w.bytes()
			rest = append(rest, w)
			continue
		}
		group = append(group, w)
	}
	g.waiting = rest
	g.active = len(group) > 0
	if g.active {
		g.turn = make(chan struct{})
	}
	return group
}

// sendAll sends what waits until there is nothing left.
func (s sharedStore) sendAll(ctx context.Context) {
	for {
		time.Sleep(gatherTime)
		group := s.sharing.take()
		if len(group) == 0 {
			return
		}
		rest := s.pace.rest()
		if s.send(ctx, group) != nil {
			rest = min(rest, retryRest)
		}
		time.Sleep(rest)
		s.sharing.endRest()
	}
}

// send sends transactions as one and passes the answer on.
func (s sharedStore) send(ctx context.Context, group []*sharedWrite) error {
	var joined store.Transaction
	for _, w := range group {
		joined.Expect = append(joined.Expect, w.txn.Expect...)
		joined.Put = append(joined.Put, w.txn.Put...)
		joined.Remove = append(joined.Remove, w.txn.Remove...)
	}
	ctx, cancel := context.WithTimeout(ctx, s.pace.timeout(initialTimeout))
	defer cancel()
	commit, err := s.Store.Commit(ctx, joined)
	for _, w := range group {
		w.answers <- commitAnswer{
			commit: commit,
			err:    err,
		}
	}
	return err
}
