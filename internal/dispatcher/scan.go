package dispatcher

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/schedule"
)

const (
	// scanPeriod is the interval at which the active jobs are read and scanned for lots to claim.
	scanPeriod = 500 * time.Millisecond
	// listPeriod is the shortest interval at which a job's lots are listed if they are not known to have changed.
	listPeriod = time.Second
	// listsPerSecond bounds how many listings all dispatchers together make per second.
	listsPerSecond = 200
	// maxHeldLots is the number of held lots from which a dispatcher claims no more, except lots of cancelled jobs.
	maxHeldLots = 8
)

// relistPeriod returns how long a listing stays valid. It grows with the number of jobs and dispatchers, so that all
// dispatchers together stay within listsPerSecond, their share of the table's reads.
func (d *Dispatcher) relistPeriod(jobs int) time.Duration {
	lists := jobs * len(d.members.Alive(fleet.RoleDispatcher))
	return max(listPeriod, time.Duration(lists)*time.Second/listsPerSecond)
}

// scan claims lots in the order of the schedule, finishes jobs that may have ended and claims lots of
// cancelled jobs, so that the results of their finished items are stored.
func (d *Dispatcher) scan(ctx context.Context) {
	d.mu.Lock()
	active := slices.Clone(d.active)
	stale := d.stale
	d.stale = map[job.ID]bool{}
	d.mu.Unlock()
	d.updateThroughput()
	relistPeriod := d.relistPeriod(len(active))
	d.queue.update(active, time.Now(), relistPeriod)
	for _, state := range d.queue.jobs {
		if d.mustList(state, stale[state.row.Job], relistPeriod) {
			d.listLots(ctx, state)
		}
		if state.row.Cancelled {
			d.claimCancelledLots(ctx, state)
		}
	}
	d.claimLots(ctx, relistPeriod)
	d.forgetCancelled(active)
}

// overdueRelistPeriods is the number of relist periods after which a job's lots are listed even if the schedule does
// not reach it: the process that stored its last lot may have died before it finished the job.
const overdueRelistPeriods = 5

// mustList reports whether a job's lots must be listed before the schedule reaches the job.
func (d *Dispatcher) mustList(state *jobState, stale bool, relistPeriod time.Duration) bool {
	age := time.Since(state.listedAt)
	if state.row.Cancelled {
		return age >= scanPeriod
	}
	return len(state.claimableLots) == 0 && (age >= overdueRelistPeriods*relistPeriod || stale && !d.holdsLotOf(state.row.Job))
}

// claimLots claims lots in the order of the schedule until this process holds enough.
func (d *Dispatcher) claimLots(ctx context.Context, relistPeriod time.Duration) {
	for d.heldCount() < maxHeldLots && ctx.Err() == nil {
		turn, ok := d.queue.schedule.Next(time.Now())
		if !ok {
			return
		}
		state := d.queue.jobs[turn.Job.ID]
		d.reportRisk(state, turn)
		if !d.needsLots(state.row.Service) {
			d.queue.schedule.Remove(turn.Job.ID)
			continue
		}
		if len(state.claimableLots) == 0 && time.Since(state.listedAt) >= relistPeriod {
			d.listLots(ctx, state)
		}
		if len(state.claimableLots) == 0 {
			d.queue.schedule.Remove(turn.Job.ID)
			continue
		}
		lot := state.claimableLots[0]
		state.claimableLots = state.claimableLots[1:]
		if !d.mayStillClaim(state, lot) {
			continue
		}
		if !d.claim(ctx, state.row, lot) {
			// The listing is out of date, or the table is unavailable.
			state.claimableLots = nil
			continue
		}
		d.queue.schedule.Charge(turn, lotItems(state.row))
	}
}

// mayStillClaim reports whether this process may claim a lot of the last listing. Since then, other processes may have
// become known that are preferred for the lot and claim it as well.
func (d *Dispatcher) mayStillClaim(state *jobState, lot job.LotRow) bool {
	return state.unpreferred || d.isAbandonedClaim(state.row, lot) || d.isPreferred(state.row, lot.Lot)
}

// lotItems returns the approximate number of items in a lot of the job.
func lotItems(row job.ActiveRow) int {
	return max(1, row.Items/max(1, row.Lots))
}

// reportRisk records and logs, once per job, that the job may miss its due time. The value of "needs" is the time that
// the rest of the job is estimated to take.
func (d *Dispatcher) reportRisk(state *jobState, turn schedule.Turn) {
	if state.atRisk || turn.Reason != schedule.ReasonRisk {
		return
	}
	state.atRisk = true
	d.note(state.row.Job, "job at risk of lateness", fact("due", state.row.Due.Format(time.RFC3339)), fact("needs", turn.Job.Remaining.String()))
	d.log.Warn("job at risk of lateness", "job", state.row.Job, "organisation", state.row.Organisation, "due", state.row.Due, "needs", turn.Job.Remaining)
}

// claimCancelledLots claims the claimable lots of a cancelled job, so that the results of their finished items are
// stored. Those are lots that no live process holds and that may have results that are not stored yet.
func (d *Dispatcher) claimCancelledLots(ctx context.Context, state *jobState) {
	for _, lot := range state.claimableLots {
		d.claim(ctx, state.row, lot)
	}
	state.claimableLots = nil
}

