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
	// life ends when the process shuts down.
	life context.Context
	// stopWork ends the work on the lot.
	stopWork context.CancelFunc
	active   job.ActiveRow
	lot      job.LotRow
	items    []job.Item
	policy   document.Policy
	period   time.Duration
	kick     chan struct{}
	mu       sync.Mutex
	progress job.Checkpoint
	changed  bool
	// waiting are the items whose start is to be committed.
	waiting []chan struct{}
	// running holds since when each dispatched item runs.
	running map[int]time.Time
	// deferred are the items that another process shall try.
	deferred map[int]bool
	// split says that a remainder of slow items was split off.
	split bool
	took  durations
}

func (d *Dispatcher) newRun(life context.Context, stop context.CancelFunc, active job.ActiveRow, lot job.LotRow) *run {
	policy := d.document.View().Policy
	return &run{
		dispatcher: d,
		life:       life,
		stopWork:   stop,
		active:     active,
		lot:        lot,
		policy:     policy,
		period:     d.checkpointPeriod(policy),
		kick:       make(chan struct{}, 1),
		running:    map[int]time.Time{},
		deferred:   map[int]bool{},
		split:      lot.Remainder > 0,
	}
}

// run runs a claimed lot until its end is stored, its claim is lost, or the process ends.
func (r *run) run(ctx context.Context) {
	whole := context.WithoutCancel(ctx)
	if !r.persist(whole, r.load) {
		return
	}
	r.work(ctx)
	r.persist(whole, r.end)
}

func (r *run) key(lot job.LotID) lotKey {
	return lotKey{
		job: r.active.Job,
		lot: lot,
	}
}

const (
	// persistPause is the first pause after a failed access to the store; it doubles up to longestPause.
	persistPause = 200 * time.Millisecond
	longestPause = 3 * time.Second
	// commitTimeout bounds the storing of a lot's end after the process was asked to shut down.
	commitTimeout = 10 * time.Second
)

// persist repeats an access to the store through outages, until it succeeds, the claim is lost, or the process ends.
func (r *run) persist(ctx context.Context, access func(ctx context.Context) error) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.life, func() {
		time.AfterFunc(commitTimeout, cancel)
	})()
	for wait := persistPause; ; wait = min(2*wait, longestPause) {
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

// pause waits and reports whether ctx still lives.
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

// work runs every unfinished item, and stores progress every period.
func (r *run) work(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var checkpoints sync.WaitGroup
	checkpoints.Go(func() {
		r.checkpoint(ctx, cancel)
	})
	var items sync.WaitGroup
	for _, index := range r.unfinished() {
		items.Go(func() {
			r.item(ctx, index)
		})
	}
	items.Wait()
	cancel()
	checkpoints.Wait()
}

// unfinished returns the lot's items without a result.
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

// checkpoint stores progress each period, and at once when a start waits; a lost claim ends the work.
func (r *run) checkpoint(ctx context.Context, lost context.CancelFunc) {
	ticker := time.NewTicker(r.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.kick:
		}
		err := r.store(context.WithoutCancel(ctx))
		if errors.Is(err, job.ErrFenced) {
			r.dispatcher.log.Info("claim lost", "job", r.active.Job, "lot", r.lot.ID)
			lost()
			return
		}
		if r.stranded() {
			r.dispatcher.note(r.active.Job, "lot handed on", fact("lot", string(r.lot.ID)), fact("reason", "no endpoint of the lot is this dispatcher's"))
			lost()
			return
		}
	}
}

// store splits slow items off if the lot waits for nothing else, and saves progress otherwise.
func (r *run) store(ctx context.Context) error {
	if slow := r.slow(time.Now()); slow != nil {
		return r.splitSlow(ctx, slow)
	}
	return r.save(ctx)
}

// stranded reports whether nothing of the lot runs and no endpoint for it is this process's.
func (r *run) stranded() bool {
	r.mu.Lock()
	running := len(r.running)
	r.mu.Unlock()
	return running == 0 && !r.dispatcher.capacity.Owns(r.active.Service)
}

func (r *run) save(ctx context.Context) error {
	progress, waiting, changed := r.snapshot()
	if !changed {
		return nil
	}
	lot, err := r.saveProgress(ctx, progress)
	if err != nil {
		r.unsaved(waiting)
		return err
	}
	r.mu.Lock()
	r.lot = lot
	r.mu.Unlock()
	for _, start := range waiting {
		close(start)
	}
	return nil
}

// saveProgress stores progress: with a start in it, in the lot's row, which fences it.
func (r *run) saveProgress(ctx context.Context, progress job.Checkpoint) (job.LotRow, error) {
	if r.active.Once {
		return r.dispatcher.store.Save(ctx, r.active.Job, r.lot, progress)
	}
	return r.lot, r.dispatcher.store.Checkpoint(ctx, r.active.Job, r.lot, progress)
}

// snapshot returns a copy of the progress, the starts that it holds, and whether it changed since the last.
func (r *run) snapshot() (job.Checkpoint, []chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.changed
	waiting := r.waiting
	r.changed = false
	r.waiting = nil
	return r.progress.Clone(), waiting, changed
}

// unsaved takes back a snapshot that was not stored.
func (r *run) unsaved(waiting []chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = true
	r.waiting = append(r.waiting, waiting...)
}

// end stores the results if every item is finished or the job is cancelled, hands deferred items on,
// and gives the lot up with its progress otherwise.
func (r *run) end(ctx context.Context) error {
	store := r.dispatcher.store
	left := r.unfinished()
	progress, _, _ := r.snapshot()
	if len(left) == 0 {
		return r.complete(ctx, progress)
	}
	stored, err := store.Job(ctx, r.active.Organisation, r.active.Job)
	if err != nil {
		return err
	}
	switch {
	case !stored.Cancelled.IsZero():
		return r.complete(ctx, progress)
	case r.allDeferred(left) && len(progress.Results) > 0:
		_, err := store.Split(ctx, r.active.Job, r.lot, results(progress), progress.Rest(left), false)
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

// results returns the finished items in the order of the input.
func results(progress job.Checkpoint) []job.Result {
	indexes := make([]int, 0, len(progress.Results))
	for index := range progress.Results {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	found := make([]job.Result, 0, len(indexes))
	for _, index := range indexes {
		found = append(found, progress.Results[index])
	}
	return found
}

func fact(name, value string) explain.Fact {
	return explain.Fact{
		Name:  name,
		Value: value,
	}
}
