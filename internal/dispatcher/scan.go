package dispatcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"rhubarbrudder/internal/job"
)

const (
	// scanPeriod is how often jobs are looked through for lots to claim.
	scanPeriod = 500 * time.Millisecond
	// listPeriod is how often a job's lots are listed while this process has no room for them.
	listPeriod = 5 * time.Second
	// mostLots is how many lots a dispatcher holds at once.
	mostLots = 4
)

// scan looks through the active jobs for lots to claim.
func (d *Dispatcher) scan(ctx context.Context) {
	d.mu.Lock()
	active := slices.Clone(d.active)
	d.mu.Unlock()
	slices.SortFunc(active, func(a, b job.ActiveRow) int {
		return a.Due.Compare(b.Due)
	})
	for _, row := range active {
		if !d.mustList(row) {
			continue
		}
		if err := d.scanJob(ctx, row); err != nil && ctx.Err() == nil {
			d.log.Warn("job not scanned", "job", row.Job, "err", err)
		}
	}
	d.forget(active)
}

// mustList reports whether a job's lots are worth listing now.
func (d *Dispatcher) mustList(row job.ActiveRow) bool {
	if row.Cancelled || d.holding() < mostLots {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.listed[row.Job]) > listPeriod
}

// forget drops what is kept of jobs that have ended.
func (d *Dispatcher) forget(active []job.ActiveRow) {
	live := map[job.ID]bool{}
	for _, row := range active {
		live[row.Job] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.listed {
		if !live[id] {
			delete(d.listed, id)
		}
	}
	for id, since := range d.stopped {
		if !live[id] && time.Since(since) > stoppedKept {
			delete(d.stopped, id)
		}
	}
}

func (d *Dispatcher) scanJob(ctx context.Context, active job.ActiveRow) error {
	lots, err := d.store.Lots(ctx, active.Job)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.listed[active.Job] = time.Now()
	d.mu.Unlock()
	for _, lot := range d.claimable(active, lots) {
		if d.holding() >= mostLots && !active.Cancelled {
			return nil
		}
		d.claim(ctx, active, lot)
	}
	if !job.TallyOf(lots).Ends(active.Lots, len(lots), active.Cancelled) {
		return nil
	}
	_, err = d.store.Finish(ctx, active.Job)
	return err
}

// claimable returns the lots that nobody holds and that this dispatcher is preferred for, and those that its own
// session holds although no work on them goes on: their claim's or end's answer was lost.
func (d *Dispatcher) claimable(active job.ActiveRow, lots []job.LotRow) []job.LotRow {
	var free []job.LotRow
	seen := map[job.LotID]bool{}
	for _, lot := range lots {
		seen[lot.ID] = true
		if d.stray(active, lot) || d.open(active, lot) && d.prefers(active, lot.Lot) {
			free = append(free, lot)
		}
	}
	for number := 0; number < active.Lots && !active.Cancelled; number++ {
		lot := job.Lot{
			ID:    job.BaseLot(number),
			Input: job.InputObject(active.File, number),
		}
		if !seen[lot.ID] && d.prefers(active, lot) {
			free = append(free, job.LotRow{
				Lot: lot,
			})
		}
	}
	return free
}

// open reports whether a lot with a row is free to claim; of a cancelled job, to store what it has finished.
func (d *Dispatcher) open(active job.ActiveRow, lot job.LotRow) bool {
	if lot.State == job.LotClaimed {
		return d.sessions.Free(lot.Session)
	}
	return lot.State == job.LotFree && (!active.Cancelled || lot.Open())
}

func (d *Dispatcher) stray(active job.ActiveRow, lot job.LotRow) bool {
	own, ok := d.sessions.Own()
	return ok && lot.State == job.LotClaimed && lot.Session == own && !d.holds(lotKey{
		job: active.Job,
		lot: lot.ID,
	})
}

func (d *Dispatcher) claim(ctx context.Context, active job.ActiveRow, lot job.LotRow) {
	session, ok := d.sessions.Own()
	if !ok || ctx.Err() != nil {
		return
	}
	claimed, err := d.store.Claim(ctx, active, lot, session)
	if err != nil {
		if !errors.Is(err, job.ErrFenced) {
			d.log.Warn("lot not claimed", "job", active.Job, "lot", lot.ID, "err", err)
		}
		return
	}
	d.note(active.Job, "lot claimed", fact("lot", string(lot.ID)))
	d.log.Info("lot claimed", "job", active.Job, "lot", lot.ID, "claim", claimed.Claim)
	lotCtx, cancel := context.WithCancel(ctx)
	r := d.newRun(ctx, cancel, active, claimed)
	d.hold(r.key(lot.ID), cancel)
	if active.Cancelled || d.isStopped(active.Job) {
		cancel()
	}
	d.lots.Go(func() {
		defer cancel()
		r.run(lotCtx)
		d.drop(r.key(lot.ID))
		d.drop(r.key(r.lot.ID))
	})
}
