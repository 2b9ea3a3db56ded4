package platform

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const pause = 5 * time.Millisecond

func TestStreamIsPassedOnWhole(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 2, 10, pause)
	c := newCluster(t, 120, 2, e)
	got := c.send(0, http.MethodPost, "/resumable/x?y=%2F", "r1", "body")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, whole("r1", 10))
	assert.Equal(t, got.header.Get(signature), "e0/r1")
	assert.Equal(t, got.header.Get("X-Attempt-Id"), "r1")
}

// TestBrokenStream checks that a stream that may be resumed goes on at another engine within one answer, and that one
// that may not runs once and does not look complete.
func TestBrokenStream(t *testing.T) {
	t.Parallel()
	a := newEngineStandin("a", 4, 12, pause)
	b := newEngineStandin("b", 4, 12, pause)
	c := newCluster(t, 121, 2, a, b)
	b.breakAt = a.breakAt
	for n := range 4 {
		a.breakAt.Store(5)
		id := fmt.Sprintf("resumed-%d", n)
		got := c.send(0, http.MethodPost, "/resumable/x", id, "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, whole(id, 12))
		assert.Equal(t, a.breakAt.Load(), int64(0))
	}
	a.breakAt.Store(5)
	got := c.send(0, http.MethodPost, "/once/x", "once", "")
	assert.Assert(t, got.err != nil, "a broken stream looks complete: %q", got.body)
	runs := func(e *engineStandin) int { return e.runs["once"] }
	assert.Equal(t, a.get(runs)+b.get(runs), 1)
}

// TestTurnedAway checks the statuses that promise that a request did not run, and those that name a fault of the caller.
func TestTurnedAway(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 1, 3, pause)
	c := newCluster(t, 122, 1, e)
	c.maxBody = 64 << 10
	c.configure(nil)
	c.wait("the lower limit", func() bool {
		return strings.Contains(c.logs[0].String(), "version=6")
	})
	tests := map[string]struct {
		path   string
		body   string
		header string
		want   int
	}{
		"no route": {
			path: "/nowhere/x",
			want: http.StatusNotFound,
		},
		"long body": {
			path: "/once/x",
			body: string(make([]byte, 100<<10)),
			want: http.StatusRequestEntityTooLarge,
		},
		"long header": {
			path:   "/once/x",
			header: fmt.Sprintf("%05000d", 1),
			want:   http.StatusRequestHeaderFieldsTooLarge,
		},
		"job that is none": {
			path: "/jobs/x",
			body: "{",
			want: http.StatusBadRequest,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := c.request(0, http.MethodPost, test.path, "id", test.body)
			if test.header != "" {
				r.Header.Set("X-Long", test.header)
			}
			assert.Equal(t, do(client, r).status, test.want)
		})
	}
	e.set(func(e *engineStandin) { e.shed = true })
	got := c.send(0, http.MethodPost, "/once/x", "shed", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, e.get(func(e *engineStandin) int { return e.runs["shed"] }), 0)
}

// TestCallerLeaves checks that an engine stops working for a caller that closed its connection.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 1, 10000, pause)
	c := newCluster(t, 123, 1, e)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	got := do(client, c.request(0, http.MethodPost, "/resumable/x", "left", "").WithContext(ctx))
	assert.Assert(t, got.err != nil)
	c.wait("the engine stops", func() bool {
		return e.get(func(e *engineStandin) int { return e.aborted }) == 1
	})
}

// TestStewardDies checks that requests are served when the VM that holds the pool is killed, and when it is frozen.
func TestStewardDies(t *testing.T) {
	t.Parallel()
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "frozen": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			net := 124
			if signal == syscall.SIGSTOP {
				net = 125
			}
			e := newEngineStandin("e0", 4, 3, pause)
			c := newCluster(t, net, 3, e)
			c.wait("one steward", func() bool {
				for vm := range 3 {
					c.send(vm, http.MethodPost, "/resumable/x", fmt.Sprintf("first-%d", vm), "")
				}
				s := c.steward(0)
				return s >= 0 && s == c.steward(1) && s == c.steward(2)
			})
			old := c.steward(0)
			c.signal(old, signal)
			defer func() { _ = c.processes[old].command.Process.Signal(syscall.SIGCONT) }()
			for vm := range 3 {
				if vm == old {
					continue
				}
				id := fmt.Sprintf("after-%d", vm)
				got := c.send(vm, http.MethodPost, "/once/x", id, "")
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, whole(id, 3))
			}
		})
	}
}

// TestShutdown checks that SIGTERM cuts no answer, that connections kept by callers do not hold the process up, and that
// it ends before it would be killed.
func TestShutdown(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 4, 100, 20*time.Millisecond)
	c := newCluster(t, 126, 2, e)
	keeping := &http.Client{
		Transport: &http.Transport{},
	}
	assert.Equal(t, do(keeping, c.request(0, http.MethodGet, "/nowhere/", "", "")).status, http.StatusNotFound)
	got := make(chan answer, 1)
	go func() { got <- c.send(0, http.MethodPost, "/once/x", "cut", "") }()
	c.wait("the request runs", func() bool {
		return e.get(func(e *engineStandin) int { return e.runs["cut"] }) == 1
	})
	begun := time.Now()
	c.signal(0, syscall.SIGTERM)
	c.wait("not ready", func() bool { return c.ready(0) != http.StatusOK })
	// The kept connection is closed, so that this request goes to a new one and is still served.
	kept := do(keeping, c.request(0, http.MethodGet, "/nowhere/", "", ""))
	assert.NilError(t, kept.err)
	assert.Assert(t, kept.closes)
	cut := <-got
	assert.NilError(t, cut.err)
	assert.Equal(t, cut.body, whole("cut", 100))
	c.end(0)
	assert.Assert(t, time.Since(begun) < 8*time.Second)
}

