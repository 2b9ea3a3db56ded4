package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateRequest is a request to a VM that is being stopped. Its times count from the SIGTERM.
type lateRequest struct {
	path string
	body string
	// dial is when the connection is opened, head when the headers are sent, and end when the last byte is.
	dial, head, end time.Duration
}

// sendLate sends the request and returns its answer. The status is zero if there is none, or if it is not complete.
func (c *cluster) sendLate(vm int, id string, l lateRequest, stopped time.Time) answer {
	time.Sleep(time.Until(stopped.Add(l.dial)))
	conn, err := net.Dial("tcp", c.address(11+vm, portCallers))
	if err != nil {
		return answer{
			err: err,
		}
	}
	defer func() {
		_ = conn.Close()
	}()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 20000\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		l.path, routeHost, id, len(l.body))
	last := len(l.body) - 1
	time.Sleep(time.Until(stopped.Add(l.head)))
	if _, err := io.WriteString(conn, head+l.body[:last]); err != nil {
		return answer{
			err: err,
		}
	}
	time.Sleep(time.Until(stopped.Add(l.end)))
	if _, err := io.WriteString(conn, l.body[last:]); err != nil {
		return answer{
			err: err,
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{
			err: err,
		}
	}
	defer func() {
		_ = response.Body.Close()
	}()
	data, err := io.ReadAll(response.Body)
	got := answer{
		status: response.StatusCode,
		header: response.Header,
		body:   string(data),
		err:    err,
	}
	if err != nil {
		got.status = 0
	}
	return got
}

// TestLateRequestsOfAStop guards against requests that a VM takes and passes on late in a stop, and cuts at its end. A request
// whose last byte comes later than 3 s after SIGTERM gets a whole answer, or a refusal, and then has not run. One that came before
// is also answered, unless its answer has begun.
func TestLateRequestsOfAStop(t *testing.T) {
	t.Parallel()
	long := newEngineStandin("long", 60, 40, 50*time.Millisecond)
	c := newPlatform(t, 169, long)
	busy := newEngineStandin("busy", 1, 100, 60*time.Millisecond)
	c.serve(c.address(102, portEngine), busy)
	c.store.put("servers", "busy", map[string]any{
		"service": "busy", "address": c.address(102, portEngine), "zone": "a", "slots": 1, "state": "ready",
	})
	silent := newEngineStandin("silent", 60, 1, time.Hour)
	c.serve(c.address(103, portEngine), silent)
	c.store.put("servers", "silent", map[string]any{
		"service": "silent", "address": c.address(103, portEngine), "zone": "a", "slots": 60, "state": "ready",
	})
	c.configure([]map[string]any{
		{"name": "plain", "host": routeHost, "pathPrefix": "/plain/", "kind": "idempotent", "service": "llm", "timeoutMs": 20000, "targetLatencyMs": 4000, "maxAttempts": 2},
		{"name": "single", "host": routeHost, "pathPrefix": "/single/", "kind": "non_idempotent", "service": "llm", "timeoutMs": 20000, "targetLatencyMs": 4000, "maxAttempts": 1},
		{"name": "busy", "host": routeHost, "pathPrefix": "/busy/", "kind": "non_idempotent", "service": "busy", "timeoutMs": 20000, "targetLatencyMs": 20000, "maxAttempts": 1},
		{"name": "silent", "host": routeHost, "pathPrefix": "/silent/", "kind": "non_idempotent", "service": "silent", "timeoutMs": 20000, "targetLatencyMs": 300, "maxAttempts": 1},
	})
	c.startAll(2)
	const second = time.Second
	requests := map[string]lateRequest{
		"running":     {path: "/silent/x", body: "b", dial: 0, head: 100 * time.Millisecond, end: 100 * time.Millisecond},
		"holds-slot":  {path: "/busy/x", body: "b", dial: 0, head: 0, end: 0},
		"waits":       {path: "/busy/x", body: "b", dial: 0, head: 500 * time.Millisecond, end: 500 * time.Millisecond},
		"waits-later": {path: "/busy/x", body: "b", dial: 0, head: 2 * second, end: 2 * second},
		"job":         {path: "/jobs/x", body: jobBody("job", 2, "b", 10), dial: 2 * second, head: 4 * second, end: 4 * second},
	}
	for _, kind := range []string{"once", "resumable", "plain", "single"} {
		for _, at := range []time.Duration{3200 * time.Millisecond, 4 * second, 5 * second, 6 * second, 6500 * time.Millisecond} {
			name := fmt.Sprintf("%s-%d", kind, at.Milliseconds())
			path := "/" + kind + "/x"
			requests[name+"-old"] = lateRequest{path: path, body: "bb", dial: -100 * time.Millisecond, head: at, end: at}
			requests[name+"-new"] = lateRequest{path: path, body: "bb", dial: 1500 * time.Millisecond, head: at, end: at}
			requests[name+"-slow"] = lateRequest{path: path, body: "bb", dial: 500 * time.Millisecond, head: second, end: at}
		}
	}
	stopped := time.Now().Add(200 * time.Millisecond)
	var callers sync.WaitGroup
	for id, l := range requests {
		callers.Go(func() {
			got := c.sendLate(0, id, l, stopped)
			runs := 0
			for _, e := range []*engineStandin{long, busy, silent} {
				runs += e.get(func(e *engineStandin) int { return e.arrivals[id] })
			}
			switch {
			case got.status == http.StatusOK:
				events := long.events
				if strings.HasPrefix(l.path, "/busy/") {
					events = busy.events
				}
				assert.Check(t, got.body == wholeStream(id, events), "%s: %q", id, got.body)
			case got.status == http.StatusServiceUnavailable:
				assert.Check(t, runs == 0, "%s: refused, but %d runs", id, runs)
				assert.Check(t, got.header.Get("Retry-After") != "", "%s: no time to retry", id)
			case id == "running" || id == "holds-slot":
				assert.Check(t, got.status == http.StatusGatewayTimeout, "%s: status %d, %v", id, got.status, got.err)
			default:
				assert.Check(t, false, "%s: status %d, %v, %d runs", id, got.status, got.err, runs)
			}
		})
	}
	time.Sleep(time.Until(stopped))
	c.signal(0, syscall.SIGTERM)
	callers.Wait()
	c.waitExit(0)
	assert.Check(t, time.Since(stopped) < rollingGrace)
}
