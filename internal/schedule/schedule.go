// Package schedule decides which job's lot is claimed next.
//
// Organisations share by weighted fair queueing; within an organisation the job with the least slack goes first.
// A job that would be late is escalated past the shares, but never with two turns in a row, so that no organisation
// starves.
package schedule

import (
	"container/heap"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/job"
)

// Job is what decides a job's turn.
type Job struct {
	ID           job.ID
	Organisation document.OrganisationID
	Due          time.Time
	// Remaining is how long the unfinished items take at the measured rate, with a margin.
	Remaining time.Duration
}

// LatestStart is when the job must get everything to be done in time.
func (j Job) LatestStart() time.Time {
	return j.Due.Add(-j.Remaining)
}

// Reason says why a job has its turn.
type Reason string

const (
	// ReasonShare is for the organisation that is furthest behind its share.
	ReasonShare Reason = "Share"
	// ReasonRisk is for a job that would be late otherwise.
	ReasonRisk Reason = "Risk"
)

// Turn is a decision.
type Turn struct {
	Job    Job
	Reason Reason
}

// Weights returns an organisation's weight, above zero.
type Weights func(id document.OrganisationID) float64

// Schedule holds the jobs that may have a turn.
type Schedule struct {
	weights   Weights
	jobs      map[job.ID]*entry
	shares    map[document.OrganisationID]*share
	queue     shareHeap
	urgent    entryHeap
	clock     float64
	escalated bool
}

// New returns a schedule without jobs.
func New(weights Weights) *Schedule {
	return &Schedule{
		weights: weights,
		jobs:    map[job.ID]*entry{},
		shares:  map[document.OrganisationID]*share{},
		urgent: entryHeap{
			place: func(e *entry) *int { return &e.inUrgent },
		},
	}
}

// entry is a job in its organisation's heap and in the heap of all.
type entry struct {
	job      Job
	inShare  int
	inUrgent int
}

// share is an organisation with jobs, and how much it was served, by weight.
type share struct {
	id     document.OrganisationID
	served float64
	jobs   entryHeap
	place  int
}

// Put adds a job or replaces what is known of it.
func (s *Schedule) Put(j Job) {
	if known := s.jobs[j.ID]; known != nil && known.job.Organisation == j.Organisation {
		known.job = j
		heap.Fix(&s.shares[j.Organisation].jobs, known.inShare)
		heap.Fix(&s.urgent, known.inUrgent)
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

// share returns an organisation's share; one that was idle begins level with the others and has saved up nothing.
func (s *Schedule) share(id document.OrganisationID) *share {
	found := s.shares[id]
	if found == nil {
		found = &share{
			id: id,
			jobs: entryHeap{
				place: func(e *entry) *int { return &e.inShare },
			},
		}
		s.shares[id] = found
	}
	if len(found.jobs.entries) == 0 {
		found.served = max(found.served, s.clock)
		heap.Push(&s.queue, found)
	}
	return found
}

// Remove drops a job.
func (s *Schedule) Remove(id job.ID) {
	known := s.jobs[id]
	if known == nil {
		return
	}
	delete(s.jobs, id)
	heap.Remove(&s.urgent, known.inUrgent)
	of := s.shares[known.job.Organisation]
	heap.Remove(&of.jobs, known.inShare)
	if len(of.jobs.entries) == 0 {
		heap.Remove(&s.queue, of.place)
	}
}

// Next returns the turn, or false without jobs. It changes nothing.
func (s *Schedule) Next(now time.Time) (Turn, bool) {
	if len(s.queue) == 0 {
		return Turn{}, false
	}
	if first := s.urgent.entries[0].job; !s.escalated && !first.LatestStart().After(now) {
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

// Charge charges the job's organisation with the items of a lot that was claimed in its turn.
func (s *Schedule) Charge(turn Turn, items int) {
	s.escalated = turn.Reason == ReasonRisk
	of := s.shares[turn.Job.Organisation]
	if of == nil {
		return
	}
	if turn.Reason == ReasonShare {
		s.clock = max(s.clock, of.served)
	}
	of.served += float64(items) / s.weights(of.id)
	if len(of.jobs.entries) > 0 {
		heap.Fix(&s.queue, of.place)
	}
}

// Len returns how many jobs there are.
func (s *Schedule) Len() int {
	return len(s.jobs)
}

// entryHeap orders jobs by their latest start.
type entryHeap struct {
	entries []*entry
	place   func(e *entry) *int
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
	*h.place(h.entries[a]) = a
	*h.place(h.entries[b]) = b
}

func (h *entryHeap) Push(x any) {
	added := x.(*entry)
	*h.place(added) = len(h.entries)
	h.entries = append(h.entries, added)
}

func (h *entryHeap) Pop() any {
	last := h.entries[len(h.entries)-1]
	h.entries = h.entries[:len(h.entries)-1]
	return last
}

// shareHeap orders organisations by what they were served.
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
	h[a].place = a
	h[b].place = b
}

func (h *shareHeap) Push(x any) {
	added := x.(*share)
	added.place = len(*h)
	*h = append(*h, added)
}

func (h *shareHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
