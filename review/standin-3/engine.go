package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is a stand-in for a server: it runs as many requests at once as it has slots, queues a few more in order of
// arrival and rejects the others. It drops a request when its channel closes.
type Engine struct {
	ID       string
	Slots    int
	Queue    int
	First    time.Duration // until the first event
	Interval time.Duration // between events
	Events   int           // of an online stream
	Items    int           // events of an item of a batch job
	Work     time.Duration // of a plain request
	OnRun    func(engine, id, path string)
	// OnEnd is called at the end of a run, with its time and whether it was whole.
	OnEnd func(engine, id string, took time.Duration, whole bool)
	// Reads returns how long it takes to read a prompt from one token to another one; nil leaves First.
	Reads func(from, to int) time.Duration
	kept  map[string]bool // shared parts of prompts that were read
	// Text returns the data of an event.
	Text func(id string, n int) string

	mu      sync.Mutex
	slots   chan struct{}
	waiting int
	Seen    map[string]int // requests received, by attempt id, without rejected ones
	Bad     []string
}

func (e *Engine) Init() *Engine {
	e.slots = make(chan struct{}, e.Slots)
	e.Seen = map[string]int{}
	e.kept = map[string]bool{}
	if e.Text == nil {
		e.Text = data
	}
	return e
}

// Got reports how often the request was received to be run.
func (e *Engine) Got(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Seen[id]
}

func data(id string, n int) string { return fmt.Sprintf("%s-%d-%s", id, n, strings.Repeat("x", 40)) }

func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Instance-Id", e.ID)
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	e.mu.Lock()
	if e.waiting >= e.Queue {
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.waiting++
	e.Seen[id]++
	e.mu.Unlock()
	ok := false
	select {
	case e.slots <- struct{}{}:
		ok = true
	case <-r.Context().Done():
	}
	e.mu.Lock()
	e.waiting--
	e.mu.Unlock()
	if !ok {
		return
	}
	defer func() { <-e.slots }()
	if e.OnRun != nil {
		e.OnRun(e.ID, id, r.URL.Path)
	}
	w.Header().Set("X-Response-Signature", e.ID+"."+id)
	if strings.HasPrefix(r.URL.Path, "/plain/") {
		if !pause(r, e.Work) {
			return
		}
		_, _ = io.WriteString(w, "whole "+id)
		return
	}
	events := e.Events
	if strings.HasPrefix(r.URL.Path, "/lot/") {
		events = e.Items
	}
	began, whole := time.Now(), false
	if e.OnEnd != nil {
		defer func() { e.OnEnd(e.ID, id, time.Since(began), whole) }()
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !e.prefill(r) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= events; n++ {
		if n > after+1 && !pause(r, e.Interval) {
			return
		}
		event := fmt.Sprintf("id: %d\n", n)
		for _, line := range strings.Split(e.Text(id, n), "\n") {
			event += "data: " + line + "\n"
		}
		if _, err := io.WriteString(w, event+"\n"); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	whole = true
}

// prefill reads the parts of the prompt that are not kept, and reports whether the caller waited for it.
func (e *Engine) prefill(r *http.Request) bool {
	if e.Reads == nil {
		return pause(r, e.First)
	}
	read := 0 // tokens before the part
	prefix := true
	for n, part := range strings.Split(r.Header.Get("X-Prompt-Prefix"), ",") {
		_, size, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(size)
		from := read
		read += tokens
		e.mu.Lock()
		prefix = prefix && e.kept[part]
		e.mu.Unlock()
		if prefix {
			continue
		}
		if !pause(r, e.Reads(from, read)) {
			return false
		}
		if n == 0 {
			e.mu.Lock()
			e.kept[part] = true
			e.mu.Unlock()
		}
	}
	return pause(r, e.First)
}

// slowAccept delays what comes on a new channel by the time that its setup takes.
type slowAccept struct {
	net.Listener
	delay time.Duration
}

func (l slowAccept) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, delay: l.delay}, nil
}

type slowConn struct {
	net.Conn
	delay time.Duration
	once  sync.Once
}

func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(p)
}

func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
