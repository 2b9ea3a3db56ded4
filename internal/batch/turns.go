package batch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// turns bounds how much is done at once. What waits gets its turn by due time.
type turns struct {
	mu      sync.Mutex
	free    int
	waiting []*turn
}

// turn is a wait for a turn.
type turn struct {
	due     time.Time
	granted chan struct{}
}

func newTurns(atOnce int) *turns {
	return &turns{
		free: atOnce,
	}
}

// acquire waits for a turn, until ctx ends. Each turn must be released.
func (t *turns) acquire(ctx context.Context, due time.Time) error {
	w := t.enqueue(due)
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := slices.Index(t.waiting, w); n >= 0 {
		t.waiting = slices.Delete(t.waiting, n, n+1)
		return ctx.Err()
	}
	// The turn was granted meanwhile.
	return nil
}

// enqueue returns a wait whose turn is granted already if there is a free one.
func (t *turns) enqueue(due time.Time) *turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &turn{
		due:     due,
		granted: make(chan struct{}),
	}
	if t.free > 0 {
		t.free--
		close(w.granted)
		return w
	}
	n, _ := slices.BinarySearchFunc(t.waiting, w, func(a, b *turn) int {
		// Those that are due at the same time keep their order.
		return cmp.Or(a.due.Compare(b.due), -1)
	})
	t.waiting = slices.Insert(t.waiting, n, w)
	return w
}

// release ends a turn, and grants the next.
func (t *turns) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.free++
		return
	}
	close(t.waiting[0].granted)
	t.waiting = slices.Delete(t.waiting, 0, 1)
}

// length returns how many wait.
func (t *turns) length() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting)
}
