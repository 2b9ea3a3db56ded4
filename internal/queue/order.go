package queue

import (
	"container/heap"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/turn"
)

// waiter is a request that waits for a slot.
type waiter struct {
	organisation document.OrganisationID
	// start is the virtual start time, sequence the order of arrival.
	start    turn.Time
	sequence int64
	// granted is closed when the waiter gets a slot.
	granted chan struct{}
	// abandoned reports whether the request no longer waits. Its waiter stays in the heap until pop removes it.
	abandoned bool
}

// order is the order in which waiters get slots: start-time fair queueing between organisations, first come first
// served within one.
type order struct {
	waiters  waiterHeap
	clock    *turn.Clock
	sequence int64
}

func newOrder() *order {
	return &order{
		clock: turn.NewClock(),
	}
}

// push adds a waiter for a request of the given cost.
func (o *order) push(id document.OrganisationID, weight, cost float64) *waiter {
	start := o.clock.Charge(turn.ID(id), turn.Time(cost/weight))
	o.sequence++
	added := &waiter{
		organisation: id,
		start:        start,
		sequence:     o.sequence,
		granted:      make(chan struct{}),
	}
	heap.Push(&o.waiters, added)
	return added
}

// maxSkipped bounds how many waiters are skipped, because their organisation may not take another slot yet, in search of
// one that can be granted a slot.
const maxSkipped = 64

// pop returns the next waiter whose organisation may take a slot, or nil if it finds none within maxSkipped.
func (o *order) pop(mayEnter func(id document.OrganisationID) bool) *waiter {
	var skipped []*waiter
	var found *waiter
	for found == nil && len(o.waiters) > 0 && len(skipped) < maxSkipped {
		next := heap.Pop(&o.waiters).(*waiter)
		switch {
		case next.abandoned:
		case mayEnter(next.organisation):
			o.clock.Advance(next.start)
			found = next
		default:
			skipped = append(skipped, next)
		}
	}
	for _, w := range skipped {
		heap.Push(&o.waiters, w)
	}
	if found == nil && len(o.waiters) == 0 {
		// With no request waiting, no organisation is ahead of another.
		o.clock.Reset()
	}
	return found
}

// waiterHeap is a heap ordered by virtual start time, then by arrival.
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

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	*h = append(*h, x.(*waiter))
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
