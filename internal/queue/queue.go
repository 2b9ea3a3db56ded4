// Package queue makes online requests wait for a free slot of a service, for a short time and in an order that is fair
// between organisations.
package queue

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
)

var (
	// ErrFull means the organisation already has too many requests waiting.
	ErrFull = errors.New("queue: full")
	// ErrTimeout means no slot became free in time.
	ErrTimeout = errors.New("queue: no slot in time")
)

// Capacity limits the requests of this gateway. Limit returns the largest number of requests that it may have in flight
// at the service at once. The limit changes as other gateways take and release slots.
type Capacity interface {
	Limit(service document.ServiceName) int
}

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	Service      document.ServiceName
	Organisation document.OrganisationID
	// Weight is the organisation's weight in the fair order.
	Weight float64
	// Cost is how much the request counts against its organisation's share, in any unit common to the service.
	Cost float64
	// Wait is the longest time to wait.
	Wait time.Duration
}

// maxWaiting bounds how many requests of an organisation wait for a service at one gateway.
const maxWaiting = 2000

// headroomDivisor sets how many slots are kept for organisations below their share: 1/headroomDivisor of the limit.
const headroomDivisor = 8

// Queue holds the waiting requests of one gateway.
type Queue struct {
	capacity Capacity
	mu       sync.Mutex
	services map[document.ServiceName]*serviceQueue
}

// serviceQueue holds the waiting requests of one service and counts the slots in use.
type serviceQueue struct {
	order  *order
	shares *shares
	// waiting is the number of waiting requests.
	waiting int
	// busy is the number of requests that have a slot.
	busy int
}

// New returns an empty queue.
func New(capacity Capacity) *Queue {
	return &Queue{
		capacity: capacity,
		services: map[document.ServiceName]*serviceQueue{},
	}
}

// Enter waits until the request has a slot. The returned function releases the slot.
func (q *Queue) Enter(ctx context.Context, request SlotRequest) (func(), error) {
	q.mu.Lock()
	s := q.serviceQueue(request.Service)
	own := s.shares.touch(request.Organisation, request.Weight, time.Now())
	if s.waiting == 0 && s.mayEnter(request.Organisation, q.capacity.Limit(request.Service)) {
		s.occupy(own)
		q.mu.Unlock()
		return q.releaser(request), nil
	}
	if own.waiting >= maxWaiting {
		q.mu.Unlock()
		return nil, ErrFull
	}
	w := s.order.push(request.Organisation, request.Weight, request.Cost)
	s.waiting++
	own.waiting++
	q.grant(request.Service, s)
	q.mu.Unlock()
	return q.wait(ctx, request, w)
}

func (q *Queue) wait(ctx context.Context, request SlotRequest, w *waiter) (func(), error) {
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	var err error
	select {
	case <-w.granted:
		return q.releaser(request), nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = ErrTimeout
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.granted:
		return q.releaser(request), nil
	default:
	}
	w.abandoned = true
	q.serviceQueue(request.Service).removeWaiting(request.Organisation)
	return nil, err
}

func (q *Queue) serviceQueue(service document.ServiceName) *serviceQueue {
	found := q.services[service]
	if found == nil {
		found = &serviceQueue{
			order:  newOrder(),
			shares: newShares(),
		}
		q.services[service] = found
	}
	return found
}

func (s *serviceQueue) removeWaiting(id document.OrganisationID) {
	s.waiting--
	s.shares.byID[id].waiting--
}

func (s *serviceQueue) occupy(own *share) {
	s.busy++
	own.busy++
}

// mayEnter reports whether there is a slot for the organisation. The last slots are kept for organisations below their
// share, so that these need not wait until an organisation that floods the service releases a slot.
func (s *serviceQueue) mayEnter(id document.OrganisationID, limit int) bool {
	if s.busy >= limit {
		return false
	}
	return s.busy < limit-limit/headroomDivisor || s.shares.isBelow(id, limit)
}

func (q *Queue) releaser(request SlotRequest) func() {
	return sync.OnceFunc(func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		s := q.serviceQueue(request.Service)
		s.busy--
		s.shares.byID[request.Organisation].busy--
		q.grant(request.Service, s)
	})
}

// grant gives free slots to waiting requests in their fair order.
func (q *Queue) grant(service document.ServiceName, s *serviceQueue) {
	if s.waiting == 0 {
		return
	}
	limit := q.capacity.Limit(service)
	for s.busy < limit {
		next := s.order.pop(func(id document.OrganisationID) bool {
			return s.mayEnter(id, limit)
		})
		if next == nil {
			return
		}
		s.occupy(s.shares.byID[next.organisation])
		s.removeWaiting(next.organisation)
		close(next.granted)
	}
}

// grantPeriod is how often the queue checks whether the limit of a service has grown.
const grantPeriod = 10 * time.Millisecond

// Run grants slots periodically until ctx is done, since the limit of a service grows without an event here when other
// gateways release slots.
func (q *Queue) Run(ctx context.Context) error {
	ticker := time.NewTicker(grantPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			q.grantAll()
		}
	}
}

func (q *Queue) grantAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for service, s := range q.services {
		s.shares.expire(now)
		q.grant(service, s)
	}
}
