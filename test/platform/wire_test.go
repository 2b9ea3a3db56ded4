package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rawTimeout limits the wait for answers; an engine's answer takes about a tenth of it.
const rawTimeout = time.Second

// rawStatuses sends bytes to a VM on one connection and returns the statuses of the answers that arrive until the
// connection is closed or rawTimeout has passed.
func (c *cluster) rawStatuses(vm int, sent string) []int {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.address(11+vm, portCallers))
	assert.NilError(c.t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(c.t, conn.SetDeadline(time.Now().Add(rawTimeout)))
	_, err = io.WriteString(conn, sent)
	assert.NilError(c.t, err)
	var statuses []int
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		statuses = append(statuses, response.StatusCode)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// TestRequestsInRequests guards against request smuggling: it sends bytes that some HTTP parsers would read as two
// requests. The second request must never reach an engine.
func TestRequestsInRequests(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 4, 2, eventInterval)
	c := newCluster(t, 145, 1, e)
	hidden := "POST /once/x HTTP/1.1\r\nHost: " + routeHost + "\r\nX-Attempt-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		// headers follow the request line and the Host header, and include the empty line at their end.
		headers string
		body    string
		want    int
	}{
		"a request as a body": {
			headers: fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)), body: hidden, want: http.StatusOK,
		},
		"a request as a chunk": {
			headers: "Transfer-Encoding: chunked\r\n\r\n", body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden), want: http.StatusOK,
		},
		"a length and chunks": {
			headers: "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", body: "0\r\n\r\n" + hidden, want: http.StatusOK,
		},
		"chunks and a length": {
			headers: fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n", 5+len(hidden)), body: "0\r\n\r\n" + hidden, want: http.StatusOK,
		},
		"two lengths": {
			headers: "Content-Length: 0\r\nContent-Length: 5\r\n\r\n", body: hidden, want: http.StatusBadRequest,
		},
		"a list of lengths": {
			headers: "Content-Length: 0, 5\r\n\r\n", body: hidden, want: http.StatusBadRequest,
		},
		"a signed length": {
			headers: "Content-Length: +0\r\n\r\n", body: hidden, want: http.StatusBadRequest,
		},
		"a negative length": {
			headers: "Content-Length: -1\r\n\r\n", body: hidden, want: http.StatusBadRequest,
		},
		"an unknown coding": {
			headers: "Transfer-Encoding: xchunked\r\n\r\n", body: hidden, want: http.StatusNotImplemented,
		},
		"two codings": {
			headers: "Transfer-Encoding: chunked, identity\r\n\r\n", body: hidden, want: http.StatusNotImplemented,
		},
		"two Transfer-Encoding headers": {
			headers: "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", body: hidden, want: http.StatusNotImplemented,
		},
		"a space before the colon": {
			headers: "Transfer-Encoding : chunked\r\n\r\n", body: hidden, want: http.StatusBadRequest,
		},
		"a chunk size that overflows": {
			headers: "Transfer-Encoding: chunked\r\n\r\n", body: "10000000000000000\r\n\r\n" + hidden, want: http.StatusBadRequest,
		},
		"a chunk without its line end": {
			headers: "Transfer-Encoding: chunked\r\n\r\n", body: "1\r\naX0\r\n\r\n" + hidden, want: http.StatusBadRequest,
		},
		"a second host": {
			headers: "Host: other.example\r\nContent-Length: 0\r\n\r\n", body: hidden, want: http.StatusBadRequest,
		},
		"a header without a name": {
			headers: ": x\r\nContent-Length: 0\r\n\r\n", body: hidden, want: http.StatusBadRequest,
		},
		"a bare carriage return in a header": {
			headers: "X-A: b\rContent-Length: 5\r\nContent-Length: 0\r\n\r\n", body: hidden, want: http.StatusBadRequest,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			statuses := c.rawStatuses(0, "POST /once/x HTTP/1.1\r\nHost: "+routeHost+"\r\nX-Attempt-Id: outer "+name+"\r\n"+test.headers+test.body)
			assert.Equal(t, len(statuses), 1)
			assert.Equal(t, statuses[0], test.want)
			assert.Equal(t, e.get(func(e *engineStandin) int { return e.arrivals["hidden"] }), 0)
		})
	}
}

