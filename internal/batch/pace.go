package batch

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

const (
	// rejectedCommit is the time that a rejected transaction counts as: the store rejects those that would have to wait for longer.
	rejectedCommit = time.Second
	// latencyFactor is how many times as long as usual a transaction may take before it is sent again.
	latencyFactor = 3
	// minRest and maxRest bound how long a VM waits after a transaction with results until the next. Results are listed later by as
	// much at most; jobs are due after 18 s. With the least rest, 75 VMs send no more than half of what a part of the store takes.
	minRest = time.Second
	maxRest = 5 * time.Second
	// restFactor is how many times as long as a transaction takes at present the rest is.
	restFactor = 10
	// calmRate is the number of transactions a second of all VMs together up to which the rest is the least one. A part of the store
	// takes 150, counting those that fail.
	calmRate = 50.0
	// restPerRate is by how much the rest grows with each further transaction a second. With 75 VMs and 300 results a second, it
	// keeps the store at three quarters of what it can take.
	restPerRate = time.Second / 15
	// ratePeriod is the least time over which the rate is measured.
	ratePeriod = 500 * time.Millisecond
	// maxPersistPause bounds the pause between attempts to write to a job while the store rejects them.
	maxPersistPause = 2 * time.Second
)

// pace adapts a VM's writes to jobs of organisations to the time that the store takes for transactions.
type pace struct {
	mu sync.Mutex
	// latency is the moving average of the times of transactions that the store answered.
	latency time.Duration
	// rate is the number of transactions a second of all VMs, measured from revision and clock on.
	rate     float64
	revision store.Revision
	clock    store.Clock
}

// observeRevision derives the rate of transactions from the store's newest revision at a time.
func (p *pace) observeRevision(revision store.Revision, clock store.Clock) {
	p.mu.Lock()
	defer p.mu.Unlock()
	passed := time.Duration(clock-p.clock) * time.Millisecond
	if p.revision != 0 && passed < ratePeriod {
		return
	}
	if p.revision != 0 && revision >= p.revision {
		p.rate += (float64(revision-p.revision)/passed.Seconds() - p.rate) / 2
	}
	p.revision = revision
	p.clock = clock
}

// observe records the time of a transaction. One that was not answered says nothing.
func (p *pace) observe(took time.Duration, err error) {
	switch {
	case errors.Is(err, store.ErrUnavailable):
		took = rejectedCommit
	case err != nil && !errors.Is(err, store.ErrConflict):
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency += (took - p.latency) / 4
}

// timeout returns the time after which a transaction without an answer is sent again, which is least or more.
func (p *pace) timeout(least time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(least, latencyFactor*p.latency), maxTimeout)
}

// rest returns the time between two transactions with results.
func (p *pace) rest() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	loaded := time.Duration(max(0, p.rate-calmRate) * float64(restPerRate))
	return min(max(minRest, restFactor*p.latency, loaded), maxRest)
}

// pacedStore observes the times of transactions. One whose caller stops waiting is not cancelled, so that its time is known.
type pacedStore struct {
	store.Store
	pace *pace
}

// commitAnswer is the store's answer to a transaction.
type commitAnswer struct {
	commit store.Commit
	err    error
}

// Commit applies a transaction.
func (s pacedStore) Commit(ctx context.Context, txn store.Transaction) (store.Commit, error) {
	answers := make(chan commitAnswer, 1)
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxTimeout+sendTime(bytesOfPuts(txn.Put)))
	go func() {
		defer cancel()
		begin := time.Now()
		commit, err := s.Store.Commit(callCtx, txn)
		s.pace.observe(time.Since(begin), err)
		if err == nil {
			s.pace.observeRevision(commit.Revision, commit.Clock)
		}
		answers <- commitAnswer{
			commit: commit,
			err:    err,
		}
	}()
	select {
	case a := <-answers:
		return a.commit, a.err
	case <-ctx.Done():
		return store.Commit{}, errors.Join(store.ErrUnknown, ctx.Err())
	}
}

// paced returns the store for transactions on behalf of an organisation, or of none.
func (mgr *Manager) paced(organisation route.OrganisationID) store.Store {
	if organisation == "" {
		return mgr.ledger.store
	}
	return pacedStore{
		Store: mgr.ledger.store,
		pace:  &mgr.pace,
	}
}

// writes returns the ledger by which the job's owner writes to it. Jobs of organisations may share transactions.
func (j *job) writes(shared bool) *ledger {
	paced := j.manager.paced(j.manifest.Organisation)
	if j.manifest.Organisation == "" || !shared {
		return &ledger{
			store: paced,
		}
	}
	return &ledger{
		store: sharedStore{
			Store:   paced,
			sharing: &j.manager.sharing,
			pace:    &j.manager.pace,
		},
	}
}

// persistTimeout returns the time limit of the first attempt to write to the job. A transaction under way, its rest, and the shared
// one come one after the other.
func (j *job) persistTimeout() time.Duration {
	if j.manifest.Organisation == "" {
		return initialTimeout
	}
	return 2*j.manager.pace.timeout(initialTimeout) + j.manager.pace.rest()
}

// persistPause returns the pause before the next attempt to write to the job. A store that rejects writes gets fewer of them.
func (j *job) persistPause(attempts int, err error) time.Duration {
	if j.manifest.Organisation == "" || !errors.Is(err, store.ErrUnavailable) {
		return retryPause
	}
	return min(retryPause<<min(attempts, 10), maxPersistPause)
}
