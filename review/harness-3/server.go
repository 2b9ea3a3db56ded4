package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serverRun is a request that a server began to run.
type serverRun struct {
	server string
	id     string
	path   string
	after  int
	began  time.Time
	ended  time.Time
	status string
}

// modelServer is a stand-in for a server: it streams numbered events whose data follow from the request's id.
type modelServer struct {
	id      string
	address string
	zone    string
	slots   chan struct{}
	queue   chan struct{}
	// events returns the number of events of a request, gap the time between them.
	events func(path string) int
	gap    time.Duration
	// text returns the data of a request's event n.
	text func(id string, n int) string

	mu      sync.Mutex
	runs    []*serverRun
	leaving bool
}

func newModelServer(id, address, zone string, slots int, gap time.Duration, events func(path string) int) *modelServer {
	return &modelServer{
		id: id, address: address, zone: zone, gap: gap, events: events,
		text: eventData, slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+24),
	}
}

func (m *modelServer) entry(service, state string) map[string]any {
	return map[string]any{
		"service": service, "address": m.address, "zone": m.zone, "version": "v1", "slots": cap(m.slots), "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
}

func eventData(id string, n int) string {
	return fmt.Sprintf("%s-%05d-%s", id, n, strings.Repeat("x", 40))
}

func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if r.Header.Get("X-Expect-Instance") != m.id {
		w.Header().Set("X-Instance-Id", m.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Signature", m.id+"/"+id)
	select {
	case m.queue <- struct{}{}:
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-m.queue }()
	select {
	case m.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-m.slots }()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := &serverRun{server: m.id, id: id, path: r.URL.Path, after: after, began: time.Now(), status: "running"}
	m.mu.Lock()
	m.runs = append(m.runs, run)
	m.mu.Unlock()
	status := "finished"
	defer func() {
		m.mu.Lock()
		run.ended, run.status = time.Now(), status
		m.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := after + 1; n <= m.events(r.URL.Path); n++ {
		select {
		case <-time.After(m.gap):
		case <-r.Context().Done():
			status = "dropped"
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, m.text(id, n)); err != nil {
			status = "dropped"
			return
		}
		_ = control.Flush()
	}
}

// ran returns the runs of a request at a server.
func (m *modelServer) ran(id string) []serverRun {
	m.mu.Lock()
	defer m.mu.Unlock()
	var runs []serverRun
	for _, run := range m.runs {
		if run.id == id {
			runs = append(runs, *run)
		}
	}
	return runs
}
