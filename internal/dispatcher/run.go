package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/explain"
	"rhubarbrudder/internal/job"
)

// run is the work on one claimed lot.
type run struct {
	dispatcher *Dispatcher
	// processCtx is done when the process shuts down.
	processCtx context.Context
	// stopWork stops the work on the lot.
	stopWork context.CancelFunc
	active   job.ActiveRow
	lot      job.LotRow
	items    []job.Item
	policy   document.Policy
	// period is the time between checkpoints.
	period time.Duration
	// checkpointNow requests a checkpoint at once.
	checkpointNow chan struct{}
	// mu guards the fields below, and lot and items.
	mu       sync.Mutex
	progress job.Checkpoint
	// changed reports whether the progress has changed since the last snapshot.
	changed bool
	// pendingStarts has a channel for each start that is not committed yet, which is closed on the commit.
	pendingStarts []chan struct{}
	// running has the start time of each running item.
	running map[int]time.Time
	// deferred has the items that are left to another process.
	deferred map[int]bool
	// isSplit reports whether slow items were already split off as a remainder, or the lot is a remainder itself.
	isSplit bool
	// durations has those of the items that ended in this run.
	durations durations
}

func (d *Dispatcher) newRun(processCtx context.Context, stop context.CancelFunc, active job.ActiveRow, lot job.LotRow) *run {
	policy := d.document.View().Policy
	return &run{
		dispatcher:    d,
		processCtx:    processCtx,
		stopWork:      stop,
		active:        active,
		lot:           lot,
		policy:        policy,
		period:        d.checkpointPeriod(policy),
		checkpointNow: make(chan struct{}, 1),
		running:       map[int]time.Time{},
		deferred:      map[int]bool{},
		isSplit:       lot.Remainder > 0,
	}
}

// run processes a claimed lot until its outcome is stored, the claim is lost or the process ends.
func (r *run) run(ctx context.Context) {
	storeCtx := context.WithoutCancel(ctx)
	if !r.retryAccess(storeCtx, r.load) {
		return
	}
	r.runItems(ctx)
	r.retryAccess(storeCtx, r.storeOutcome)
}

func (r *run) key(lot job.LotID) lotKey {
	return lotKey{
		job: r.active.Job,
		lot: lot,
	}
}

const (
	// storeRetryPause is the first pause after a failed access to the store. It doubles up to maxRetryPause.
	storeRetryPause = 200 * time.Millisecond
	// maxRetryPause also bounds the pause between attempts of an item.
	maxRetryPause = 3 * time.Second
	// commitTimeout bounds accesses to the store after the process has begun to shut down.
	commitTimeout = 10 * time.Second
)

// retryAccess retries an access to the store with backoff, through outages, until it succeeds, the claim is lost or the
// process ends. It reports whether the access succeeded.
func (r *run) retryAccess(ctx context.Context, access func(ctx context.Context) error) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.processCtx, func() {
		time.AfterFunc(commitTimeout, cancel)
	})()
	for wait := storeRetryPause; ; wait = min(2*wait, maxRetryPause) {
		err := access(ctx)
		if err == nil {
			return true
		}
		if errors.Is(err, job.ErrFenced) {
			r.dispatcher.log.Info("claim lost", "job", r.active.Job, "lot", r.lot.ID)
			return false
		}
		r.dispatcher.log.Warn("lot not stored", "job", r.active.Job, "lot", r.lot.ID, "err", err)
		if !pause(ctx, wait/2+rand.N(wait)) {
			return false
		}
	}
}

// pause waits for the duration and reports whether ctx is still alive.
func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// load reads the lot's items and the progress that earlier claims stored.
func (r *run) load(ctx context.Context) error {
	items, err := r.dispatcher.store.Items(ctx, r.lot.Lot)
	if err != nil {
		return err
	}
	progress, err := r.dispatcher.store.Progress(ctx, r.lot.Lot)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.items = items
	r.progress = progress
	r.mu.Unlock()
	r.abandonStarted()
	return nil
}

// runItems runs all unfinished items and stores progress every period.
func (r *run) runItems(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var checkpoints sync.WaitGroup
	checkpoints.Go(func() {
		r.checkpointLoop(ctx, cancel)
	})
	var items sync.WaitGroup
	for _, index := range r.unfinished() {
		items.Go(func() {
			r.runItem(ctx, index)
		})
	}
	items.Wait()
	cancel()
	checkpoints.Wait()
}

// unfinished returns the indexes of the lot's items without a result.
func (r *run) unfinished() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var left []int
	for _, index := range r.progress.Indexes(len(r.items)) {
		if _, ok := r.progress.Results[index]; !ok {
			left = append(left, index)
		}
	}
	return left
}

