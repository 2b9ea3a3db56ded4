package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const eventInterval = 5 * time.Millisecond

func TestStreamIsPassedOnWhole(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 2, 10, eventInterval)
	c := newCluster(t, 120, 2, e)
	got := c.send(0, http.MethodPost, "/resumable/x?y=%2F", "r1", "body")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, wholeStream("r1", 10))
	assert.Equal(t, got.header.Get(signatureHeader), "e0/r1")
	assert.Equal(t, got.header.Get("X-Attempt-Id"), "r1")
}

// TestBrokenStream checks that a broken resumable stream continues at another engine within the same answer, and that a
// stream that is not resumable runs only once and does not look complete when it breaks.
func TestBrokenStream(t *testing.T) {
	t.Parallel()
	a := newEngineStandin("a", 4, 12, eventInterval)
	b := newEngineStandin("b", 4, 12, eventInterval)
	c := newCluster(t, 121, 2, a, b)
	b.breakAtEvent = a.breakAtEvent
	for n := range 4 {
		a.breakAtEvent.Store(5)
		id := fmt.Sprintf("resumed-%d", n)
		got := c.send(0, http.MethodPost, "/resumable/x", id, "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, wholeStream(id, 12))
		assert.Equal(t, a.breakAtEvent.Load(), int64(0))
	}
	a.breakAtEvent.Store(5)
	got := c.send(0, http.MethodPost, "/once/x", "once", "")
	assert.Assert(t, got.err != nil, "broken stream looks complete: %q", got.body)
	runs := func(e *engineStandin) int { return e.runs["once"] }
	assert.Equal(t, a.get(runs)+b.get(runs), 1)
}

// TestTurnedAway checks the statuses for refused requests: those that guarantee that the request did not run, and those
// that indicate an error of the caller.
func TestTurnedAway(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 1, 3, eventInterval)
	c := newCluster(t, 122, 1, e)
	c.maxBodyBytes = 64 << 10
	c.configure(nil)
	c.waitFor("configuration with the lower limit applied", func() bool {
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
		"malformed job": {
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
			assert.Equal(t, doRequest(client, r).status, test.want)
		})
	}
	e.update(func(e *engineStandin) { e.refusing = true })
	got := c.send(0, http.MethodPost, "/once/x", "shed", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, e.get(func(e *engineStandin) int { return e.runs["shed"] }), 0)
}

// TestAnswerToRefusedBodyIsNotLost guards against callers that are reset while they send a body that is refused unread.
func TestAnswerToRefusedBodyIsNotLost(t *testing.T) {
	t.Parallel()
	const bodyBytes = 1 << 20
	c := newCluster(t, 53, 1, newEngineStandin("e0", 1, 3, eventInterval))
	c.maxBodyBytes = 64 << 10
	c.configure(nil)
	c.waitFor("configuration with the lower limit applied", func() bool {
		return strings.Contains(c.logs[0].String(), "version=6")
	})
	tests := map[string]struct {
		path string
		want int
	}{
		"too long": {
			path: "/once/x",
			want: http.StatusRequestEntityTooLarge,
		},
		"no route": {
			path: "/nowhere/x",
			want: http.StatusNotFound,
		},
	}
	for name, test := range tests {
		for _, connection := range []string{"close", "keep-alive"} {
			t.Run(name+", "+connection, func(t *testing.T) {
				conn, err := net.Dial("tcp", c.address(11, portCallers))
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: a\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n",
					test.path, routeHost, connection, bodyBytes)
				assert.NilError(t, err)
				// A simple caller reads the answer only after it has sent the whole body.
				for range bodyBytes / 1024 {
					_, err = conn.Write(make([]byte, 1024))
					assert.NilError(t, err)
				}
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.Equal(t, response.StatusCode, test.want)
			})
		}
	}
}

// TestRefusalDoesNotWaitForBody guards against refusals that a caller gets only after it has sent a body that nobody reads.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 54, 1, newEngineStandin("e0", 1, 3, eventInterval))
	for _, connection := range []string{"close", "keep-alive"} {
		t.Run(connection, func(t *testing.T) {
			conn, err := net.Dial("tcp", c.address(11, portCallers))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(2*time.Second)))
			_, err = fmt.Fprintf(conn, "POST /nowhere/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: a\r\nConnection: %s\r\nContent-Length: 1000\r\n\r\nbegun",
				routeHost, connection)
			assert.NilError(t, err)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusNotFound)
			_, err = reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "the connection stays open for a caller that never sends its body")
		})
	}
}

