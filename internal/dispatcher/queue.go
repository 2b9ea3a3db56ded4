package dispatcher

import (
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/schedule"
)

// jobQueue holds the active jobs as this process knows them, the order in which they are served and the throughput of
// each service.
type jobQueue struct {
	schedule *schedule.Schedule
	jobs     map[job.ID]*jobState
	rates    map[document.ServiceName]*throughput
}

// jobState is the state of one active job.
type jobState struct {
	row job.ActiveRow
	// claimableLots holds the lots that this process may claim, as of the last listing.
	claimableLots []job.LotRow
	// unpreferred says that other processes are preferred for claimableLots.
	unpreferred bool
	// listedAt is when the last listing began.
	listedAt time.Time
	// unfinished is the number of unfinished items, as of the last listing.
	unfinished int
	// atRisk reports whether the risk of lateness was already reported.
	atRisk bool
}

func newJobQueue(weightOf schedule.WeightFunc) *jobQueue {
	return &jobQueue{
		schedule: schedule.New(weightOf),
		jobs:     map[job.ID]*jobState{},
		rates:    map[document.ServiceName]*throughput{},
	}
}

// update replaces the active jobs. A job without lots to claim stays out of the schedule until its lots may be listed
// again.
func (q *jobQueue) update(active []job.ActiveRow, now time.Time, relistPeriod time.Duration) {
	live := make(map[job.ID]bool, len(active))
	for _, row := range active {
		live[row.Job] = true
		state := q.jobs[row.Job]
		if state == nil {
			state = &jobState{
				unfinished: row.Items,
			}
			q.jobs[row.Job] = state
		}
		state.row = row
		if row.Cancelled || len(state.claimableLots) == 0 && now.Sub(state.listedAt) < relistPeriod {
			q.schedule.Remove(row.Job)
			continue
		}
		q.schedule.Put(q.scheduleEntry(state))
	}
	for id := range q.jobs {
		if !live[id] {
			delete(q.jobs, id)
			q.schedule.Remove(id)
		}
	}
}

// remainingMargin is the factor by which a job is assumed to take longer than the measured rate predicts.
const remainingMargin = 1.5

func (q *jobQueue) scheduleEntry(state *jobState) schedule.Job {
	remaining := time.Duration(0)
	if rate := q.rates[state.row.Service].perSecond(); rate > 0 {
		remaining = time.Duration(remainingMargin * float64(state.unfinished) / rate * float64(time.Second))
	}
	return schedule.Job{
		ID:           state.row.Job,
		Organisation: state.row.Organisation,
		Due:          state.row.Due,
		Remaining:    remaining,
	}
}

// throughput estimates the items per second that all dispatchers finish for a service, from those of this process.
type throughput struct {
	// windowStart is when the current sample began, items the number of its items so far.
	windowStart time.Time
	items       int
	// rate is the moving average in items per second, zero before the first sample.
	rate float64
}

const (
	// rateWindow is the shortest duration of one sample.
	rateWindow = 5 * time.Second
	// rateWeight is the weight of the latest sample in the moving average.
	rateWeight = 0.3
)

func (t *throughput) perSecond() float64 {
	if t == nil {
		return 0
	}
	return t.rate
}

// add counts finished items. The sample is multiplied by the number of processes, which are assumed to be as fast as
// this one.
func (t *throughput) add(items int, processes int, now time.Time) {
	t.items += items
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	passed := now.Sub(t.windowStart)
	if passed < rateWindow {
		return
	}
	sample := float64(t.items) / passed.Seconds() * float64(processes)
	if t.rate == 0 {
		t.rate = sample
	}
	t.rate += rateWeight * (sample - t.rate)
	t.items = 0
	t.windowStart = now
}
