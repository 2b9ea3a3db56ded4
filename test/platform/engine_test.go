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
	// failing makes the engine answer with a failure, and hanging with nothing; slow times longer lasts an event.
	failing bool
	hanging bool
	slow    int
	// began is told of each run; nil tells nobody.
	began func(engine, id string)
	// failed is told of each failure that was answered; nil tells nobody.
	failed func(id string)
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
		slow:       1,
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
	name, failing, slots := e.id, e.failing, e.slots
	e.mu.Unlock()
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set(signature, name+"/"+id)
	w.Header().Set("X-Instance-Id", name)
	switch {
	case r.Header.Get("X-Expect-Instance") != name:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case shed:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-slots }()
	e.set(func(e *engineStandin) {
		e.runs[id]++
		e.running++
		e.most = max(e.most, e.running)
	})
	defer e.set(func(e *engineStandin) { e.running-- })
	if e.began != nil {
		e.began(name, id)
	}
	if failing {
		if e.failed != nil {
			e.failed(id)
		}
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if impossible {
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	e.stream(w, r, name, id)
}

// stalled says that an engine sends nothing at present; one that was replaced breaks off what it had.
func (e *engineStandin) stalled(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id != name {
		panic(http.ErrAbortHandler)
	}
	return e.hanging
}

// replace puts an engine with another id and no runs in this one's place.
func (e *engineStandin) replace(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id = id
	e.slots = make(chan struct{}, cap(e.slots))
}

func (e *engineStandin) stream(w http.ResponseWriter, r *http.Request, name, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := after + 1; n <= e.events; n++ {
		pause := e.pause * time.Duration(e.get(func(e *engineStandin) int { return e.slow }))
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			e.set(func(e *engineStandin) { e.aborted++ })
			return
		}
		if e.stalled(name) {
			n--
			continue
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