// TestSlowCallers checks that the VM closes the connections of callers that send nothing or stop sending halfway.
func TestSlowCallers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 146, 1, newEngineStandin("e0", 4, 2, eventInterval))
	c.limits = map[string]any{"maxHeaderBytes": 4096, "maxBodyBytes": c.maxBodyBytes, "headerTimeoutMs": 1000, "idleTimeoutMs": 1500}
	c.configure([]map[string]any{{
		"name": "hasty", "host": routeHost, "pathPrefix": "/hasty/", "kind": "stream", "service": "llm",
		"timeoutMs": 1500, "targetLatencyMs": 300, "maxAttempts": 1,
	}})
	request := func(path string, length int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: slow\r\nContent-Length: %d\r\n\r\n", path, routeHost, length)
	}
	cases := map[string]struct {
		sent string
		want string
	}{
		"nothing at all":           {sent: ""},
		"part of the headers":      {sent: "POST /once/x HTTP/1.1\r\nHost: "},
		"part of a body":           {sent: request("/hasty/x", 1<<19) + "a", want: "HTTP/1.1 408"},
		"nothing after an answer":  {sent: request("/once/x", 0), want: "HTTP/1.1 200"},
		"a length above the limit": {sent: request("/once/x", 1<<40), want: "HTTP/1.1 413"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", c.address(11, portCallers))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, test.sent)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
			got, err := io.ReadAll(conn)
			assert.NilError(t, err, "the connection is closed")
			assert.Assert(t, strings.HasPrefix(string(got), test.want), "%q", got)
		})
	}
}

// TestJobsAreApart checks that the ID of one job gives no access to another job.
func TestJobsAreApart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 147, 1, newEngineStandin("e0", 4, 2, eventInterval))
	for _, id := range []string{"mine", "theirs"} {
		assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", id, jobBody(id, 2, "body of "+id, 10)).status, http.StatusAccepted)
	}
	cases := map[string]struct {
		path string
		want int
	}{
		"an item of the job":                {path: "/items/theirs?id=theirs-item-0", want: http.StatusOK},
		"an item of another job":            {path: "/items/mine?id=theirs-item-0", want: http.StatusNotFound},
		"an item of another job by a path":  {path: "/items/mine/../theirs?id=theirs-item-0", want: http.StatusNotFound},
		"an item of another job by escapes": {path: "/items/mine%2F..%2Ftheirs?id=theirs-item-0", want: http.StatusNotFound},
		"a key of the store":                {path: "/items/mine%2F000?id=theirs-item-0", want: http.StatusNotFound},
		"results by a key":                  {path: "/lots/theirs%2F?after=0", want: http.StatusNotFound},
		"results by part of an id":          {path: "/lots/their?after=0", want: http.StatusNotFound},
		"the next id in order":              {path: "/lots/theirs0?after=0", want: http.StatusNotFound},
		"the end of a part":                 {path: "/lots/?after=0", want: http.StatusNotFound},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			got := c.send(0, http.MethodGet, test.path, "", "")
			assert.Equal(t, got.status, test.want, got.body)
			assert.Assert(t, test.want == http.StatusOK || !strings.Contains(got.body, "theirs"), got.body)
		})
	}
	c.waitResults(0, "theirs", 2, 2)
}

// TestStrangersAreNotPeers checks that the peer address gives nothing but a nonce to clients that lack the secret.
func TestStrangersAreNotPeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 148, 1, newEngineStandin("e0", 4, 2, eventInterval))
	for name, sent := range map[string]string{
		"HTTP":             "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"a guess":          strings.Repeat("a", 32),
		"a guess and more": strings.Repeat("a", 32) + strings.Repeat("call", 64),
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", c.address(11, portPeers))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
			_, err = io.WriteString(conn, sent)
			assert.NilError(t, err)
			// The VM sends at most its nonce of 16 bytes.
			got, _ := io.ReadAll(conn)
			assert.Assert(t, len(got) <= 16, "%q", got)
		})
	}
	c.waitReady(0)
}
