package queue

import (
	"container/heap"

	"rhubarbrudder/internal/document"
)

// waiter is a request that waits for a slot.
type waiter struct {
	organisation document.OrganisationID
	start        float64
	sequence     int64
	turn         chan struct{}
	gone         bool
}

// order is the order in which waiters get slots: start-time fair queueing between organisations, first come first
// served within one.
type order struct {
	waiters  waiterHeap
	finish   map[document.OrganisationID]float64
	virtual  float64
	sequence int64
}

func newOrder() *order {
	return &order{
		finish: map[document.OrganisationID]float64{},
	}
}

// push lets a request of the cost wait.
func (o *order) push(id document.OrganisationID, weight, cost float64) *waiter {
	start := max(o.virtual, o.finish[id])
	o.finish[id] = start + cost/weight
	o.sequence++
	added := &waiter{
		organisation: id,
		start:        start,
		sequence:     o.sequence,
		turn:         make(chan struct{}),
	}
	heap.Push(&o.waiters, added)
	return added
}

// mostPassed bounds how many waiters whose organisation has to wait are passed over to find another.
const mostPassed = 64

// pop returns the next waiter whose organisation may enter, or nil.
func (o *order) pop(mayEnter func(id document.OrganisationID) bool) *waiter {
	var passed []*waiter
	var found *waiter
	for found == nil && len(o.waiters) > 0 && len(passed) < mostPassed {
		next := heap.Pop(&o.waiters).(*waiter)
		switch {
		case next.gone:
		case mayEnter(next.organisation):
			o.virtual = next.start
			found = next
		default:
			passed = append(passed, next)
		}
	}
	for _, waiting := range passed {
		heap.Push(&o.waiters, waiting)
	}
	if found == nil && len(o.waiters) == 0 {
		// With nobody waiting, nobody is ahead of anybody.
		clear(o.finish)
	}
	return found
}

// waiterHeap is a heap by virtual start time, then arrival.
type waiterHeap []*waiter

func (h waiterHeap) Len() int {
	return len(h)
}

func (h waiterHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].sequence < h[j].sequence
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
}

// Push is heap.Interface's.
func (h *waiterHeap) Push(x any) {
	*h = append(*h, x.(*waiter))
}

// Pop is heap.Interface's.
func (h *waiterHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
