package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/route"
)

// TestStop guards against requests that are cut without an answer when a VM stops, and against requests that are sent so late that
// they would be.
func TestStop(t *testing.T) {
	once := resumableRoute
	once.Kind = route.KindOnce
	once.Resumable = false
	once.Timeout = 20 * time.Second
	stream := resumableRoute
	stream.Timeout = 20 * time.Second
	stream.Attempts = 1
	silent := func(_ string, _ *http.Request, conn net.Conn) {
		_, _ = io.Copy(io.Discard, conn)
	}
	cases := map[string]struct {
		route  route.Route
		answer func(id string, request *http.Request, conn net.Conn)
		// waits means that the request waits for the slot of another one, late that it arrives after sending has ended.
		waits, late bool
		status      int
		runs        int64
	}{
		"waits for a slot":     {route: once, answer: silent, waits: true, status: http.StatusServiceUnavailable, runs: 1},
		"arrives late":         {route: once, answer: silent, late: true, status: http.StatusServiceUnavailable},
		"late stream":          {route: stream, answer: silent, late: true, status: http.StatusServiceUnavailable},
		"waits for its answer": {route: once, answer: silent, status: http.StatusGatewayTimeout, runs: 1},
		"waits for its events": {route: stream, answer: silent, status: http.StatusGatewayTimeout, runs: 1},
		"a stream that has begun": {
			route: stream,
			answer: func(id string, request *http.Request, conn net.Conn) {
				_, _ = io.WriteString(conn, answerHead(id)+soundBody[:15])
				silent(id, request, conn)
			},
			runs: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, connections := rawServer(t, c.answer)
			w := newWorld(t, c.route, 0, 1, address)
			if c.waits {
				go w.sendAndDiscard("first")
				for connections.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			if c.late {
				w.forwarder.EndSending()
			}
			answers := make(chan callerAnswer, 1)
			go func() { answers <- w.send(t, "id") }()
			time.Sleep(200 * time.Millisecond)
			w.forwarder.EndSending()
			if !c.waits && !c.late {
				select {
				case got := <-answers:
					t.Fatal(fmt.Sprint("ended with the sending: ", got))
				case <-time.After(200 * time.Millisecond):
				}
				w.forwarder.EndAnswering()
			}
			var got callerAnswer
			select {
			case got = <-answers:
			case <-time.After(time.Second):
				t.Fatal("not ended")
			}
			assert.Equal(t, got.cut, c.status == 0)
			if c.status != 0 {
				assert.Equal(t, got.status, c.status)
			}
			assert.Equal(t, connections.Load(), c.runs)
			w.forwarder.EndAnswering()
		})
	}
}
