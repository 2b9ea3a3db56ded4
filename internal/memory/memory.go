// Package memory counts the memory that a VM holds for callers and endpoints, and decides whether it takes new work. Without
// such a bound, callers that send or read slowly would exhaust the VM's memory, beyond which its process is killed.
package memory

import (
	"log/slog"
	"sync"
	"time"
)

// Bytes is an amount of memory.
type Bytes int64

// Holder names the caller for which memory is held: an organisation, or a connection. An empty one stands for no particular
// caller.
type Holder string

const (
	// RuntimeShare is the share of the VM's memory that is set as the runtime's soft limit, near which the garbage collector
	// runs more often.
	RuntimeShare = 0.7
	// processBytes is what the process needs for itself. With 82 VMs its peak was 14 MB, with 300 VMs that of most was 15 MB.
	processBytes = 24 << 20
	// garbageFactor is the size of the heap relative to what is in use, with the percentage that the process sets for the
	// garbage collector.
	garbageFactor = 1.5
	// minShare is the part of the VM's memory to which the bound is raised on a VM that has less than the process needs.
	minShare = 1.0 / 8
)

const (
	// holderPart is the part of the bound that one caller may use while more than scarcePart is held in all.
	holderPart = 1.0 / 4
	scarcePart = 1.0 / 2
	// aheadPart is the part of the bound that may be used for answers read ahead for slow callers. They are reserved only while
	// less than resumePart is held, so that they do not make the VM refuse new work.
	aheadPart  = 1.0 / 3
	resumePart = 7.0 / 8
	// refusingTime is how long the VM remains not ready at least after it has refused new work, so that the state does not
	// change with each request.
	refusingTime = time.Second
)

// BoundOf returns the bound for a VM with so much memory: what is left of the runtime's limit for use after garbage and the
// process itself.
func BoundOf(vm Bytes) Bytes {
	bound := (RuntimeShare*float64(vm) - processBytes) / garbageFactor
	return Bytes(max(bound, minShare*float64(vm)))
}

// Budget counts the memory held. It is safe for concurrent use.
type Budget struct {
	bound Bytes
	clock func() time.Time
	log   *slog.Logger

	mu      sync.Mutex
	held    Bytes
	ahead   Bytes
	holders map[Holder]Bytes
	// refusing is set from the first refusal for lack of memory until there is enough again; refused is when the latest was.
	refusing bool
	refused  time.Time
}

// New returns a budget of which nothing is used.
func New(bound Bytes, clock func() time.Time, log *slog.Logger) *Budget {
	return &Budget{
		bound:   bound,
		clock:   clock,
		log:     log,
		holders: map[Holder]Bytes{},
	}
}

// Bound returns the number of bytes beyond which new work is refused.
func (b *Budget) Bound() Bytes {
	return b.bound
}

// Held returns the number of bytes held.
func (b *Budget) Held() Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Refusing reports whether the VM has refused new work and does not have enough memory for more yet.
func (b *Budget) Refusing() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update()
	return b.refusing
}

// Account opens an account for memory that is held for the holder. A nil budget returns a nil account, which permits
// everything.
func (b *Budget) Account(holder Holder) *Account {
	if b == nil {
		return nil
	}
	return &Account{
		budget: b,
		holder: holder,
	}
}

// isOverPart reports whether a holder that uses n bytes more has too large a part of the bound. The lock must be held.
func (b *Budget) isOverPart(holder Holder, n Bytes) bool {
	return holder != "" && b.exceeds(b.held+n, scarcePart) && b.exceeds(b.holders[holder]+n, holderPart)
}

// exceeds reports whether an amount is more than a part of the bound.
func (b *Budget) exceeds(n Bytes, part float64) bool {
	return float64(n) > part*float64(b.bound)
}

// add changes what a holder uses. The lock must be held.
func (b *Budget) add(holder Holder, n Bytes) {
	b.held += n
	if holder == "" {
		return
	}
	b.holders[holder] += n
	if b.holders[holder] == 0 {
		delete(b.holders, holder)
	}
}

// refuse records a refusal for lack of memory. The lock must be held.
func (b *Budget) refuse(n Bytes) {
	b.refused = b.clock()
	if b.refusing {
		return
	}
	b.refusing = true
	b.log.Warn("memory bound reached, refusing new work", "held", b.held, "asked", n, "read_ahead", b.ahead, "bound", b.bound)
}

// update ends the refusal of new work if there is enough memory again. The lock must be held.
func (b *Budget) update() {
	if !b.refusing || b.exceeds(b.held, resumePart) || b.clock().Sub(b.refused) < refusingTime {
		return
	}
	b.refusing = false
	b.log.Info("memory below its bound, taking new work", "held", b.held, "bound", b.bound)
}
