package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/route"
)

// upload sends a request with the id and a body of the size, and returns the answer.
func (w *world) upload(t *testing.T, id string, size int) callerAnswer {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, w.callers.URL+"/p/x", strings.NewReader(strings.Repeat("q", size)))
	assert.NilError(t, err)
	request.Header.Set(idHeader, id)
	return w.do(request)
}

// TestResetDuringUpload guards against answers that look whole although the endpoint reset the connection before their end, and
// against answers that are whole and get lost, while the request's body is still being sent.
func TestResetDuringUpload(t *testing.T) {
	const size, rounds = 6 << 20, 15
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	head := func(id string, lines ...string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n", idHeader, id, strings.Join(lines, ""))
	}
	once := resumableRoute
	once.Kind = route.KindOnce
	once.Resumable = false
	stream := resumableRoute
	stream.Resumable = false
	cases := map[string]struct {
		route  route.Route
		answer func(id string, conn *net.TCPConn, pause time.Duration)
		// body is the whole answer, or empty if there must be none that looks whole.
		body string
	}{
		"part of an answer without length": {
			route: once,
			answer: func(id string, conn *net.TCPConn, pause time.Duration) {
				_, _ = io.WriteString(conn, head(id)+"part")
				time.Sleep(pause)
				reset(conn)
			},
		},
		"headers of an answer without length": {
			route: once,
			answer: func(id string, conn *net.TCPConn, pause time.Duration) {
				_, _ = io.WriteString(conn, head(id))
				time.Sleep(pause)
				reset(conn)
			},
		},
		"part of a stream without length": {
			route: stream,
			answer: func(id string, conn *net.TCPConn, pause time.Duration) {
				_, _ = io.WriteString(conn, head(id, "Content-Type: text/event-stream\r\n")+soundBody[:30])
				time.Sleep(pause)
				reset(conn)
			},
		},
		"closed with the body unread": {
			route: once,
			answer: func(id string, conn *net.TCPConn, pause time.Duration) {
				_, _ = io.WriteString(conn, head(id)+"part")
				time.Sleep(pause)
				// More has arrived than is read, so that closing the connection resets it.
				_, _ = conn.Read(make([]byte, 1))
			},
		},
		"whole answer without length": {
			route: once,
			answer: func(id string, conn *net.TCPConn, pause time.Duration) {
				_, _ = io.WriteString(conn, head(id)+"body")
				_ = conn.CloseWrite()
				time.Sleep(pause)
				_, _ = io.Copy(io.Discard, conn)
			},
			body: "body",
		},
		"whole answer without length, body never read": {
			route: once,
			answer: func(id string, conn *net.TCPConn, _ time.Duration) {
				_, _ = io.WriteString(conn, head(id)+"body")
				_ = conn.CloseWrite()
				time.Sleep(time.Second)
			},
			body: "body",
		},
		"whole answer with length": {
			route: once,
			answer: func(id string, conn *net.TCPConn, pause time.Duration) {
				_, _ = io.WriteString(conn, head(id, "Content-Length: 4\r\n")+"body")
				time.Sleep(pause)
				reset(conn)
			},
			body: "body",
		},
		"whole answer in chunks": {
			route: stream,
			answer: func(id string, conn *net.TCPConn, pause time.Duration) {
				_, _ = io.WriteString(conn, head(id, "Content-Type: text/event-stream\r\n", "Transfer-Encoding: chunked\r\n")+
					fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(soundBody), soundBody))
				time.Sleep(pause)
				reset(conn)
			},
			body: soundBody,
		},
	}
	for name, c := range cases {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", pause), func(t *testing.T) {
				t.Parallel()
				address, _ := earlyServer(t, func(id string, _ *http.Request, conn *net.TCPConn) {
					c.answer(id, conn, pause)
				})
				w := newWorld(t, c.route, 0, 1, address)
				wrong := map[string]int{}
				for n := range rounds {
					got := w.upload(t, fmt.Sprint("id", n), size)
					whole := !got.cut && got.status == http.StatusOK
					if c.body == "" && whole || c.body != "" && (!whole || got.body != c.body) {
						wrong[fmt.Sprintf("status %d, cut %v, %q", got.status, got.cut, got.body)]++
					}
				}
				assert.Equal(t, len(wrong), 0, "%v of %d", wrong, rounds)
			})
		}
	}
}
