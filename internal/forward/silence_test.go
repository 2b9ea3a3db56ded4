package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/route"
)

// sendPrompt sends a request whose headers state the size of its prompt, and returns the answer.
func (w *world) sendPrompt(t *testing.T, id string, tokens int) callerAnswer {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, w.callers.URL+"/p/x", strings.NewReader("question"))
	assert.NilError(t, err)
	request.Header.Set(idHeader, id)
	request.Header.Set(tokensHeader, strconv.Itoa(tokens))
	return w.do(request)
}

// TestLongPrompts guards against requests that are cut off at a sound endpoint while it reads a long prompt, and sent again to
// another one that reads it from the beginning. An endpoint that is silent to a request of the usual size is given up as before.
func TestLongPrompts(t *testing.T) {
	const reading = 1500 * time.Millisecond
	stream := resumableRoute
	plain := stream
	plain.Kind = route.KindIdempotent
	plain.Timeout = 3 * time.Second
	cases := map[string]struct {
		route  route.Route
		tokens int
		answer func(id string, conn net.Conn)
		body   string
		runs   int64
	}{
		"before the first event": {
			route:  stream,
			tokens: 75_000,
			answer: func(id string, conn net.Conn) {
				time.Sleep(reading)
				_, _ = io.WriteString(conn, answerHead(id, "Connection: close\r\n")+soundBody)
			},
			body: soundBody,
			runs: 1,
		},
		"after the headers": {
			route:  stream,
			tokens: 75_000,
			answer: func(id string, conn net.Conn) {
				_, _ = io.WriteString(conn, answerHead(id, "Connection: close\r\n"))
				time.Sleep(reading)
				_, _ = io.WriteString(conn, soundBody)
			},
			body: soundBody,
			runs: 1,
		},
		"again between two events": {
			route:  stream,
			tokens: 75_000,
			answer: func(id string, conn net.Conn) {
				_, _ = io.WriteString(conn, answerHead(id, "Connection: close\r\n")+soundBody[:15])
				time.Sleep(reading)
				_, _ = io.WriteString(conn, soundBody[15:])
			},
			body: soundBody,
			runs: 1,
		},
		"plain answer": {
			route:  plain,
			tokens: 75_000,
			answer: func(id string, conn net.Conn) {
				time.Sleep(reading)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", idHeader, id)
			},
			body: "body",
			runs: 1,
		},
		"short prompt": {
			route:  stream,
			tokens: 450,
			answer: func(id string, conn net.Conn) {
				time.Sleep(reading)
				_, _ = io.WriteString(conn, answerHead(id, "Connection: close\r\n")+soundBody)
			},
			body: soundBody,
			runs: 3,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := func(id string, _ *http.Request, conn net.Conn) {
				c.answer(id, conn)
			}
			one, first := rawServer(t, answer)
			two, second := rawServer(t, answer)
			w := newWorld(t, c.route, 0, 1, one, two)
			got := w.sendPrompt(t, "id", c.tokens)
			assert.Assert(t, !got.cut)
			assert.Equal(t, got.body, c.body)
			assert.Equal(t, first.Load()+second.Load(), c.runs)
		})
	}
}