// TestRefusedCallerKeepsConnection checks that a caller that has sent its whole body can use its connection again.
func TestRefusedCallerKeepsConnection(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 55, 1, newEngineStandin("e0", 1, 3, eventInterval))
	conn, err := net.Dial("tcp", c.address(11, portCallers))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(2*time.Second)))
	reader := bufio.NewReader(conn)
	for range 3 {
		_, err = fmt.Fprintf(conn, "POST /nowhere/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: a\r\nContent-Length: 5\r\n\r\nwhole", routeHost)
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusNotFound)
	}
}

// TestCallerLeaves checks that an engine stops processing a request whose caller has closed the connection.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 1, 10000, eventInterval)
	c := newCluster(t, 123, 1, e)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	got := doRequest(client, c.request(0, http.MethodPost, "/resumable/x", "left", "").WithContext(ctx))
	assert.Assert(t, got.err != nil)
	c.waitFor("the engine aborts the request", func() bool {
		return e.get(func(e *engineStandin) int { return e.aborted }) == 1
	})
}

// TestStewardDies checks that requests are still served after the steward is killed or frozen.
func TestStewardDies(t *testing.T) {
	t.Parallel()
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "frozen": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			subnet := 124
			if signal == syscall.SIGSTOP {
				subnet = 125
			}
			e := newEngineStandin("e0", 4, 3, eventInterval)
			c := newCluster(t, subnet, 3, e)
			c.waitFor("one steward", func() bool {
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
				assert.Equal(t, got.body, wholeStream(id, 3))
			}
		})
	}
}

// TestRestartedStewardLeavesThePoolToTheNext guards against two stewards that grant the same slots after a restart of one.
func TestRestartedStewardLeavesThePoolToTheNext(t *testing.T) {
	t.Parallel()
	const (
		vms = 3
		// settled is the time from the start after which a VM must have found the others' steward.
		settled = time.Second
		// watched is how long the VMs are watched, less than the time for which a restarted VM counts as young.
		watched = 2500 * time.Millisecond
	)
	e := newEngineStandin("e0", 4, 3, eventInterval)
	c := newCluster(t, 52, vms, e)
	c.waitFor("one steward", func() bool {
		steward := c.steward(0)
		return steward >= 0 && steward == c.steward(1) && steward == c.steward(2)
	})
	// All VMs must have become old enough to tell a young one.
	time.Sleep(4 * time.Second)
	old := c.steward(0)
	c.signal(old, syscall.SIGKILL)
	c.waitExit(old)
	c.logs[old] = &lockedBuffer{}
	c.start(old)
	started := time.Now()
	time.Sleep(settled)
	for time.Since(started) < watched {
		next := c.steward((old + 1) % vms)
		assert.Assert(t, next != old)
		assert.Equal(t, c.steward(old), next, "%v after its start", time.Since(started))
		time.Sleep(eventInterval)
	}
}

// TestShutdown checks that SIGTERM interrupts no answer, that idle keep-alive connections do not delay the exit, and
// that the process exits within 8 s, before it would be killed.
func TestShutdown(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 4, 100, 20*time.Millisecond)
	c := newCluster(t, 126, 2, e)
	keepAlive := &http.Client{
		Transport: &http.Transport{},
	}
	assert.Equal(t, doRequest(keepAlive, c.request(0, http.MethodGet, "/nowhere/", "", "")).status, http.StatusNotFound)
	got := make(chan answer, 1)
	go func() { got <- c.send(0, http.MethodPost, "/once/x", "cut", "") }()
	c.waitFor("the request runs", func() bool {
		return e.get(func(e *engineStandin) int { return e.runs["cut"] }) == 1
	})
	begun := time.Now()
	c.signal(0, syscall.SIGTERM)
	c.waitFor("not ready", func() bool { return c.readyStatus(0) != http.StatusOK })
	// The VM has closed the idle connection, so that this request opens a new one. It is still served.
	kept := doRequest(keepAlive, c.request(0, http.MethodGet, "/nowhere/", "", ""))
	assert.NilError(t, kept.err)
	assert.Assert(t, kept.closesConnection)
	cut := <-got
	assert.NilError(t, cut.err)
	assert.Equal(t, cut.body, wholeStream("cut", 100))
	c.waitExit(0)
	assert.Assert(t, time.Since(begun) < 8*time.Second)
}

// TestShutdownUnderLoad checks a VM that shuts down while callers keep sending until it accepts no more connections:
// each request that an engine ran must get a complete answer.
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
				assert.Check(t, got.body == wholeStream(id, 40), "%s: %q", id, got.body)
			}
		})
	}
	time.Sleep(time.Second)
	begun := time.Now()
	c.signal(0, syscall.SIGTERM)
	c.waitExit(0)
	assert.Assert(t, time.Since(begun) < 8*time.Second)
	callers.Wait()
}

