package endpoint

import (
	"sync"
	"time"

	"rhubarbrudder/internal/request"
)

// Tracker counts a process's own requests in flight at each endpoint and notes endpoints that fail.
type Tracker struct {
	mu     sync.Mutex
	states map[ID]*trackState
}

type trackState struct {
	online   int
	batch    int
	failures int
	bad      time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		states: map[ID]*trackState{},
	}
}

func (t *Tracker) state(id ID) *trackState {
	state := t.states[id]
	if state == nil {
		state = &trackState{}
		t.states[id] = state
	}
	return state
}

// Start counts a request in and returns a function that counts it out.
func (t *Tracker) Start(id ID, class request.Class) func() {
	t.add(id, class, 1)
	return sync.OnceFunc(func() {
		t.add(id, class, -1)
	})
}

func (t *Tracker) add(id ID, class request.Class, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if class == request.ClassBatch {
		t.state(id).batch += n
		return
	}
	t.state(id).online += n
}

// InFlight returns the process's own requests at an endpoint.
func (t *Tracker) InFlight(id ID) (online, batch int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	return state.online, state.batch
}

const (
	firstEjection = 500 * time.Millisecond
	mostEjection  = 30 * time.Second
)

// Failed notes a failure; an endpoint that fails again and again is left out for longer.
func (t *Tracker) Failed(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	ejection := min(mostEjection, firstEjection<<min(state.failures, 6))
	state.failures++
	state.bad = time.Now().Add(ejection)
}

// Succeeded notes a success.
func (t *Tracker) Succeeded(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id).failures = 0
}

// Ejected reports whether an endpoint is left out for now.
func (t *Tracker) Ejected(id ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(id).bad.After(time.Now())
}
