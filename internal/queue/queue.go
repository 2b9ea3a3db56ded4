// Package queue lets online requests wait, briefly and fairly between organisations, for slots of a service.
package queue

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
)

var (
	// ErrFull means the organisation has too many requests waiting already.
	ErrFull = errors.New("queue: full")
	// ErrTimeout means no slot came free in time.
	ErrTimeout = errors.New("queue: no slot in time")
)

// Capacity tells how many requests of this process a service has room for, those it already has there included.
type Capacity interface {
	Room(service document.ServiceName) int
}

// Request is what a request needs to wait for a slot.
type Request struct {
	Service      document.ServiceName
	Organisation document.OrganisationID
	Weight       float64
	// Cost is how much the request counts against its organisation's share, in any unit common to the service.
	Cost float64
	// Wait is the longest time to wait.
	Wait time.Duration
}

// mostWaiting bounds how many requests of an organisation wait for a service at one gateway.
const mostWaiting = 2000

// headroom is the part of the room, one in so many slots, that is kept for organisations below their share.
const headroom = 8

// Queue holds the waiting requests of one gateway.
type Queue struct {
	capacity Capacity
	mu       sync.Mutex
	lines    map[document.ServiceName]*line
}

// line is the waiting requests of one service.
type line struct {
	order  *order
	shares *shares
	total  int
	busy   int
}

// New returns an empty queue.
func New(capacity Capacity) *Queue {
	return &Queue{
		capacity: capacity,
		lines:    map[document.ServiceName]*line{},
	}
}

// Enter returns once the request has a slot; the returned function gives it back.
func (q *Queue) Enter(ctx context.Context, place Request) (func(), error) {
	q.mu.Lock()
	l := q.line(place.Service)
	own := l.shares.of(place.Organisation, place.Weight, time.Now())
	if l.total == 0 && l.mayEnter(place.Organisation, q.capacity.Room(place.Service)) {
		l.enter(own)
		q.mu.Unlock()
		return q.leaver(place), nil
	}
	if own.waiting >= mostWaiting {
		q.mu.Unlock()
		return nil, ErrFull
	}
	waiting := l.order.push(place.Organisation, place.Weight, place.Cost)
	l.total++
	own.waiting++
	q.grant(place.Service, l)
	q.mu.Unlock()
	return q.wait(ctx, place, waiting)
}

func (q *Queue) wait(ctx context.Context, place Request, waiting *waiter) (func(), error) {
	timer := time.NewTimer(place.Wait)
	defer timer.Stop()
	var err error
	select {
	case <-waiting.turn:
		return q.leaver(place), nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = ErrTimeout
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-waiting.turn:
		return q.leaver(place), nil
	default:
	}
	waiting.gone = true
	q.line(place.Service).left(place.Organisation)
	return nil, err
}

func (q *Queue) line(service document.ServiceName) *line {
	found := q.lines[service]
	if found == nil {
		found = &line{
			order:  newOrder(),
			shares: newShares(),
		}
		q.lines[service] = found
	}
	return found
}

func (l *line) left(id document.OrganisationID) {
	l.total--
	l.shares.byID[id].waiting--
}

func (l *line) enter(own *share) {
	l.busy++
	own.busy++
}

// mayEnter reports whether there is a slot for the organisation. The last slots are for those below their share, so that
// they need not wait until one that floods the service gives a slot back.
func (l *line) mayEnter(id document.OrganisationID, room int) bool {
	if l.busy >= room {
		return false
	}
	return l.busy < room-room/headroom || l.shares.below(id, room)
}

func (q *Queue) leaver(place Request) func() {
	return sync.OnceFunc(func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		l := q.line(place.Service)
		l.busy--
		l.shares.byID[place.Organisation].busy--
		q.grant(place.Service, l)
	})
}

// grant gives free slots to those whose turn it is.
func (q *Queue) grant(service document.ServiceName, l *line) {
	if l.total == 0 {
		return
	}
	room := q.capacity.Room(service)
	for l.busy < room {
		next := l.order.pop(func(id document.OrganisationID) bool {
			return l.mayEnter(id, room)
		})
		if next == nil {
			return
		}
		l.enter(l.shares.byID[next.organisation])
		l.left(next.organisation)
		close(next.turn)
	}
}

// lookPeriod is how often the queue looks whether peers have left room.
const lookPeriod = 10 * time.Millisecond

// Run grants slots that come free elsewhere until ctx ends.
func (q *Queue) Run(ctx context.Context) error {
	ticker := time.NewTicker(lookPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			q.look()
		}
	}
}

func (q *Queue) look() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for service, l := range q.lines {
		l.shares.forget(now)
		q.grant(service, l)
	}
}
