package tablestore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rate is a number of operations per second.
type Rate float64

// Budget is a process's share of the rates at which the fleet may use the platform. When the budget for writes is
// short, transactions of classes with smaller numbers, the more urgent ones, go first. A nil Budget sets no limit.
type Budget struct {
	mu     sync.Mutex
	reads  *rate.Limiter
	writes *rate.Limiter
	// waiting counts the waiting transactions of each class.
	waiting [ClassCount]int
	// changed is closed and replaced whenever a transaction stops waiting.
	changed chan struct{}
}

// burstSeconds is the time for which unused budget accumulates.
const burstSeconds = 2

// NewBudget returns a budget with the given rates.
func NewBudget(writes, reads Rate) *Budget {
	return &Budget{
		reads:   rate.NewLimiter(rate.Limit(reads), max(1, int(reads*burstSeconds))),
		writes:  rate.NewLimiter(rate.Limit(writes), max(MaxWrites, int(writes*burstSeconds))),
		changed: make(chan struct{}),
	}
}

// SetRates changes the rates, for example when the fleet grows.
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

// waitWrite waits until no transaction of a more urgent class is waiting and the rate allows the writes. A waiting
// transaction reserves nothing, so that a more urgent transaction that arrives later, such as the renewal of a session,
// still goes first.
func (b *Budget) waitWrite(ctx context.Context, txn Txn) error {
	if b == nil {
		return nil
	}
	b.enter(txn.Class)
	defer b.leave(txn.Class)
	for {
		changed, mustYield := b.mustYield(txn.Class)
		var ready <-chan time.Time
		if !mustYield {
			delay := b.tryTake(len(txn.Writes))
			if delay == 0 {
				return nil
			}
			if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay {
				return ErrUnavailable
			}
			ready = time.After(delay)
		}
		select {
		case <-ctx.Done():
			return ErrUnavailable
		case <-changed:
		case <-ready:
		}
	}
}

// tryTake takes the writes from the budget and returns zero, or takes none and returns how long it will be until the
// budget suffices.
func (b *Budget) tryTake(writes int) time.Duration {
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
	close(b.changed)
	b.changed = make(chan struct{})
}

// mustYield returns a channel that is closed when its other result may have changed, and whether a transaction of a more
// urgent class is waiting.
func (b *Budget) mustYield(class Class) (<-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for moreUrgent := range class {
		if b.waiting[moreUrgent] > 0 {
			return b.changed, true
		}
	}
	return b.changed, false
}
