// Package schedule decides from which batch job a process claims the next lot. A lot is a part of a job's items that a
// process claims at a time.
//
// Organisations share by weighted fair queueing; within an organisation the job with the least slack goes first. A job
// that would miss its deadline is preferred regardless of the shares, but never for two turns in a row, so that no
// organisation starves.
package schedule

import (
	"container/heap"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/job"
)

// Job holds the properties of a job that the schedule depends on.
type Job struct {
	ID           job.ID
	Organisation document.OrganisationID
	Due          time.Time
	// Remaining is the time that the unfinished items take at the measured rate, with a margin.
	Remaining time.Duration
}

// LatestStart returns the time from which the job needs all capacity to be done in time.
func (j Job) LatestStart() time.Time {
	return j.Due.Add(-j.Remaining)
}

// Reason is why a job was chosen.
type Reason string

const (
	// ReasonShare means that the job is of the organisation that is furthest behind its share.
	ReasonShare Reason = "Share"
	// ReasonRisk means that the job would miss its deadline otherwise.
	ReasonRisk Reason = "Risk"
)

// Turn is the choice of a job and the reason for it.
type Turn struct {
	Job    Job
	Reason Reason
}

// WeightFunc returns an organisation's weight, which is above zero.
type WeightFunc func(id document.OrganisationID) float64

// Schedule holds the jobs that lots can be claimed from.
type Schedule struct {
	weightOf WeightFunc
	jobs     map[job.ID]*entry
	shares   map[document.OrganisationID]*share
	// queue holds the organisations with jobs, urgent all jobs by their latest start.
	queue  shareHeap
	urgent entryHeap
	// virtualTime is the largest virtual time at which an organisation got a turn by its share.
	virtualTime float64
	// lastWasRisk reports whether the last turn charged had ReasonRisk.
	lastWasRisk bool
}

// New returns a schedule without jobs.
func New(weightOf WeightFunc) *Schedule {
	return &Schedule{
		weightOf: weightOf,
		jobs:     map[job.ID]*entry{},
		shares:   map[document.OrganisationID]*share{},
		urgent: entryHeap{
			index: func(e *entry) *int { return &e.urgentIndex },
		},
	}
}

// entry is a job with its indexes in its organisation's heap and in the heap of all jobs.
type entry struct {
	job         Job
	shareIndex  int
	urgentIndex int
}

// share is an organisation with its jobs.
type share struct {
	id document.OrganisationID
	// served is the organisation's virtual time: the number of items that it was charged with, divided by its weight. It
	// is raised to the schedule's virtual time when the organisation gets a job after it had none.
	served float64
	jobs   entryHeap
	index  int
}

// Put adds a job or updates it.
func (s *Schedule) Put(j Job) {
	if known := s.jobs[j.ID]; known != nil && known.job.Organisation == j.Organisation {
		known.job = j
		heap.Fix(&s.shares[j.Organisation].jobs, known.shareIndex)
		heap.Fix(&s.urgent, known.urgentIndex)
		return
	}
	s.Remove(j.ID)
	added := &entry{
		job: j,
	}
	s.jobs[j.ID] = added
	heap.Push(&s.urgent, added)
	heap.Push(&s.share(j.Organisation).jobs, added)
}

// share returns an organisation's share. One that was idle starts at the current virtual time, so that it gets no
// credit for the time in which it was idle.
func (s *Schedule) share(id document.OrganisationID) *share {
	found := s.shares[id]
	if found == nil {
		found = &share{
			id: id,
			jobs: entryHeap{
				index: func(e *entry) *int { return &e.shareIndex },
			},
		}
		s.shares[id] = found
	}
	if len(found.jobs.entries) == 0 {
		found.served = max(found.served, s.virtualTime)
		heap.Push(&s.queue, found)
	}
	return found
}

// Remove removes a job.
func (s *Schedule) Remove(id job.ID) {
	known := s.jobs[id]
	if known == nil {
		return
	}
	delete(s.jobs, id)
	heap.Remove(&s.urgent, known.urgentIndex)
	owner := s.shares[known.job.Organisation]
	heap.Remove(&owner.jobs, known.shareIndex)
	if len(owner.jobs.entries) == 0 {
		heap.Remove(&s.queue, owner.index)
	}
}

// Next returns the job to claim from next, or false if there are no jobs. It does not change the schedule.
func (s *Schedule) Next(now time.Time) (Turn, bool) {
	if len(s.queue) == 0 {
		return Turn{}, false
	}
	if first := s.urgent.entries[0].job; !s.lastWasRisk && !first.LatestStart().After(now) {
		return Turn{
			Job:    first,
			Reason: ReasonRisk,
		}, true
	}
	return Turn{
		Job:    s.queue[0].jobs.entries[0].job,
		Reason: ReasonShare,
	}, true
}

// Charge charges the organisation of the chosen job with the items of a lot that was claimed from it.
func (s *Schedule) Charge(turn Turn, items int) {
	s.lastWasRisk = turn.Reason == ReasonRisk
	owner := s.shares[turn.Job.Organisation]
	if owner == nil {
		return
	}
	if turn.Reason == ReasonShare {
		s.virtualTime = max(s.virtualTime, owner.served)
	}
	owner.served += float64(items) / s.weightOf(owner.id)
	if len(owner.jobs.entries) > 0 {
		heap.Fix(&s.queue, owner.index)
	}
}

// Len returns the number of jobs.
func (s *Schedule) Len() int {
	return len(s.jobs)
}

// entryHeap orders jobs by their latest start.
type entryHeap struct {
	entries []*entry
	index   func(e *entry) *int
}

func (h *entryHeap) Len() int { return len(h.entries) }

func (h *entryHeap) Less(a, b int) bool {
	return before(h.entries[a].job, h.entries[b].job)
}

// before orders jobs by their latest start, and by their ids if that is the same.
func before(a, b Job) bool {
	if first, second := a.LatestStart(), b.LatestStart(); !first.Equal(second) {
		return first.Before(second)
	}
	return a.ID < b.ID
}

func (h *entryHeap) Swap(a, b int) {
	h.entries[a], h.entries[b] = h.entries[b], h.entries[a]
	*h.index(h.entries[a]) = a
	*h.index(h.entries[b]) = b
}

func (h *entryHeap) Push(x any) {
	added := x.(*entry)
	*h.index(added) = len(h.entries)
	h.entries = append(h.entries, added)
}

func (h *entryHeap) Pop() any {
	last := h.entries[len(h.entries)-1]
	h.entries = h.entries[:len(h.entries)-1]
	return last
}

// shareHeap orders organisations by their virtual time.
type shareHeap []*share

func (h shareHeap) Len() int { return len(h) }

func (h shareHeap) Less(a, b int) bool {
	if h[a].served != h[b].served {
		return h[a].served < h[b].served
	}
	return h[a].id < h[b].id
}

func (h shareHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index = a
	h[b].index = b
}

func (h *shareHeap) Push(x any) {
	added := x.(*share)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *shareHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