// TestShutdownUnderLoad checks that callers who go on sending to a VM that stops, until it takes no connection any more,
// get a whole answer to each request that an engine ran.
func TestShutdownUnderLoad(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 16, 40, 20*time.Millisecond)
	c := newCluster(t, 144, 2, e)
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for n := 0; ; n++ {
				id := fmt.Sprintf("busy-%d-%d", caller, n)
				got := c.send(0, http.MethodPost, "/once/x", id, "")
				if e.get(func(e *engineStandin) int { return e.runs[id] }) == 0 {
					return
				}
				assert.Check(t, got.err)
				assert.Check(t, got.body == whole(id, 40), "%s: %q", id, got.body)
			}
		})
	}
	time.Sleep(time.Second)
	begun := time.Now()
	c.signal(0, syscall.SIGTERM)
	c.end(0)
	assert.Assert(t, time.Since(begun) < 8*time.Second)
	callers.Wait()
}

// TestEndpointLeaves checks that an engine that leaves, or whose entry is gone, gets nothing new after a moment.
func TestEndpointLeaves(t *testing.T) {
	t.Parallel()
	a := newEngineStandin("a", 4, 3, pause)
	b := newEngineStandin("b", 4, 3, pause)
	c := newCluster(t, 127, 2, a, b)
	for name, leave := range map[string]func(){
		"draining": func() { c.list(0, "draining") },
		"gone":     func() { c.store.remove("servers", "a") },
	} {
		t.Run(name, func(t *testing.T) {
			c.list(0, "ready")
			time.Sleep(500 * time.Millisecond)
			leave()
			time.Sleep(time.Second)
			before := a.get(func(e *engineStandin) int { return len(e.arrivals) })
			for n := range 10 {
				id := fmt.Sprintf("%s-%d", name, n)
				got := c.send(n%2, http.MethodPost, "/once/x", id, "")
				assert.Equal(t, got.body, whole(id, 3))
			}
			assert.Equal(t, a.get(func(e *engineStandin) int { return len(e.arrivals) }), before)
		})
	}
}

// TestConfigurationMovesForward checks that a configuration is in force everywhere soon, also after the store forgot its
// history, and that an unreadable one changes nothing.
func TestConfigurationMovesForward(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 4, 3, pause)
	c := newCluster(t, 128, 2, e)
	added := []map[string]any{
		{
			"name": "added", "host": routeHost, "pathPrefix": "/added/", "kind": "stream", "service": "llm",
			"timeoutMs": 5000, "targetLatencyMs": 300, "maxAttempts": 1,
		},
	}
	status := func(vm int) int {
		return c.send(vm, http.MethodPost, "/added/x", strconv.FormatInt(time.Now().UnixNano(), 10), "").status
	}
	c.store.compact()
	changed := time.Now()
	c.configure(added)
	for vm := range 2 {
		c.wait("the route is in force", func() bool { return status(vm) == http.StatusOK })
	}
	assert.Assert(t, time.Since(changed) < 2*time.Second)
	c.store.put("op", "config", "not a configuration")
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, status(0), http.StatusOK)
}

// TestStartWhileStoreIsAway checks that a VM that starts learns what it needs from other VMs.
func TestStartWhileStoreIsAway(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 4, 3, pause)
	c := newCluster(t, 129, 3, e)
	c.signal(2, syscall.SIGKILL)
	c.end(2)
	c.store.setFault(func(string, string) fault { return faultBusy })
	c.start(2)
	c.waitReady(2)
	got := c.send(2, http.MethodPost, "/once/x", "away", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, whole("away", 3))
}

// TestReload checks that changed settings are applied with a signal, that faulty ones change nothing, and that neither
// disturbs a request.
func TestReload(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 4, 20, 50*time.Millisecond)
	c := newCluster(t, 143, 1, e)
	got := make(chan answer, 1)
	go func() { got <- c.send(0, http.MethodPost, "/once/x", "r", "") }()
	c.writeSettings(0, map[string]any{"Log": map[string]any{"Level": "Debug"}})
	c.signal(0, syscall.SIGHUP)
	c.wait("settings reloaded", func() bool {
		return strings.Contains(c.logs[0].String(), "msg=\"settings reloaded\"")
	})
	c.writeSettings(0, map[string]any{"Log": map[string]any{"Level": "Loud"}})
	c.signal(0, syscall.SIGHUP)
	c.wait("fault reported", func() bool {
		return strings.Contains(c.logs[0].String(), "msg=\"settings not applied\"")
	})
	assert.Equal(t, (<-got).body, whole("r", 20))
}
