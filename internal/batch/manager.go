package batch

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/memory"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/roster"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

const (
	// initialTimeout bounds the first attempt of a write. The timeout doubles with each further attempt: a slow store
	// needs more time to answer, while waiting longer for a lost answer gains nothing.
	initialTimeout = 250 * time.Millisecond
	// maxTimeout bounds every attempt.
	maxTimeout = 2 * time.Second
	// acceptTimeout is how long acceptance of a job is retried, well below the time that callers of batch routes wait.
	acceptTimeout = 3300 * time.Millisecond
	// readTimeout bounds a read on behalf of a caller.
	readTimeout = 1500 * time.Millisecond
	// listingTime is how long results are read for one answer. Callers wait for 1.5 s, and the answer has to be sent as well.
	listingTime = 900 * time.Millisecond
	// retryPause is the pause between attempts at a store that rejected a call.
	retryPause = 100 * time.Millisecond
	// claimCheckPeriod is how often the owner checks whether its job was ended, well below the time after which no
	// further items of an ended job may be sent.
	claimCheckPeriod = time.Second
	// maxConcurrentAccepts is an upper bound on concurrent acceptances that do not see each other: about 20 jobs per
	// second at most, times the 1.5 s that a slow store takes for one. A job is accepted in sequence with the others
	// if this many jobs of its size might exceed the token cap.
	maxConcurrentAccepts = 32
	// maxConflictPause bounds the random pause after a conflict with another acceptance.
	maxConflictPause = 20 * time.Millisecond
)

// Clients acquires slots at endpoints.
type Clients interface {
	Acquire(ctx context.Context, service route.Service, request pool.SlotRequest) (*pool.Slot, error)
}

// Manager accepts jobs, answers calls about any job, and runs the jobs that this VM owns.
type Manager struct {
	self      roster.VM
	ledger    ledger
	view      *route.View
	clients   Clients
	inventory forward.Inventory
	sender    *forward.Sender
	log       *slog.Logger
	lengths   *lengthEstimator
	pace      pace
	sharing   sharing
	// baseCtx ends when the process stops.
	baseCtx context.Context
	// reading is the number of reads of results for callers under way.
	reading atomic.Int64
	// loading holds the turns of reads of whole jobs.
	loading *turns

	// memory counts what jobs hold, unless nil.
	memory *memory.Budget

	mu sync.Mutex
	// owned holds the jobs that this VM runs, manifests a cache of job manifests.
	owned     map[JobID]*job
	manifests map[JobID]manifest
	retiring  bool
	// stopped holds what other VMs need to continue the jobs that this VM has stopped, or has not started because it is
	// retiring, until they are handed over.
	stopped []AdoptArgs
	// stoppedAt holds when each job was stopped that is not handed over yet.
	stoppedAt map[JobID]time.Time
	// itemReads holds the reads of items for callers.
	itemReads map[JobID]*itemRead
	// closedSince holds when sweep, which alone uses it, first found that a stored job is not open.
	closedSince map[JobID]store.Clock
}

// NewManager returns a Manager without jobs; the jobs that it runs stop when ctx ends.
func NewManager(ctx context.Context, self roster.VM, s store.Store, view *route.View, clients Clients, list forward.Inventory, sender *forward.Sender, log *slog.Logger) *Manager {
	return &Manager{
		self: self,
		ledger: ledger{
			store: s,
		},
		view:        view,
		clients:     clients,
		inventory:   list,
		sender:      sender,
		log:         log,
		lengths:     newLengthEstimator(),
		baseCtx:     ctx,
		loading:     newTurns(maxLoads),
		itemReads:   map[JobID]*itemRead{},
		owned:       map[JobID]*job{},
		manifests:   map[JobID]manifest{},
		stoppedAt:   map[JobID]time.Time{},
		closedSince: map[JobID]store.Clock{},
	}
}

// End ends a job: items without a result will not get one.
func (mgr *Manager) End(ctx context.Context, caller forward.Caller, id JobID) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for {
		err := mgr.tryEnd(ctx, caller, id)
		if err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrKeyNeeded) || errors.Is(err, errNoOrganisations) {
			return err
		}
		mgr.log.Warn("attempt to end job failed", "job", id, "err", err)
		if !sleep(ctx, retryPause) {
			return ErrUncertain
		}
	}
}

