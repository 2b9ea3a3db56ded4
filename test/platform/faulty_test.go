package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// faultyAnswer is what an engine sends as soon as the headers of a request have arrived, and how it ends the connection. ID stands
// for the request's id.
type faultyAnswer struct {
	sends string
	// pause is the time until the connection is closed, reset that it is reset then.
	pause time.Duration
	reset bool
}

const (
	faultyHead   = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Signature: faulty\r\nContent-Type: text/event-stream\r\n"
	faultyEvents = "id: 1\ndata: ID-1\n\nid: 2\ndata: ID-2\n\n"
)

// faultyAnswers holds, by the kind of fault, answers that are none or not whole. The sound answer has three events.
var faultyAnswers = map[string][]faultyAnswer{
	"reset while the body is sent": {
		{sends: faultyHead + "\r\n" + faultyEvents, reset: true},
		{sends: faultyHead + "\r\n" + faultyEvents, reset: true, pause: time.Millisecond},
		{sends: faultyHead + "\r\n" + faultyEvents, reset: true, pause: 10 * time.Millisecond},
		{sends: faultyHead + "\r\n" + faultyEvents, reset: true, pause: 50 * time.Millisecond},
		{sends: faultyHead + "\r\n", reset: true, pause: 2 * time.Millisecond},
	},
	"status that is none": {
		{sends: strings.Replace(faultyHead, "200", "000", 1) + "\r\n" + faultyEvents, pause: 10 * time.Millisecond},
		{sends: strings.Replace(faultyHead, "200", "+20", 1) + "\r\n" + faultyEvents, pause: 10 * time.Millisecond},
		{sends: strings.Replace(faultyHead, "200", "999", 1) + "\r\n" + faultyEvents, pause: 10 * time.Millisecond},
		{sends: strings.Replace(faultyHead, "200", "101", 1) + "\r\n" + faultyEvents, pause: 10 * time.Millisecond},
	},
	"end within the head": {
		{sends: faultyHead},
		{sends: faultyHead + "\r"},
		{sends: faultyHead + "Content-Length: 3"},
		{sends: "HTTP/1.1 200 O"},
		{sends: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	},
}

// serveFaulty answers each connection at the address. The receive buffers are small, so that a large body is still being sent when
// the connection is reset.
func (c *cluster) serveFaulty(address string, answer faultyAnswer) {
	c.t.Helper()
	const receiveBuffer = 4 << 10
	c.serveRaw(address, receiveBuffer, func(request *http.Request, conn *net.TCPConn) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(answer.sends, "ID", request.Header.Get("X-Attempt-Id")))
		if !answer.reset {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		time.Sleep(answer.pause)
		if answer.reset {
			_ = conn.SetLinger(0)
		}
	})
}

// TestFaultyAnswersOfEngines guards against answers of faulty engines that reach a caller, or a job's results, as whole ones, and
// against requests that end without any answer. The bodies are large, so that resets come while they are being sent.
func TestFaultyAnswersOfEngines(t *testing.T) {
	for name, subnet := range map[string]int{
		"reset while the body is sent": 165,
		"status that is none":          166,
		"end within the head":          167,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newPlatform(t, subnet, newEngineStandin("sound", 8, 3, eventInterval))
			c.maxBodyBytes = 8 << 20
			c.configure([]map[string]any{
				{"name": "plain", "host": routeHost, "pathPrefix": "/plain/", "kind": "idempotent", "service": "llm", "timeoutMs": 20000, "targetLatencyMs": 300, "maxAttempts": 3},
				{"name": "single", "host": routeHost, "pathPrefix": "/single/", "kind": "non_idempotent", "service": "llm", "timeoutMs": 20000, "targetLatencyMs": 300, "maxAttempts": 1},
			})
			for n, answer := range faultyAnswers[name] {
				address := c.address(120+n, portEngine)
				c.serveFaulty(address, answer)
				c.store.put("servers", fmt.Sprint("faulty-", n), map[string]any{
					"service": "llm", "address": address, "zone": "a", "slots": 2, "state": "ready",
				})
			}
			c.putEngineRow(0, "draining")
			c.startAll(1)
			c.checkAnswers(16, 40)
		})
	}
}

// checkAnswers sends jobs of one item and requests of all kinds, with large bodies. It checks that the results are whole, that
// requests get a whole answer of the sound engine or a failure, and that only streams are cut.
func (c *cluster) checkAnswers(jobs, requests int) {
	c.t.Helper()
	const maxConcurrent = 12
	body := strings.Repeat("b", 3<<20)
	for n := range jobs {
		id := fmt.Sprint("j", n)
		assert.Equal(c.t, c.send(0, http.MethodPost, "/jobs/x", id, jobBody(id, 1, body, 10)).status, http.StatusAccepted)
	}
	// The items are first sent to faulty engines only.
	time.Sleep(time.Second)
	c.putEngineRow(0, "ready")
	var callers sync.WaitGroup
	slots := make(chan struct{}, maxConcurrent)
	for n := range requests {
		callers.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			id := fmt.Sprint("r", n)
			path := []string{"/resumable/x", "/once/x", "/plain/x", "/single/x"}[n%4]
			got := c.send(0, http.MethodPost, path, id, body)
			switch {
			case got.status == http.StatusOK && got.err == nil:
				assert.Check(c.t, got.body == wholeStream(id, 3), "%s %s: %q looks whole", path, id, got.body)
			case got.status == http.StatusOK:
				// A stream that has begun is cut if no other attempt is allowed.
				assert.Check(c.t, path == "/resumable/x" || path == "/once/x", "%s %s: %v", path, id, got.err)
			default:
				assert.Check(c.t, got.status == http.StatusBadGateway || got.status == http.StatusServiceUnavailable, "%s %s: status %d, %v", path, id, got.status, got.err)
			}
		})
	}
	callers.Wait()
	for n := range jobs {
		c.waitResults(0, fmt.Sprint("j", n), 1, 3)
	}
}
