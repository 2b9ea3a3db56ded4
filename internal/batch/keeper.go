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
	// firstTimeout is how long the first attempt of a write may take; each further one may take twice as long, as
	// a store that is slow answers later, and one that lost the answer never does.
	firstTimeout = 250 * time.Millisecond
	// longestTimeout bounds an attempt.
	longestTimeout = 2 * time.Second
	// acceptTime is how long acceptance of a job is tried, well inside what callers of batch routes wait.
	acceptTime = 3300 * time.Millisecond
	// readTimeout bounds a read for a caller.
	readTimeout = 1500 * time.Millisecond
	// pauseLeast separates attempts at a store that turned a call away.
	pauseLeast = 100 * time.Millisecond
	// checkPeriod is how often it is looked whether a job was ended, well inside the time within which its items
	// must not be sent any more.
	checkPeriod = time.Second
	// acceptsAtOnce is how many acceptances may be under way that do not see each other: some twenty jobs a second at
	// most, times the second and a half that a slow store takes for one. If that many jobs of one's size might not
	// fit, it is accepted in sequence with the others.
	acceptsAtOnce = 32
	// sequencePause is the longest pause after another acceptance came between.
	sequencePause = 20 * time.Millisecond
)

// Clients gives slots at endpoints.
type Clients interface {
	Acquire(ctx context.Context, service route.Service, wish pool.Wish) (*pool.Slot, error)
}

// Keeper accepts jobs, answers for all of them, and runs those that this VM owns.
type Keeper struct {
	self      roster.VM
	ledger    ledger
	view      *route.View
	clients   Clients
	inventory forward.Inventory
	sender    *forward.Sender
	log       *slog.Logger
	lengths   *lengths
	// life ends when the process stops.
	life context.Context

	mu        sync.Mutex
	owned     map[JobID]*job
	manifests map[JobID]manifest
	retiring  bool
	running   sync.WaitGroup
}

// NewKeeper returns a keeper without jobs; the jobs that it runs end with ctx.
func NewKeeper(ctx context.Context, self roster.VM, s store.Store, view *route.View, clients Clients, list forward.Inventory, sender *forward.Sender, log *slog.Logger) *Keeper {
	return &Keeper{
		self: self,
		ledger: ledger{
			store: s,
		},
		view:      view,
		clients:   clients,
		inventory: list,
		sender:    sender,
		log:       log,
		lengths:   newLengths(),
		life:      ctx,
		owned:     map[JobID]*job{},
		manifests: map[JobID]manifest{},
	}
}

// End ends a job: what has no result yet gets none.
func (k *Keeper) End(ctx context.Context, id JobID) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	for {
		err := k.tryEnd(ctx, id)
		if err == nil || errors.Is(err, ErrNotFound) {
			return err
		}
		k.log.Warn("job not ended yet", "job", id, "err", err)
		if !sleep(ctx, pauseLeast) {
			return ErrUncertain
		}
	}
}

func (k *Keeper) tryEnd(ctx context.Context, id JobID) error {
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

// manifest returns what never changes of a job, from memory if it was read before.
func (k *Keeper) manifest(ctx context.Context, id JobID) (manifest, error) {
	k.mu.Lock()
	m, known := k.manifests[id]
	k.mu.Unlock()
	if known {
		return m, nil
	}
	m, _, err := k.ledger.manifest(ctx, id)
	if err != nil {
		return m, unavailable(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.remember(id, m)
	return m, nil
}

// maxManifests bounds the manifests kept in memory, some hundred bytes each.
const maxManifests = 2000

func (k *Keeper) remember(id JobID, m manifest) {
	if len(k.manifests) >= maxManifests {
		clear(k.manifests)
	}
	k.manifests[id] = m
}

// stop ends the work on a job at this VM.
func (k *Keeper) stop(id JobID, cause error) {
	k.mu.Lock()
	j := k.owned[id]
	k.mu.Unlock()
	if j != nil {
		j.cancel(cause)
	}
}

// start begins to run a job that this VM owns. Clock is the store's clock now.
func (k *Keeper) start(id JobID, m manifest, clock store.Clock, c claim, revision store.Revision, items []Item, listed []Result, progress []Progress) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.owned[id] != nil || k.life.Err() != nil {
		return
	}
	k.remember(id, m)
	submitted := time.Now().Add(-time.Duration(clock-m.Submitted) * time.Millisecond)
	ctx, cancel := context.WithCancelCause(k.life)
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
	for _, each := range progress {
		j.partial[each.Item] = each
	}
	k.owned[id] = j
	k.running.Go(func() {
		j.run(ctx, listed)
		cancel(nil)
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.owned, id)
	})
}

// Incarnation returns the incarnation of this VM's process.
func (k *Keeper) Incarnation() roster.Incarnation {
	return k.self.Incarnation
}

// Owned returns the jobs that this VM runs.
func (k *Keeper) Owned() []JobID {
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := make([]JobID, 0, len(k.owned))
	for id := range k.owned {
		ids = append(ids, id)
	}
	return ids
}

// sleep waits and reports whether ctx still lasts.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
