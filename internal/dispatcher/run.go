package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/request"
)

// run is the work on one claimed lot.
type run struct {
	dispatcher *Dispatcher
	active     job.ActiveRow
	lot        job.LotRow
	items      []job.Item
	attempts   int
	period     time.Duration
	mu         sync.Mutex
	progress   job.Checkpoint
	changed    bool
}

// commitTimeout bounds the storing of a lot's end after its work was cancelled.
const commitTimeout = 10 * time.Second

func (d *Dispatcher) runLot(ctx context.Context, active job.ActiveRow, lot job.LotRow) {
	r := &run{
		dispatcher: d,
		active:     active,
		lot:        lot,
		attempts:   d.document.View().Policy.Attempts,
		period:     time.Duration(d.document.View().Policy.CheckpointMilliseconds) * time.Millisecond,
	}
	if err := r.load(context.WithoutCancel(ctx)); err != nil {
		d.log.Warn("lot not loaded", "job", active.Job, "lot", lot.ID, "err", err)
	} else {
		r.work(ctx)
	}
	if err := r.end(context.WithoutCancel(ctx)); err != nil {
		d.log.Warn("lot not stored", "job", active.Job, "lot", lot.ID, "err", err)
	}
}

func (r *run) load(ctx context.Context) error {
	var err error
	r.items, err = r.dispatcher.store.Items(ctx, r.lot.Lot)
	if err != nil {
		return err
	}
	r.progress, err = r.dispatcher.store.Progress(ctx, r.lot.Lot)
	return err
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
	for index := range r.items {
		if r.finished(index) {
			continue
		}
		items.Go(func() {
			r.item(ctx, index)
		})
	}
	items.Wait()
	cancel()
	checkpoints.Wait()
}

func (r *run) finished(index int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.progress.Results[index]
	return ok
}

// checkpoint stores progress; a lost claim ends the work.
func (r *run) checkpoint(ctx context.Context, lost context.CancelFunc) {
	ticker := time.NewTicker(r.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := r.save(context.WithoutCancel(ctx)); errors.Is(err, job.ErrFenced) {
			r.dispatcher.log.Info("claim lost", "job", r.active.Job, "lot", r.lot.ID)
			lost()
			return
		}
	}
}

func (r *run) save(ctx context.Context) error {
	progress, changed := r.snapshot()
	if !changed {
		return nil
	}
	lot, err := r.dispatcher.store.Save(ctx, r.active.Job, r.lot, progress)
	if err != nil {
		return err
	}
	r.lot = lot
	return nil
}

// snapshot returns a copy of the progress, and whether it changed since the last.
func (r *run) snapshot() (job.Checkpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.changed
	r.changed = false
	return r.progress.Clone(), changed
}

// end stores the results if every item is finished or the job is cancelled, and the progress otherwise.
func (r *run) end(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	progress, _ := r.snapshot()
	stored, err := r.dispatcher.store.Job(ctx, r.active.Organisation, r.active.Job)
	if err != nil {
		return err
	}
	done := len(r.items) > 0 && len(progress.Results) == len(r.items)
	if !done && stored.Cancelled.IsZero() {
		// Another dispatcher may go on from the progress.
		r.lot.State = job.LotFree
		_, err := r.dispatcher.store.Save(ctx, r.active.Job, r.lot, progress)
		return err
	}
	results := make([]job.Result, 0, len(progress.Results))
	for index := range r.items {
		if result, ok := progress.Results[index]; ok {
			results = append(results, result)
		}
	}
	if err := r.dispatcher.store.Complete(ctx, r.active.Job, r.lot, results); err != nil {
		return err
	}
	_, err = r.dispatcher.store.Finish(ctx, r.active.Job)
	return err
}

func (r *run) setResult(index int, result job.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress.Results[index] = result
	delete(r.progress.Partial, index)
	delete(r.progress.Attempts, index)
	r.changed = true
}

// retryPause is the pause before the first retry of an item; it doubles with each.
const retryPause = 100 * time.Millisecond

// item runs one item until it has a result or ctx ends.
func (r *run) item(ctx context.Context, index int) {
	avoid := map[endpoint.ID]bool{}
	for ctx.Err() == nil {
		grant, err := r.dispatcher.capacity.Acquire(ctx, r.active.Service, avoid)
		if err != nil {
			return
		}
		result, err := r.attempt(grant.Context(), grant.Endpoint, index)
		yielded := grant.Context().Err() != nil
		grant.Release()
		if err == nil {
			r.setResult(index, result)
			return
		}
		if yielded {
			continue
		}
		avoid[grant.Endpoint.ID] = true
		if r.failed(ctx, index, err) {
			return
		}
		if len(avoid) >= r.attempts {
			clear(avoid)
		}
	}
}

// failed counts a failed attempt, pauses, and reports whether it was the last.
func (r *run) failed(ctx context.Context, index int, err error) bool {
	r.mu.Lock()
	r.progress.Attempts[index]++
	attempts := r.progress.Attempts[index]
	r.changed = true
	r.mu.Unlock()
	if attempts >= r.attempts {
		r.setResult(index, job.Result{
			ID:       request.NewID(),
			CustomID: r.items[index].CustomID,
			Error: &job.ResultError{
				Code:    "attempts_exhausted",
				Message: err.Error(),
			},
		})
		return true
	}
	timer := time.NewTimer(retryPause << attempts)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}