// checkpointLoop stores progress every period, and at once when an item waits for its start to be committed. If the
// claim is lost or this process has no endpoint for the lot, it calls stop.
func (r *run) checkpointLoop(ctx context.Context, stop context.CancelFunc) {
	ticker := time.NewTicker(r.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.checkpointNow:
		}
		err := r.storeProgress(context.WithoutCancel(ctx))
		if errors.Is(err, job.ErrFenced) {
			r.dispatcher.log.Info("claim lost", "job", r.active.Job, "lot", r.lot.ID)
			stop()
			return
		}
		if r.lacksEndpoint() {
			r.dispatcher.note(r.active.Job, "lot handed on", fact("lot", string(r.lot.ID)), fact("reason", "no endpoint of the lot is this dispatcher's"))
			stop()
			return
		}
	}
}

// storeProgress splits off slow items if the lot waits only for them, and saves progress otherwise.
func (r *run) storeProgress(ctx context.Context) error {
	if slow := r.slowItems(time.Now()); slow != nil {
		return r.splitSlow(ctx, slow)
	}
	return r.save(ctx)
}

// lacksEndpoint reports whether no item of the lot is running and this process has no endpoint for it.
func (r *run) lacksEndpoint() bool {
	r.mu.Lock()
	running := len(r.running)
	r.mu.Unlock()
	return running == 0 && !r.dispatcher.capacity.Owns(r.active.Service)
}

func (r *run) save(ctx context.Context) error {
	progress, starts, changed := r.snapshot()
	if !changed {
		return nil
	}
	lot, err := r.saveProgress(ctx, progress)
	if err != nil {
		r.undoSnapshot(starts)
		return err
	}
	r.mu.Lock()
	r.lot = lot
	r.mu.Unlock()
	for _, start := range starts {
		close(start)
	}
	return nil
}

// saveProgress stores progress. For items that may run at most once it writes the lot's row, so that a lost claim
// fences the starts. For other items it writes only the checkpoint object.
func (r *run) saveProgress(ctx context.Context, progress job.Checkpoint) (job.LotRow, error) {
	if r.active.Once {
		return r.dispatcher.store.Save(ctx, r.active.Job, r.lot, progress)
	}
	return r.lot, r.dispatcher.store.Checkpoint(ctx, r.active.Job, r.lot, progress)
}

// snapshot returns a copy of the progress, the channels of the starts that it includes, and whether it changed since
// the last snapshot.
func (r *run) snapshot() (job.Checkpoint, []chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.changed
	starts := r.pendingStarts
	r.changed = false
	r.pendingStarts = nil
	return r.progress.Clone(), starts, changed
}

// undoSnapshot undoes the bookkeeping of a snapshot that was not stored, so that the next one includes the same starts.
func (r *run) undoSnapshot(starts []chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = true
	r.pendingStarts = append(r.pendingStarts, starts...)
}

// storeOutcome stores the results if every item is finished or the job is cancelled. If all unfinished items are
// deferred and others are finished, it stores the results and splits off the rest for another process. Otherwise it
// frees the lot with its progress.
func (r *run) storeOutcome(ctx context.Context) error {
	store := r.dispatcher.store
	left := r.unfinished()
	progress, _, _ := r.snapshot()
	if len(left) == 0 {
		return r.complete(ctx, progress)
	}
	current, err := store.Job(ctx, r.active.Organisation, r.active.Job)
	if err != nil {
		return err
	}
	switch {
	case !current.Cancelled.IsZero():
		return r.complete(ctx, progress)
	case r.allDeferred(left) && len(progress.Results) > 0:
		_, err := store.Split(ctx, r.active.Job, r.lot, results(progress), progress.ForRemainder(left), false)
		return err
	}
	return store.Free(ctx, r.active.Job, r.lot, progress, r.allDeferred(left))
}

func (r *run) complete(ctx context.Context, progress job.Checkpoint) error {
	return r.dispatcher.store.Complete(ctx, r.active.Job, r.lot, results(progress))
}

func (r *run) allDeferred(left []int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, index := range left {
		if !r.deferred[index] {
			return false
		}
	}
	return true
}

// results returns the results of the finished items in the order of the input.
func results(progress job.Checkpoint) []job.Result {
	indexes := make([]int, 0, len(progress.Results))
	for index := range progress.Results {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	sorted := make([]job.Result, 0, len(indexes))
	for _, index := range indexes {
		sorted = append(sorted, progress.Results[index])
	}
	return sorted
}

func fact(name, value string) explain.Fact {
	return explain.Fact{
		Name:  name,
		Value: value,
	}
}
