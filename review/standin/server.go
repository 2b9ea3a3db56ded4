package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// queueLength is how many requests a server keeps waiting beside those that it runs.
	queueLength = 24
)

// deed is what a server does with a run.
type deed int

const (
	// deedServe answers with a stream of events.
	deedServe deed = iota
	// deedLose runs the request and closes the channel without an answer.
	deedLose
	// deedFail runs the request and answers 500.
	deedFail
)

// server plays a model server. Its answers are streams of numbered events whose text depends only on the request's id.
type server struct {
	id, service, zone, address string
	slots                      int
	interval                   time.Duration
	// events returns the number of events of a request, decide what is done with its next run; runs counts from 1.
	events func(id string) int
	decide func(id string, runs int) deed
	// arrived is called for each request that reaches the server, with the address of its sender, failed for each answer of 500.
	arrived func(id, from string)
	failed  func(id string)
	// failTime is how long a run takes that ends with 500.
	failTime time.Duration
	record   *record
	store    *store
	http     *http.Server
	stop     context.CancelFunc
	places   chan struct{}

	mu       sync.Mutex
	state    string
	sequence int
	// runs counts the runs of each request, present holds those that are at the server now, lastFailure when a run ended
	// without success.
	runs        map[string]int
	present     map[string]int
	waiting     int
	running     int
	lastFailure map[string]time.Time
	failures    map[string]int
}

func newServer(id, service, zone string, slots int, interval time.Duration, events func(id string) int) *server {
	return &server{
		id:          id,
		service:     service,
		zone:        zone,
		slots:       slots,
		interval:    interval,
		events:      events,
		decide:      func(string, int) deed { return deedServe },
		arrived:     func(string, string) {},
		failed:      func(string) {},
		places:      make(chan struct{}, slots),
		state:       "ready",
		runs:        map[string]int{},
		present:     map[string]int{},
		lastFailure: map[string]time.Time{},
		failures:    map[string]int{},
	}
}

// start serves at an address and writes the server's entry at each heartbeat.
func (v *server) start(s *store, rec *record, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	v.store, v.record, v.address = s, rec, address
	v.http = &http.Server{Handler: v}
	go func() { _ = v.http.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	v.beat()
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(heartbeat):
				v.beat()
			}
		}
	}()
	return nil
}

func (v *server) beat() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.state == "gone" {
		return
	}
	v.sequence++
	v.store.put("servers", v.id, map[string]any{
		"service": v.service, "address": v.address, "zone": v.zone, "version": "v1", "slots": v.slots, "state": v.state,
		"coldRemainingMs": 0, "stage": "hybrid", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"sequence": v.sequence,
	})
}

// drain reports that the server is draining, serves for drainTimeout and a little longer, and then exits.
func (v *server) drain(drainTimeout time.Duration) {
	v.mu.Lock()
	v.state = "draining"
	v.mu.Unlock()
	v.beat()
	v.record.add("server %s reports draining", v.id)
	time.Sleep(drainTimeout + 500*time.Millisecond)
	v.mu.Lock()
	v.state = "gone"
	v.mu.Unlock()
	v.store.remove("servers", v.id)
	v.stop()
	_ = v.http.Close()
	v.record.add("server %s has left", v.id)
}

// text returns the data of a request's event n.
func text(id string, n int) string {
	return fmt.Sprintf("%s event %d of a text", id, n)
}

// output returns the whole output of an item.
func output(id string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, text(id, n))
	}
	return strings.Join(lines, "\n")
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", v.id)
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != v.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !v.enter(id) {
		v.record.add("server %s rejects %s: full", v.id, id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer v.exit(id)
	v.arrived(id, r.RemoteAddr)
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	select {
	case v.places <- struct{}{}:
	case <-ctx.Done():
		v.mu.Lock()
		v.waiting--
		v.mu.Unlock()
		return
	}
	v.mu.Lock()
	v.waiting--
	v.running++
	v.runs[id]++
	runs := v.runs[id]
	v.mu.Unlock()
	defer func() {
		<-v.places
		v.mu.Lock()
		v.running--
		v.mu.Unlock()
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	v.record.add("server %s runs %s (run %d there, after event %d)", v.id, id, runs, last)
	w.Header().Set("X-Response-Signature", v.id+"."+id)
	switch v.decide(id, runs) {
	case deedFail:
		sleep(ctx, v.failTime)
		v.fail(id)
		v.failed(id)
		v.record.add("server %s answers 500 to %s", v.id, id)
		w.WriteHeader(http.StatusInternalServerError)
	case deedLose:
		sleep(ctx, v.interval*time.Duration(v.events(id)))
		v.fail(id)
		v.record.add("server %s has run %s, and its answer is lost", v.id, id)
		panic(http.ErrAbortHandler)
	case deedServe:
		v.stream(ctx, w, id, last)
	}
}

func (v *server) stream(ctx context.Context, w http.ResponseWriter, id string, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	total := v.events(id)
	for n := last + 1; n <= total; n++ {
		if !sleep(ctx, v.interval) {
			v.record.add("server %s: run of %s cut after event %d", v.id, id, n-1)
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, text(id, n)); err != nil {
			return
		}
		_ = control.Flush()
	}
	v.record.add("server %s finishes %s", v.id, id)
}

func (v *server) enter(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.running+v.waiting >= v.slots+queueLength || v.state == "gone" {
		return false
	}
	v.waiting++
	v.present[id]++
	return true
}

func (v *server) exit(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.present[id]--
	if v.present[id] == 0 {
		delete(v.present, id)
	}
}

func (v *server) fail(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failures[id]++
	v.lastFailure[id] = time.Now()
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
