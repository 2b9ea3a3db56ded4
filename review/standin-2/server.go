package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request as a server saw it.
type arrival struct {
	at     time.Time
	id     string
	path   string
	server string
	ran    bool
}

// server is a stand-in of a model server.
type server struct {
	id, service, address, zone string
	slots                      chan struct{}
	queued                     chan struct{}
	born                       int64
	store                      *store
	stop                       chan struct{}
	mu                         sync.Mutex
	state                      string
	arrivals                   []arrival
	complete                   int
	// events returns the number of events of a request, pause the time between two.
	events func(id string) int
	pause  time.Duration
	http   *http.Server
	// bytes is the length of the answers of a plain service, which take the time work; zero stands for a model server.
	bytes int
	work  time.Duration
	// slow is by how many times longer the server works at present.
	slow atomic.Int64
}

func newServer(s *store, id, service, address, zone string, slots int) *server {
	return &server{
		id: id, service: service, address: address, zone: zone, store: s,
		slots: make(chan struct{}, slots), queued: make(chan struct{}, slots+24),
		born: time.Now().UnixMilli(), stop: make(chan struct{}), state: "ready",
		events: func(string) int { return 36 }, pause: 21 * time.Millisecond,
	}
}

// start serves, and writes the entry as often as servers do.
func (v *server) start() error {
	listener, err := net.Listen("tcp", v.address)
	if err != nil {
		return err
	}
	v.http = &http.Server{Handler: v}
	go func() { _ = v.http.Serve(listener) }()
	v.beat(0)
	go func() {
		for n := 1; ; n++ {
			select {
			case <-v.stop:
				return
			case <-time.After(1200 * time.Millisecond):
				v.beat(n)
			}
		}
	}()
	return nil
}

func (v *server) beat(n int) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.state == "removed" {
		return time.Time{}
	}
	return v.store.put("servers", v.id, map[string]any{
		"service": v.service, "address": v.address, "zone": v.zone, "version": 1, "slots": cap(v.slots),
		"state": v.state, "coldRemainingMs": 0, "sequence": n, "born": v.born,
	})
}

// drain reports that the server is draining, and returns when the store has accepted that.
func (v *server) drain() time.Time {
	v.mu.Lock()
	v.state = "draining"
	v.mu.Unlock()
	return v.beat(1 << 20)
}

// leave removes the entry of a server that never reports draining. The server continues to serve.
func (v *server) leave() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.state = "removed"
	return v.store.remove("servers", v.id)
}

func (v *server) note(r *http.Request, at time.Time, ran bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.arrivals = append(v.arrivals, arrival{at: at, id: r.Header.Get("X-Attempt-Id"), path: r.URL.Path, server: v.id, ran: ran})
}

func (v *server) seen() []arrival {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]arrival{}, v.arrivals...)
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != v.id {
		w.Header().Set("X-Instance-Id", v.id)
		w.WriteHeader(421)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	select {
	case v.queued <- struct{}{}:
		defer func() { <-v.queued }()
	default:
		v.note(r, at, false)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	select {
	case v.slots <- struct{}{}:
		defer func() { <-v.slots }()
	case <-r.Context().Done():
		v.note(r, at, false)
		return
	}
	v.note(r, at, true)
	if v.bytes > 0 {
		v.answerPlain(w, r, id)
		return
	}
	first := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "sig-"+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.WriteHeader(200)
	control := http.NewResponseController(w)
	_ = control.Flush()
	time.Sleep(45 * time.Millisecond)
	for n := first; n <= v.events(id); n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(id, n)); err != nil {
			return
		}
		_ = control.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(v.pause):
		}
	}
}

func eventText(id string, n int) string {
	return id + "-" + strconv.Itoa(n) + strings.Repeat(".", 40)
}

// plainParts is in how many parts a plain answer is written.
const plainParts = 16

// answerPlain answers like a plain service: one body with its length, written as it is produced.
func (v *server) answerPlain(w http.ResponseWriter, r *http.Request, id string) {
	body := plainBody(id, v.bytes)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("X-Response-Signature", "sig-"+id)
	control := http.NewResponseController(w)
	for n := range plainParts {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(v.work * time.Duration(max(1, v.slow.Load())) / plainParts):
		}
		if _, err := w.Write(body[n*len(body)/plainParts : (n+1)*len(body)/plainParts]); err != nil {
			return
		}
		_ = control.Flush()
	}
	v.mu.Lock()
	v.complete++
	v.mu.Unlock()
}

func plainBody(id string, length int) []byte {
	return []byte(strings.Repeat(id, length/len(id)))
}