func (mgr *Manager) tryEnd(ctx context.Context, caller forward.Caller, id JobID) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m, err := mgr.accessible(ctx, caller, id)
	if err != nil {
		return err
	}
	key := claimKey(m.Organisation, id)
	_, revision, err := mgr.ledger.claim(ctx, key)
	if err != nil {
		return err
	}
	if revision == 0 {
		return nil
	}
	if err := mgr.ledger.finish(ctx, key, revision, nil); err != nil {
		return err
	}
	mgr.log.Info("job ended", "job", id)
	mgr.stop(id, errNotOwner)
	return nil
}

// manifest returns the manifest of a job, from the cache if it was read before.
func (mgr *Manager) manifest(ctx context.Context, id JobID) (manifest, error) {
	mgr.mu.Lock()
	m, cached := mgr.manifests[id]
	mgr.mu.Unlock()
	if cached {
		return m, nil
	}
	m, _, err := mgr.ledger.manifest(ctx, id)
	if err != nil {
		return m, unavailable(err)
	}
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.cacheManifest(id, m)
	return m, nil
}

// maxManifests bounds the cached manifests, of a few hundred bytes each.
const maxManifests = 2000

func (mgr *Manager) cacheManifest(id JobID, m manifest) {
	if len(mgr.manifests) >= maxManifests {
		clear(mgr.manifests)
	}
	m.cached = time.Now()
	mgr.manifests[id] = m
}

// stop stops the work on a job on this VM.
func (mgr *Manager) stop(id JobID, cause error) {
	mgr.mu.Lock()
	j := mgr.owned[id]
	mgr.mu.Unlock()
	if j != nil {
		j.cancel(cause)
	}
}

// start begins to run a job that this VM owns. The clock is the store's current clock. If the job had another owner before,
// hasResults is set, progress holds the partial output that it handed over, and items is nil if they have to be read. A retiring VM
// does not run the job, but hands it over.
func (mgr *Manager) start(id JobID, m manifest, clock store.Clock, c claim, revision store.Revision, items []Item, hasResults bool, progress []Progress) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if mgr.owned[id] != nil || mgr.baseCtx.Err() != nil {
		return
	}
	mgr.cacheManifest(id, m)
	if mgr.retiring {
		mgr.stopped = append(mgr.stopped, AdoptArgs{
			Job:      id,
			Claim:    claimKey(m.Organisation, id),
			Number:   c.Number,
			Progress: progress,
		})
		return
	}
	// The time of submission is converted from the store's clock to that of this VM.
	submitted := time.Now().Add(-time.Duration(clock-m.Submitted) * time.Millisecond)
	ctx, cancel := context.WithCancelCause(mgr.baseCtx)
	// A job is run whether or not there is memory for it, as it has been accepted.
	account := mgr.memory.Account("")
	account.Add(bytesOf(items))
	j := &job{
		account:         account,
		manager:         mgr,
		id:              id,
		manifest:        m,
		items:           items,
		claim:           c,
		revision:        revision,
		checked:         time.Now(),
		submitted:       submitted,
		due:             submitted.Add(m.Window),
		cancel:          cancel,
		results:         make(chan Result, len(m.Items)),
		partial:         adoptedProgress(c, progress),
		attempts:        maps.Clone(c.Attempts),
		attemptsChanged: make(chan struct{}, 1),
		ended:           make(chan struct{}),
	}
	for _, p := range j.partial {
		account.Add(memory.Bytes(cap(p.Output)))
	}
	mgr.owned[id] = j
	go func() {
		defer close(j.ended)
		j.run(ctx, hasResults)
		cancel(nil)
		account.Close()
		mgr.mu.Lock()
		defer mgr.mu.Unlock()
		delete(mgr.owned, id)
	}()
}

// Incarnation returns the incarnation of this VM's process, which changes with each start.
func (mgr *Manager) Incarnation() roster.Incarnation {
	return mgr.self.Incarnation
}

// Owned returns the jobs that this VM runs.
func (mgr *Manager) Owned() []JobID {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	ids := make([]JobID, 0, len(mgr.owned))
	for id := range mgr.owned {
		ids = append(ids, id)
	}
	return ids
}

// sleep waits for the duration or until ctx ends. It reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