// listLots reads the job's lots, queues those that this process may claim, and finishes the job if none is left to run.
func (d *Dispatcher) listLots(ctx context.Context, state *jobState) {
	state.listedAt = time.Now()
	state.claimableLots = nil
	lots, err := d.store.Lots(ctx, state.row.Job)
	if err == nil {
		tally := job.TallyOf(lots)
		state.unfinished = state.row.Items - tally.Counts.Completed - tally.Counts.Failed
		state.claimableLots = d.findClaimable(state.row, lots)
		// Fall back to a lot for which another process is preferred.
		state.unpreferred = len(state.claimableLots) == 0 && d.mayClaimUnpreferred(state.row)
		if state.unpreferred {
			state.claimableLots = d.lastUnclaimed(state.row, lots)
		}
		if tally.IsJobDone(state.row.Lots, len(lots), state.row.Cancelled) {
			_, err = d.store.Finish(ctx, state.row.Job)
		}
	}
	// The error is that of the listing or that of finishing the job.
	if err != nil && ctx.Err() == nil {
		d.mu.Lock()
		d.stale[state.row.Job] = true
		d.mu.Unlock()
		d.log.Warn("lots of job not listed or job not finished; trying again in the next scan", "job", state.row.Job, "err", err)
	}
}

// updateThroughput updates the throughput of each service with the items that have ended since the last scan.
func (d *Dispatcher) updateThroughput() {
	d.mu.Lock()
	ended := d.endedItems
	d.endedItems = map[document.ServiceName]int{}
	d.mu.Unlock()
	processes := len(d.members.Alive(fleet.RoleDispatcher))
	for service, items := range ended {
		if d.queue.rates[service] == nil {
			d.queue.rates[service] = &throughput{}
		}
		d.queue.rates[service].add(items, processes, time.Now())
	}
}

// forgetCancelled forgets the cancellations of jobs that are not among the active ones and of whose cancellation this
// process learned more than cancelledRetention ago.
func (d *Dispatcher) forgetCancelled(active []job.ActiveRow) {
	live := map[job.ID]bool{}
	for _, row := range active {
		live[row.Job] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.cancelled, func(id job.ID, cancelledAt time.Time) bool {
		return !live[id] && time.Since(cancelledAt) > cancelledRetention
	})
}

// findClaimable returns the free lots for which this dispatcher is preferred, and the lots that its own session holds
// without working on them. Such lots occur when the answer to the commit of a claim or of a lot's end was lost.
func (d *Dispatcher) findClaimable(active job.ActiveRow, lots []job.LotRow) []job.LotRow {
	var free []job.LotRow
	hasRow := map[job.LotID]bool{}
	for _, lot := range lots {
		hasRow[lot.ID] = true
		if d.isAbandonedClaim(active, lot) || d.isFree(active, lot) && d.isPreferred(active, lot.Lot) {
			free = append(free, lot)
		}
	}
	for number := 0; number < active.Lots && !active.Cancelled; number++ {
		lot := job.Lot{
			ID:    job.BaseLot(number),
			Input: job.InputObject(active.File, number),
		}
		if !hasRow[lot.ID] && d.capacityPrefers(active, lot) {
			free = append(free, job.LotRow{
				Lot: lot,
			})
		}
	}
	return free
}

// isPreferred reports whether this process is preferred for the lot. The lots of a cancelled job need no endpoint, so
// any dispatcher can be preferred for them.
func (d *Dispatcher) isPreferred(active job.ActiveRow, lot job.Lot) bool {
	if !active.Cancelled {
		return d.capacityPrefers(active, lot)
	}
	owner, ok := fleet.Owner(d.members.Alive(fleet.RoleDispatcher), lot.PlacementKey(active.Job))
	return ok && owner.ID() == d.members.Self().ID()
}

// isFree reports whether a lot that has a row is free to claim. A free lot of a cancelled job is claimed only if it may
// have results that are not stored yet.
func (d *Dispatcher) isFree(active job.ActiveRow, lot job.LotRow) bool {
	if lot.State == job.LotClaimed {
		return d.sessions.IsFree(lot.Session)
	}
	return lot.State == job.LotFree && (!active.Cancelled || lot.MayHaveUnstoredResults())
}

// isAbandonedClaim reports whether this process's own session holds the lot without a run that works on it.
func (d *Dispatcher) isAbandonedClaim(active job.ActiveRow, lot job.LotRow) bool {
	own, ok := d.sessions.Own()
	return ok && lot.State == job.LotClaimed && lot.Session == own && !d.isHeld(lotKey{
		job: active.Job,
		lot: lot.ID,
	})
}

// claim claims a lot and starts the work on it. It reports whether the claim succeeded.
func (d *Dispatcher) claim(ctx context.Context, active job.ActiveRow, lot job.LotRow) bool {
	session, ok := d.sessions.Own()
	if !ok || ctx.Err() != nil {
		return false
	}
	claimed, err := d.store.Claim(ctx, active, lot, session)
	if err != nil {
		if !errors.Is(err, job.ErrFenced) {
			d.log.Warn("lot not claimed", "job", active.Job, "lot", lot.ID, "err", err)
		}
		return false
	}
	d.note(active.Job, "lot claimed", fact("lot", string(lot.ID)))
	d.log.Info("lot claimed", "job", active.Job, "lot", lot.ID, "claim", claimed.Claim)
	lotCtx, cancel := context.WithCancel(ctx)
	r := d.newRun(ctx, cancel, active, claimed)
	d.addHeld(r.key(lot.ID), r)
	d.setTracked(r, true)
	if active.Cancelled || d.isCancelled(active.Job) {
		cancel()
	}
	d.lotRuns.Go(func() {
		defer cancel()
		r.run(lotCtx)
		d.setTracked(r, false)
		// If slow items were split off, the run went on with the remainder, and r.lot is another lot than at first.
		d.removeHeld(r.key(lot.ID), r)
		d.removeHeld(r.key(r.lot.ID), r)
		d.markStale(active.Job)
	})
	return true
}
