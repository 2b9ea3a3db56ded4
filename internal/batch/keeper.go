package batch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/forward"
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
	Acquire(ctx context.Context, service route.Service, request pool.Wish) (*pool.Slot, error)
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
	// baseCtx ends when the process stops.
	baseCtx context.Context

	mu        sync.Mutex
	owned     map[JobID]*job
	manifests map[JobID]manifest
	retiring  bool
	running   sync.WaitGroup
}

// NewManager returns a Keeper without jobs; the jobs that it runs stop when ctx ends.
func NewManager(ctx context.Context, self roster.VM, s store.Store, view *route.View, clients Clients, list forward.Inventory, sender *forward.Sender, log *slog.Logger) *Manager {
	return &Manager{
		self: self,
		ledger: ledger{
			store: s,
		},
		view:      view,
		clients:   clients,
		inventory: list,
		sender:    sender,
		log:       log,
		lengths:   newLengthEstimator(),
		baseCtx:   ctx,
		owned:     map[JobID]*job{},
		manifests: map[JobID]manifest{},
	}
}

// End ends a job: items without a result will not get one.
func (k *Manager) End(ctx context.Context, id JobID) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for {
		err := k.tryEnd(ctx, id)
		if err == nil || errors.Is(err, ErrNotFound) {
			return err
		}
		k.log.Warn("job not ended yet", "job", id, "err", err)
		if !sleep(ctx, retryPause) {
			return ErrUncertain
		}
	}
}

func (k *Manager) tryEnd(ctx context.Context, id JobID) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := k.manifest(ctx, id); err != nil {
		return err
	}
	_, revision, err := k.ledger.claim(ctx, id)
	if err != nil {
		return err
	}
	if revision == 0 {
		return nil
	}
	if err := k.ledger.finish(ctx, id, revision, nil); err != nil {
		return err
	}
	k.log.Info("job ended", "job", id)
	k.stop(id, errLost)
	return nil
}

// manifest returns the manifest of a job, from the cache if it was read before.
func (k *Manager) manifest(ctx context.Context, id JobID) (manifest, error) {
	k.mu.Lock()
	m, cached := k.manifests[id]
	k.mu.Unlock()
	if cached {
		return m, nil
	}
	m, _, err := k.ledger.manifest(ctx, id)
	if err != nil {
		return m, unavailable(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cacheManifest(id, m)
	return m, nil
}

// maxManifests bounds the cached manifests, of a few hundred bytes each.
const maxManifests = 2000

func (k *Manager) cacheManifest(id JobID, m manifest) {
	if len(k.manifests) >= maxManifests {
		clear(k.manifests)
	}
	k.manifests[id] = m
}

// stop stops the work on a job on this VM.
func (k *Manager) stop(id JobID, cause error) {
	k.mu.Lock()
	j := k.owned[id]
	k.mu.Unlock()
	if j != nil {
		j.cancel(cause)
	}
}

// start begins to run a job that this VM owns. The clock is the store's current clock.
func (k *Manager) start(id JobID, m manifest, clock store.Clock, c claim, revision store.Revision, items []Item, committed []Result, progress []Progress) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.owned[id] != nil || k.baseCtx.Err() != nil {
		return
	}
	k.cacheManifest(id, m)
	submitted := time.Now().Add(-time.Duration(clock-m.Submitted) * time.Millisecond)
	ctx, cancel := context.WithCancelCause(k.baseCtx)
	j := &job{
		keeper:   k,
		id:       id,
		manifest: m,
		items:    items,
		claim:    c,
		revision: revision,
		checked:  time.Now(),
		due:      submitted.Add(m.Window),
		abandon:  submitted.Add(m.Abandon),
		cancel:   cancel,
		results:  make(chan Result, len(items)),
		partial:  map[ItemID]Progress{},
	}
	for _, p := range progress {
		j.partial[p.Item] = p
	}
	k.owned[id] = j
	k.running.Go(func() {
		j.run(ctx, committed)
		cancel(nil)
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.owned, id)
	})
}

// Incarnation returns the incarnation of this VM's process, which changes with each start.
func (k *Manager) Incarnation() roster.Incarnation {
	return k.self.Incarnation
}

// Owned returns the jobs that this VM runs.
func (k *Manager) Owned() []JobID {
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := make([]JobID, 0, len(k.owned))
	for id := range k.owned {
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
