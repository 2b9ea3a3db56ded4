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
	// scanPeriod is how often jobs are looked through for lots to claim.
	scanPeriod = 500 * time.Millisecond
	// listPeriod is how often, at most, a job's lots are listed without a reason to.
	listPeriod = time.Second
	// listsPerSecond is how many listings the dispatchers together make a second, at most.
	listsPerSecond = 200
	// mostLots is how many lots a dispatcher holds at once.
	mostLots = 8
)

// relistPeriod is how long a listing is believed: the dispatchers together keep inside their share of the reads.
func (d *Dispatcher) relistPeriod(jobs int) time.Duration {
	lists := jobs * len(d.members.Alive(fleet.RoleDispatcher))
	return max(listPeriod, time.Duration(lists)*time.Second/listsPerSecond)
}

// scan claims lots in the schedule's order, and looks after jobs that may have ended or are cancelled.
func (d *Dispatcher) scan(ctx context.Context) {
	d.mu.Lock()
	active := slices.Clone(d.active)
	stale := d.stale
	d.stale = map[job.ID]bool{}
	d.mu.Unlock()
	d.measure()
	relist := d.relistPeriod(len(active))
	d.board.update(active, time.Now(), relist)
	for _, state := range d.board.jobs {
		if d.mustList(state, stale[state.row.Job], relist) {
			d.list(ctx, state)
		}
		if state.row.Cancelled {
			d.closeLots(ctx, state)
		}
	}
	d.claimLots(ctx, relist)
	d.forget(active)
}

// overdueListings is after how many periods a job is listed without a turn: its last holder may have died before it
// ended the job.
const overdueListings = 5

// mustList reports whether a job's lots are to be listed before it has its turn.
func (d *Dispatcher) mustList(state *jobState, stale bool, relist time.Duration) bool {
	age := time.Since(state.listed)
	if state.row.Cancelled {
		return age >= scanPeriod
	}
	return len(state.queue) == 0 && (age >= overdueListings*relist || stale && !d.holdsJob(state.row.Job))
}

// claimLots claims lots until this process holds enough.
func (d *Dispatcher) claimLots(ctx context.Context, relist time.Duration) {
	for d.holding() < mostLots && ctx.Err() == nil {
		turn, ok := d.board.order.Next(time.Now())
		if !ok {
			return
		}
		state := d.board.jobs[turn.Job.ID]
		d.reportRisk(state, turn)
		if !d.hungry(state.row.Service) {
			d.board.order.Remove(turn.Job.ID)
			continue
		}
		if len(state.queue) == 0 && time.Since(state.listed) >= relist {
			d.list(ctx, state)
		}
		if len(state.queue) == 0 {
			d.board.order.Remove(turn.Job.ID)
			continue
		}
		lot := state.queue[0]
		state.queue = state.queue[1:]
		if !d.claim(ctx, state.row, lot) {
			// What was listed no longer holds, or the table is away.
			state.queue = nil
			continue
		}
		d.board.order.Charge(turn, lotItems(state.row))
	}
}

// lotItems returns about how many items a lot of the job has.
func lotItems(row job.ActiveRow) int {
	return max(1, row.Items/max(1, row.Lots))
}

// reportRisk tells once that a job may be late.
func (d *Dispatcher) reportRisk(state *jobState, turn schedule.Turn) {
	if state.atRisk || turn.Reason != schedule.ReasonRisk {
		return
	}
	state.atRisk = true
	d.note(state.row.Job, "job at risk of lateness", fact("due", state.row.Due.Format(time.RFC3339)), fact("needs", turn.Job.Remaining.String()))
	d.log.Warn("job at risk of lateness", "job", state.row.Job, "organisation", state.row.Organisation, "due", state.row.Due, "needs", turn.Job.Remaining)
}

// closeLots stores what lots of a cancelled job have finished whose holders are gone.
func (d *Dispatcher) closeLots(ctx context.Context, state *jobState) {
	for _, lot := range state.queue {
		d.claim(ctx, state.row, lot)
	}
	state.queue = nil
}

// list reads the job's lots, queues those that this process may claim, and ends the job if nothing is left of it.
func (d *Dispatcher) list(ctx context.Context, state *jobState) {
	state.listed = time.Now()
	state.queue = nil
	lots, err := d.store.Lots(ctx, state.row.Job)
	if err == nil {
		tally := job.TallyOf(lots)
		state.left = state.row.Items - tally.Counts.Completed - tally.Counts.Failed
		state.queue = d.claimable(state.row, lots)
		if len(state.queue) == 0 && d.mayHelp(state.row) {
			state.queue = d.helpable(state.row, lots)
		}
		if tally.Ends(state.row.Lots, len(lots), state.row.Cancelled) {
			_, err = d.store.Finish(ctx, state.row.Job)
		}
	}
	if err != nil && ctx.Err() == nil {
		d.mu.Lock()
		d.stale[state.row.Job] = true
		d.mu.Unlock()
		d.log.Warn("job not scanned", "job", state.row.Job, "err", err)
	}
}

// measure counts the items that ended since the last scan.
func (d *Dispatcher) measure() {
	d.mu.Lock()
	ended := d.items
	d.items = map[document.ServiceName]int{}
	d.mu.Unlock()
	processes := len(d.members.Alive(fleet.RoleDispatcher))
	for service, items := range ended {
		if d.board.rates[service] == nil {
			d.board.rates[service] = &throughput{}
		}
		d.board.rates[service].add(items, processes, time.Now())
	}
}

// forget drops what is kept of jobs that have ended.
func (d *Dispatcher) forget(active []job.ActiveRow) {
	live := map[job.ID]bool{}
	for _, row := range active {
		live[row.Job] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.stopped, func(id job.ID, since time.Time) bool {
		return !live[id] && time.Since(since) > stoppedKept
	})
}

// claimable returns the lots that nobody holds and that this dispatcher is preferred for, and those that its own
// session holds although no work on them goes on: their claim's or end's answer was lost.
func (d *Dispatcher) claimable(active job.ActiveRow, lots []job.LotRow) []job.LotRow {
	var free []job.LotRow
	seen := map[job.LotID]bool{}
	for _, lot := range lots {
		seen[lot.ID] = true
		if d.stray(active, lot) || d.open(active, lot) && d.chosen(active, lot.Lot) {
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

// chosen reports whether this process is the one to claim the lot; one of a cancelled job needs no endpoint.
func (d *Dispatcher) chosen(active job.ActiveRow, lot job.Lot) bool {
	if !active.Cancelled {
		return d.prefers(active, lot)
	}
	owner, ok := fleet.Owner(d.members.Alive(fleet.RoleDispatcher), lot.Name(active.Job))
	return ok && owner.ID() == d.members.Self().ID()
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

// claim claims a lot, starts the work on it and reports whether it did.
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
	d.hold(r.key(lot.ID), cancel)
	d.track(r, true)
	if active.Cancelled || d.isStopped(active.Job) {
		cancel()
	}
	d.lots.Go(func() {
		defer cancel()
		r.run(lotCtx)
		d.track(r, false)
		d.drop(r.key(lot.ID))
		d.drop(r.key(r.lot.ID))
		d.ended(active.Job)
	})
	return true
}
