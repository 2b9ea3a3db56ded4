package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessAnswers holds what an engine sends at first and then repeats until the connection closes. ID stands for the
// request's id.
var endlessAnswers = []struct {
	first  string
	repeat string
}{
	{first: "HTTP/1.1 200 OK\r\nA: ", repeat: "x"},
	{first: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n", repeat: "A: b\r\n"},
	{repeat: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	{first: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n\r\n", repeat: "x"},
	{first: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n\r\n", repeat: "\n"},
	{first: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n\r\n", repeat: ": x\n\n"},
	{first: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n\r\nid: 1\n", repeat: "data: x\n"},
	{first: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n\r\n", repeat: "data: x\n\n"},
	{first: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "0"},
	{first: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n1;", repeat: "a=b;"},
	{first: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", repeat: "A: b\r\n"},
	{first: "HTTP/1.1 503 Full\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\n\r\n", repeat: "x"},
	{first: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Encoding: gzip\r\n\r\n", repeat: "x"},
}

// rawAnswer answers a request, whose headers have been read, on its connection.
type rawAnswer func(request *http.Request, conn *net.TCPConn)

// serveRaw answers each connection at the address and then closes it. The receive buffers have the given size in bytes, or that of
// the system for zero.
func (c *cluster) serveRaw(address string, receiveBuffer int, answer rawAnswer) {
	c.t.Helper()
	config := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error {
			if receiveBuffer == 0 {
				return nil
			}
			return raw.Control(func(descriptor uintptr) {
				_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		},
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() {
		_ = listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() {
					_ = conn.Close()
				}()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					answer(request, conn.(*net.TCPConn))
				}
			}()
		}
	}()
}

// serveEndless answers each connection at the address with endless bytes.
func (c *cluster) serveEndless(address string, first, repeat string) {
	c.t.Helper()
	data := []byte(strings.Repeat(repeat, 1+(16<<10)/len(repeat)))
	c.serveRaw(address, 0, func(request *http.Request, conn *net.TCPConn) {
		_, err := io.WriteString(conn, strings.ReplaceAll(first, "ID", request.Header.Get("X-Attempt-Id")))
		for err == nil {
			_, err = conn.Write(data)
		}
	})
}

// putEndlessEngines lists engines that send bytes without end.
func (c *cluster) putEndlessEngines(count int) {
	c.t.Helper()
	for n := range count {
		answer := endlessAnswers[n%len(endlessAnswers)]
		address := c.address(120+n, portEngine)
		c.serveEndless(address, answer.first, answer.repeat)
		c.store.put("servers", fmt.Sprint("endless-", n), map[string]any{
			"service": "llm", "address": address, "zone": "a", "slots": 2, "state": "ready",
		})
	}
}

// peakMemoryMB returns the highest resident memory of a VM's process so far.
func (c *cluster) peakMemoryMB(vm int) int {
	c.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.processes[vm].command.Process.Pid))
	assert.NilError(c.t, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			assert.NilError(c.t, err)
			return kilobytes >> 10
		}
	}
	c.t.Fatal("no VmHWM")
	return 0
}

// TestEndlessAnswersOfEngines checks that a VM stays within the memory of the smallest VMs while 100 of 101 engines send
// bytes without end to requests and items, and that no caller gets an answer that looks complete and is not the sound
// engine's.
func TestEndlessAnswersOfEngines(t *testing.T) {
	t.Parallel()
	const engines, requests, maxMemoryMB = 100, 200, 160
	sound := newEngineStandin("sound", 8, 3, eventInterval)
	c := newPlatform(t, 118, sound)
	c.putEndlessEngines(engines)
	c.startAll(1)
	assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 10, "b", 10)).status, http.StatusAccepted)
	var callers sync.WaitGroup
	begun := time.Now()
	for n := range requests {
		callers.Go(func() {
			id := fmt.Sprint("r", n)
			path := []string{"/resumable/x", "/once/x"}[n%2]
			request := c.request(0, http.MethodPost, path, id, "")
			request.Header.Set("X-Deadline-Ms", "3000")
			got := doRequest(http.DefaultClient, request)
			if got.err == nil && got.status == http.StatusOK {
				assert.Check(t, got.body == wholeStream(id, 3), "%s: %d bytes look complete", id, len(got.body))
			}
		})
	}
	callers.Wait()
	assert.Check(t, time.Since(begun) < 5*time.Second)
	peak := c.peakMemoryMB(0)
	t.Logf("peak of the VM's resident memory: %d MB", peak)
	assert.Check(t, peak < maxMemoryMB)
}

// TestEndlessAnswersToItems checks that a batch job completes although one engine after the other sends bytes without
// end.
func TestEndlessAnswersToItems(t *testing.T) {
	t.Parallel()
	sound := newEngineStandin("sound", 8, 3, eventInterval)
	c := newPlatform(t, 119, sound)
	c.putEndlessEngines(len(endlessAnswers))
	c.startAll(1)
	assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 6, "b", 10)).status, http.StatusAccepted)
	c.waitResults(0, "j", 6, 3)
}

