package platform

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engineStandin is a stand-in for a model engine. It runs as many requests at once as it has slots and queues the rest.
// Each answer is a stream of numbered events whose data depend only on the request.
type engineStandin struct {
	id       string
	events   int
	interval time.Duration
	slots    chan struct{}
	// born is the engine's start in Unix milliseconds, or zero if its entry in the list has none.
	born int64

	mu sync.Mutex
	// arrivals and runs count received and executed requests by request ID; lastArrival is the time of the latest one.
	arrivals map[string]int
	// headers holds the headers of the received requests by request ID.
	headers     map[string][]http.Header
	runs        map[string]int
	lastArrival time.Time
	running     int
	maxRunning  int
	// breakAtEvent breaks one stream off in the middle of the event with this number and is then reset; zero disables
	// it. Engines may share it.
	breakAtEvent *atomic.Int64
	// text returns the data of a request's event n; it is eventData by default.
	text func(id string, n int) string
	// reads is how long the engine takes, after its queue, to read the prompt of a request with the headers, before its first
	// event; nil is no time. pausesAt is the event before which it reads the prompt once more, or zero.
	reads    func(header http.Header) time.Duration
	pausesAt int
	// refusing makes the engine refuse requests without executing them.
	refusing bool
	// unprocessable holds the IDs of items that the engine always answers with 422.
	unprocessable map[string]bool
	// failing makes the engine answer with status 500, hanging stops it from sending anything, and slowdown multiplies
	// the interval between events.
	failing  bool
	hanging  bool
	slowdown int
	// failTime is how long an answer with status 500 takes.
	failTime time.Duration
	// onRun is called at the start of each run, unless nil.
	onRun func(engine, id string)
	// onArrival is called for each request that arrives, with the parts of its prompt, unless nil.
	onArrival func(prompt string)
	// onHeaders is called with the ID and the headers of each request that arrives, unless nil.
	onHeaders func(id string, header http.Header)
	// crashingPart is a part of a prompt at which the engine crashes as soon as it begins the answer. It then calls
	// onCrash, with its ID. An empty part is none.
	crashingPart string
	onCrash      func(engine string)
	// leaving makes the engine say in all answers that it leaves.
	leaving bool
	// rejects makes the engine reject the next requests, that many, without executing them.
	rejects int
	// takes is the largest number of requests that the engine runs at once before it rejects others; zero is any number.
	takes int
	// rejected counts those.
	rejected int
	// limit is the number of requests a second that the engine names in its answers as what it takes; zero names none.
	limit float64
	// onLimited is called for each request that arrives while the engine names a limit, unless nil.
	onLimited func(engine string, limit float64)
	// onFailure is called before each answer with status 500, unless nil.
	onFailure func(id string)
	// aborted counts requests whose connection closed while they ran.
	aborted int
}

func newEngineStandin(id string, slots, events int, interval time.Duration) *engineStandin {
	return &engineStandin{
		id:            id,
		events:        events,
		interval:      interval,
		slots:         make(chan struct{}, slots),
		arrivals:      map[string]int{},
		headers:       map[string][]http.Header{},
		runs:          map[string]int{},
		unprocessable: map[string]bool{},
		breakAtEvent:  &atomic.Int64{},
		slowdown:      1,
		text:          eventData,
	}
}

// update changes the engine under its lock.
func (e *engineStandin) update(change func(e *engineStandin)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func (e *engineStandin) get(read func(e *engineStandin) int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return read(e)
}

// signatureHeader identifies the engine and the request in an engine's answers.
const signatureHeader = "X-Response-Signature"

// eventData returns the data of a request's event n.
func eventData(id string, n int) string {
	return fmt.Sprintf("%s-%d", id, n)
}

func (e *engineStandin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	e.mu.Lock()
	e.arrivals[id]++
	e.headers[id] = append(e.headers[id], r.Header.Clone())
	e.lastArrival = time.Now()
	refusing, unprocessable, leaving := e.refusing, e.unprocessable[id], e.leaving
	if e.rejects > 0 {
		e.rejects--
		refusing = true
	}
	if e.takes > 0 && e.running >= e.takes {
		e.rejected++
		refusing = true
	}
	prompt := r.Header.Get("X-Prompt-Prefix")
	name, failing, failTime, slots, limit := e.id, e.failing, e.failTime, e.slots, e.limit
	e.mu.Unlock()
	if e.onHeaders != nil {
		e.onHeaders(id, r.Header)
	}
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
		if e.onLimited != nil {
			e.onLimited(name, limit)
		}
	}
	crashes := e.carries(prompt)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set(signatureHeader, name+"/"+id)
	w.Header().Set("X-Instance-Id", name)
	switch {
	case r.Header.Get("X-Expect-Instance") != name:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case refusing:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if e.onArrival != nil {
		e.onArrival(prompt)
	}
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-slots }()
	e.update(func(e *engineStandin) {
		e.runs[id]++
		e.running++
		e.maxRunning = max(e.maxRunning, e.running)
	})
	defer e.update(func(e *engineStandin) { e.running-- })
	if e.onRun != nil {
		e.onRun(name, id)
	}
	if failing {
		select {
		case <-time.After(failTime):
		case <-r.Context().Done():
			return
		}
		if e.onFailure != nil {
			e.onFailure(id)
		}
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if unprocessable {
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	if crashes {
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(crashDelay)
		e.onCrash(name)
		panic(http.ErrAbortHandler)
	}
	e.stream(w, r, name, id)
}

// carries reports whether a prompt holds the part at which the engine crashes.
func (e *engineStandin) carries(prompt string) bool {
	part := e.crashing()
	return part != "" && strings.Contains(prompt, part+":")
}

// crashing returns the part at which the engine crashes, or none.
func (e *engineStandin) crashing() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashingPart
}

// name returns the engine's current ID.
func (e *engineStandin) name() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// crashDelay is the time from the beginning of an answer until the engine crashes.
const crashDelay = 20 * time.Millisecond

// stalled reports whether the engine sends nothing at present. If the engine with this name has been replaced, it aborts
// the connection.
func (e *engineStandin) stalled(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id != name {
		panic(http.ErrAbortHandler)
	}
	return e.hanging
}

// replace turns this engine into one with another ID and empty slots, at the same address.
func (e *engineStandin) replace(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id = id
	e.leaving = false
	e.slots = make(chan struct{}, cap(e.slots))
}

func (e *engineStandin) stream(w http.ResponseWriter, r *http.Request, name, id string) {
	lastEvent, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := lastEvent + 1; n <= e.events; n++ {
		if e.reads != nil && (n == lastEvent+1 || n == e.pausesAt) && !e.read(r) {
			return
		}
		interval := e.interval * time.Duration(e.get(func(e *engineStandin) int { return e.slowdown }))
		select {
		case <-time.After(interval):
		case <-r.Context().Done():
			e.update(func(e *engineStandin) { e.aborted++ })
			return
		}
		if e.stalled(name) {
			n--
			continue
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.ReplaceAll(e.text(id, n), "\n", "\ndata: "))
		if e.breakAtEvent.CompareAndSwap(int64(n), 0) {
			_, _ = w.Write([]byte(event[:len(event)/2]))
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(event))
		_ = control.Flush()
	}
}

// read takes the time for the prompt of a request, and reports whether its caller has waited for it.
func (e *engineStandin) read(r *http.Request) bool {
	// The server notices a closed connection only once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(e.reads(r.Header)):
		return true
	case <-r.Context().Done():
		e.update(func(e *engineStandin) { e.aborted++ })
		return false
	}
}
