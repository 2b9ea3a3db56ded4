package dispatcher

import (
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/schedule"
)

// board is what this process knows of the active jobs, and in which order they have their turn.
type board struct {
	order *schedule.Schedule
	jobs  map[job.ID]*jobState
	rates map[document.ServiceName]*throughput
}

// jobState is what is known of one job.
type jobState struct {
	row job.ActiveRow
	// queue holds the lots that this process may claim, as they were listed.
	queue  []job.LotRow
	listed time.Time
	// left is how many items are unfinished, as listed.
	left   int
	atRisk bool
}

func newBoard(weights schedule.Weights) *board {
	return &board{
		order: schedule.New(weights),
		jobs:  map[job.ID]*jobState{},
		rates: map[document.ServiceName]*throughput{},
	}
}

// update takes the active jobs over. A job without lots to claim has no turn until it may be listed again.
func (b *board) update(active []job.ActiveRow, now time.Time, relist time.Duration) {
	live := make(map[job.ID]bool, len(active))
	for _, row := range active {
		live[row.Job] = true
		state := b.jobs[row.Job]
		if state == nil {
			state = &jobState{
				left: row.Items,
			}
			b.jobs[row.Job] = state
		}
		state.row = row
		if row.Cancelled || len(state.queue) == 0 && now.Sub(state.listed) < relist {
			b.order.Remove(row.Job)
			continue
		}
		b.order.Put(b.scheduled(state))
	}
	for id := range b.jobs {
		if !live[id] {
			delete(b.jobs, id)
			b.order.Remove(id)
		}
	}
}

// needsMargin is by how much a job is assumed to need longer than its rate says.
const needsMargin = 1.5

func (b *board) scheduled(state *jobState) schedule.Job {
	needs := time.Duration(0)
	if rate := b.rates[state.row.Service].perSecond(); rate > 0 {
		needs = time.Duration(needsMargin * float64(state.left) / rate * float64(time.Second))
	}
	return schedule.Job{
		ID:           state.row.Job,
		Organisation: state.row.Organisation,
		Due:          state.row.Due,
		Remaining:    needs,
	}
}

// throughput estimates the fleet's items a second for a service from this process's own.
type throughput struct {
	since time.Time
	items int
	rate  float64
}

const (
	// rateWindow is how long items are counted for one sample.
	rateWindow = 5 * time.Second
	// rateWeight is the weight of the latest sample.
	rateWeight = 0.3
)

func (t *throughput) perSecond() float64 {
	if t == nil {
		return 0
	}
	return t.rate
}

// add counts finished items; the fleet is so many processes like this one.
func (t *throughput) add(items int, processes int, now time.Time) {
	t.items += items
	if t.since.IsZero() {
		t.since = now
	}
	passed := now.Sub(t.since)
	if passed < rateWindow {
		return
	}
	sample := float64(t.items) / passed.Seconds() * float64(processes)
	if t.rate == 0 {
		t.rate = sample
	}
	t.rate += rateWeight * (sample - t.rate)
	t.items = 0
	t.since = now
}
