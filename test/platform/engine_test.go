package platform

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// engineStandin plays a model engine: it runs a few requests at once, the others wait, and sends a stream of numbered
// events whose data depend on the request alone.
type engineStandin struct {
	id     string
	events int
	pause  time.Duration
	slots  chan struct{}

	mu sync.Mutex
	// arrivals and runs count by request, lastArrival is when the latest request came.
	arrivals    map[string]int
	runs        map[string]int
	lastArrival time.Time
	running     int
	most        int
	// breakAt makes a stream break off inside the event with that number, once; zero does not. Engines may share it.
	breakAt *atomic.Int64
	// shed makes the engine turn requests away.
	shed bool
	// impossible lists items that can never be done.
	impossible map[string]bool
	// aborted counts requests whose connection closed while they ran.
	aborted int
}

func newEngineStandin(id string, slots, events int, pause time.Duration) *engineStandin {
	return &engineStandin{
		id:         id,
		events:     events,
		pause:      pause,
		slots:      make(chan struct{}, slots),
		arrivals:   map[string]int{},
		runs:       map[string]int{},
		impossible: map[string]bool{},
		breakAt:    &atomic.Int64{},
	}
}

// set changes the engine under its lock.
func (e *engineStandin) set(change func(e *engineStandin)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func (e *engineStandin) get(read func(e *engineStandin) int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return read(e)
}

// signature marks an engine's answers.
const signature = "X-Response-Signature"

// eventData is the data of an event of a request.
func eventData(id string, n int) string {
	return fmt.Sprintf("%s-%d", id, n)
}

func (e *engineStandin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	e.mu.Lock()
	e.arrivals[id]++
	e.lastArrival = time.Now()
	shed, impossible := e.shed, e.impossible[id]
	e.mu.Unlock()
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set(signature, e.id+"/"+id)
	w.Header().Set("X-Instance-Id", e.id)
	switch {
	case r.Header.Get("X-Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case shed:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	e.set(func(e *engineStandin) {
		e.runs[id]++
		e.running++
		e.most = max(e.most, e.running)
	})
	defer e.set(func(e *engineStandin) { e.running-- })
	if impossible {
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	e.stream(w, r, id)
}

func (e *engineStandin) stream(w http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := after + 1; n <= e.events; n++ {
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			e.set(func(e *engineStandin) { e.aborted++ })
			return
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(id, n))
		if e.breakAt.CompareAndSwap(int64(n), 0) {
			_, _ = w.Write([]byte(event[:len(event)/2]))
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(event))
		_ = control.Flush()
	}
}