// serveEndlessEvents answers each connection at the address with numbered events, as a sound engine sends them, until it is closed.
func (c *cluster) serveEndlessEvents(address string) {
	c.t.Helper()
	data := strings.Repeat("x", 1000)
	c.serveRaw(address, 0, func(request *http.Request, conn *net.TCPConn) {
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+request.Header.Get("X-Attempt-Id")+"\r\nContent-Type: text/event-stream\r\n\r\n")
		for err == nil {
			last++
			_, err = fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", last, data)
		}
	})
}

// TestEndlessAnswersOnAllRoutes guards against a VM that runs out of memory, and ends the requests of others, because engines send
// answers without end to requests of all kinds, whose callers take them slowly, and to items.
func TestEndlessAnswersOnAllRoutes(t *testing.T) {
	t.Parallel()
	const engines, requests, maxMemoryMB = 60, 120, 160
	c := newPlatform(t, 168, newEngineStandin("sound", 8, 3, eventInterval))
	other := newEngineStandin("other", 8, 3, eventInterval)
	c.serve(c.address(102, portEngine), other)
	c.store.put("servers", "other", map[string]any{
		"service": "other", "address": c.address(102, portEngine), "zone": "a", "slots": 8, "state": "ready",
	})
	c.putEndlessEngines(engines)
	for n := range engines {
		address := c.address(180+n, portEngine)
		c.serveEndlessEvents(address)
		c.store.put("servers", fmt.Sprint("events-", n), map[string]any{
			"service": "llm", "address": address, "zone": "a", "slots": 2, "state": "ready",
		})
	}
	c.configure([]map[string]any{
		{"name": "plain", "host": routeHost, "pathPrefix": "/plain/", "kind": "idempotent", "service": "llm", "timeoutMs": 4000, "targetLatencyMs": 300, "maxAttempts": 3},
		{"name": "single", "host": routeHost, "pathPrefix": "/single/", "kind": "non_idempotent", "service": "llm", "timeoutMs": 4000, "targetLatencyMs": 300, "maxAttempts": 1},
		{"name": "other", "host": routeHost, "pathPrefix": "/other/", "kind": "idempotent", "service": "other", "timeoutMs": 4000, "targetLatencyMs": 300, "maxAttempts": 1},
	})
	c.extraSettings = func(int) map[string]any {
		return map[string]any{"Limits": map[string]any{"MemoryMB": maxMemoryMB}}
	}
	c.startAll(1)
	for n := range 4 {
		id := fmt.Sprint("j", n)
		assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", id, jobBody(id, 30, "b", 10)).status, http.StatusAccepted)
	}
	var callers sync.WaitGroup
	for n := range requests {
		callers.Go(func() {
			path := []string{"/resumable/x", "/once/x", "/plain/x", "/single/x"}[n%4]
			request := c.request(0, http.MethodPost, path, fmt.Sprint("r", n), "")
			request.Header.Set("X-Deadline-Ms", "4000")
			response, err := client.Do(request)
			if err != nil {
				return
			}
			defer func() { _ = response.Body.Close() }()
			// Some callers take nothing of the answer, others all of it.
			if n%8 < 4 {
				time.Sleep(3 * time.Second)
			}
			_, _ = io.Copy(io.Discard, response.Body)
		})
	}
	unanswered := 0
	for n := range 40 {
		id := fmt.Sprint("o", n)
		got := c.send(0, http.MethodPost, "/other/x", id, "")
		if got.err != nil || got.status != http.StatusOK || got.body != wholeStream(id, 3) {
			unanswered++
			t.Logf("%s: status %d, %v", id, got.status, got.err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	peak := c.peakMemoryMB(0)
	t.Logf("peak of the VM's resident memory: %d MB; %d requests for another service not answered", peak, unanswered)
	assert.Check(t, peak < maxMemoryMB)
	assert.Check(t, unanswered == 0)
}