// TestEndpointLeaves checks that an engine gets no new requests once it has been draining, or its row has been removed,
// for a second.
func TestEndpointLeaves(t *testing.T) {
	t.Parallel()
	a := newEngineStandin("a", 4, 3, eventInterval)
	b := newEngineStandin("b", 4, 3, eventInterval)
	c := newCluster(t, 127, 2, a, b)
	for name, leave := range map[string]func(){
		"draining": func() { c.putEngineRow(0, "draining") },
		"gone":     func() { c.store.remove("servers", "a") },
	} {
		t.Run(name, func(t *testing.T) {
			c.putEngineRow(0, "ready")
			time.Sleep(500 * time.Millisecond)
			leave()
			time.Sleep(time.Second)
			before := a.get(func(e *engineStandin) int { return len(e.arrivals) })
			for n := range 10 {
				id := fmt.Sprintf("%s-%d", name, n)
				got := c.send(n%2, http.MethodPost, "/once/x", id, "")
				assert.Equal(t, got.body, wholeStream(id, 3))
			}
			assert.Equal(t, a.get(func(e *engineStandin) int { return len(e.arrivals) }), before)
		})
	}
}

// TestConfigurationMovesForward checks that every VM applies a new configuration within two seconds, even after the
// store has dropped its history, and that an invalid configuration changes nothing.
func TestConfigurationMovesForward(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 4, 3, eventInterval)
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
		c.waitFor("the new route is served", func() bool { return status(vm) == http.StatusOK })
	}
	assert.Assert(t, time.Since(changed) < 2*time.Second)
	c.store.put("op", "config", "not a configuration")
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, status(0), http.StatusOK)
}

// TestStartWhileStoreIsAway checks that a VM that starts during a store outage gets its state from other VMs.
func TestStartWhileStoreIsAway(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 4, 3, eventInterval)
	c := newCluster(t, 129, 3, e)
	c.signal(2, syscall.SIGKILL)
	c.waitExit(2)
	c.store.setFault(func(string, string) fault { return faultBusy })
	c.start(2)
	c.waitReady(2)
	got := c.send(2, http.MethodPost, "/once/x", "away", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, wholeStream("away", 3))
}

// TestReload checks that SIGHUP applies changed settings, that invalid settings change nothing, and that a running
// request is not disturbed.
func TestReload(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 4, 20, 50*time.Millisecond)
	c := newCluster(t, 143, 1, e)
	got := make(chan answer, 1)
	go func() { got <- c.send(0, http.MethodPost, "/once/x", "r", "") }()
	c.writeSettings(0, map[string]any{"Log": map[string]any{"Level": "Debug"}})
	c.signal(0, syscall.SIGHUP)
	c.waitFor("settings reloaded", func() bool {
		return strings.Contains(c.logs[0].String(), "msg=\"settings reloaded\"")
	})
	c.writeSettings(0, map[string]any{"Log": map[string]any{"Level": "Loud"}})
	c.signal(0, syscall.SIGHUP)
	c.waitFor("invalid settings reported", func() bool {
		return strings.Contains(c.logs[0].String(), "msg=\"settings not applied\"")
	})
	assert.Equal(t, (<-got).body, wholeStream("r", 20))
}

// TestVMsLostForGood guards against VMs that each choose themselves as the steward once the VMs that rank highest, and are still
// listed, no longer exist.
func TestVMsLostForGood(t *testing.T) {
	t.Parallel()
	const vms, lost = 18, 14
	c := newCluster(t, 59, vms, newEngineStandin("e0", 4, 5, eventInterval))
	live := map[int]bool{}
	for vm := range vms {
		live[vm] = true
	}
	// agreed returns the steward of all living VMs, or -1 if they have several.
	agreed := func() int {
		steward := -1
		for vm := range live {
			if chosen := c.steward(vm); steward >= 0 && chosen != steward || !live[chosen] {
				return -1
			} else {
				steward = chosen
			}
		}
		return steward
	}
	for range lost {
		c.waitFor("one steward", func() bool { return agreed() >= 0 })
		// A VM without power does not refuse connections.
		steward := agreed()
		c.signal(steward, syscall.SIGSTOP)
		delete(live, steward)
	}
	for vm := range live {
		c.signal(vm, syscall.SIGKILL)
		c.waitExit(vm)
		c.start(vm)
	}
	for vm := range live {
		c.waitReady(vm)
	}
	time.Sleep(5 * time.Second)
	for n := range 20 {
		assert.Assert(t, agreed() >= 0, "several stewards")
		for vm := range live {
			got := c.send(vm, http.MethodPost, "/once/x", fmt.Sprintf("%d-%d", vm, n), "")
			assert.Equal(t, got.status, http.StatusOK)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
