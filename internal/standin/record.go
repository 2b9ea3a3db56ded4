package standin

import (
	"net/http"
	"sync"
	"time"

	"rhubarbrudder/internal/endpoint"
)

// Run is one request as the stand-in received it; the times are from the stand-in's clock.
type Run struct {
	record    *Record
	RequestID string
	Class     string
	Path      string
	Started   time.Time
	// Admitted is when the request got a slot, or zero if it did not.
	Admitted time.Time
	Ended    time.Time
	// Resumed is the number of the answer's tokens that the request already contained, Tokens the number of those
	// generated in this run.
	Resumed int
	Tokens  int
	// Finished means that the whole answer was generated, Cancelled that the client disconnected before.
	Finished  bool
	Cancelled bool
}

// Record holds every request that a stand-in received.
type Record struct {
	mu   sync.Mutex
	runs []*Run
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{}
}

func (c *Record) start(r *http.Request, resumed int) *Run {
	run := &Run{
		record:    c,
		RequestID: r.Header.Get(endpoint.HeaderRequestID),
		Class:     r.Header.Get(endpoint.HeaderClass),
		Path:      r.URL.Path,
		Started:   time.Now(),
		Resumed:   resumed,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, run)
	return run
}

func (u *Run) markAdmitted() {
	u.record.mu.Lock()
	defer u.record.mu.Unlock()
	u.Admitted = time.Now()
}

func (u *Run) countToken() {
	u.record.mu.Lock()
	defer u.record.mu.Unlock()
	u.Tokens++
}

func (u *Run) markFinished() {
	u.record.mu.Lock()
	defer u.record.mu.Unlock()
	u.Finished = true
}

func (u *Run) end(r *http.Request) {
	u.record.mu.Lock()
	defer u.record.mu.Unlock()
	u.Ended = time.Now()
	u.Cancelled = !u.Finished && r.Context().Err() != nil
}

// Runs returns copies of all runs in the order of their start.
func (c *Record) Runs() []Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := make([]Run, 0, len(c.runs))
	for _, run := range c.runs {
		runs = append(runs, *run)
	}
	return runs
}

// ServeHTTP answers with all runs.
func (c *Record) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.Runs())
}
