package tablestore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rate is a number of operations a second.
type Rate float64

// Budget is a process's share of what the platform serves; a short budget goes to lower classes first.
type Budget struct {
	mu      sync.Mutex
	reads   *rate.Limiter
	writes  *rate.Limiter
	waiting [ClassCount]int
	turn    chan struct{}
}

// burstSeconds is how much unused budget may be saved up.
const burstSeconds = 2

// NewBudget returns a budget of the given rates.
func NewBudget(writes, reads Rate) *Budget {
	return &Budget{
		reads:  rate.NewLimiter(rate.Limit(reads), max(1, int(reads*burstSeconds))),
		writes: rate.NewLimiter(rate.Limit(writes), max(MaxWrites, int(writes*burstSeconds))),
		turn:   make(chan struct{}),
	}
}

// SetRates changes the share, as when the fleet grows.
func (b *Budget) SetRates(writes, reads Rate) {
	b.writes.SetLimit(rate.Limit(writes))
	b.reads.SetLimit(rate.Limit(reads))
}

func (b *Budget) waitRead(ctx context.Context) error {
	if b == nil {
		return nil
	}
	if err := b.reads.Wait(ctx); err != nil {
		return ErrUnavailable
	}
	return nil
}

// waitWrite waits until no lower class waits and the rate allows the writes. What waits holds no reservation,
// so that a renewal that comes later still goes before a report that waits already.
func (b *Budget) waitWrite(ctx context.Context, txn Txn) error {
	if b == nil {
		return nil
	}
	b.enter(txn.Class)
	defer b.leave(txn.Class)
	for {
		turn, yield := b.mustYield(txn.Class)
		var after <-chan time.Time
		if !yield {
			delay := b.take(len(txn.Writes))
			if delay == 0 {
				return nil
			}
			if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay {
				return ErrUnavailable
			}
			after = time.After(delay)
		}
		select {
		case <-ctx.Done():
			return ErrUnavailable
		case <-turn:
		case <-after:
		}
	}
}

// take takes the writes from the budget, or returns how long it takes until they are there.
func (b *Budget) take(writes int) time.Duration {
	reservation := b.writes.ReserveN(time.Now(), writes)
	delay := reservation.Delay()
	if delay > 0 {
		reservation.Cancel()
	}
	return delay
}

func (b *Budget) enter(class Class) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[class]++
}

func (b *Budget) leave(class Class) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[class]--
	close(b.turn)
	b.turn = make(chan struct{})
}

// mustYield reports whether a lower class waits, and a channel that is closed when that may have changed.
func (b *Budget) mustYield(class Class) (<-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for lower := range class {
		if b.waiting[lower] > 0 {
			return b.turn, true
		}
	}
	return b.turn, false
}
