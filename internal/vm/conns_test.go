package vm

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/route"
)

// TestConnReaper checks which connections are closed. The headers of a further request on a connection used to
// be bounded by the limit for idle connections.
func TestConnReaper(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	limits := route.Limits{
		HeaderTime: 10 * time.Second,
		IdleTime:   30 * time.Second,
	}
	cases := map[string]struct {
		sent string
		// later is sent once the answer to sent has arrived.
		later string
		// inProgress means that the request sent is not answered.
		inProgress bool
		// age is how long the connection has been in its state at the sweep.
		age    time.Duration
		closed bool
	}{
		"nothing sent":                     {age: 15 * time.Second, closed: true},
		"just opened":                      {},
		"part of the headers":              {sent: "GET / HTTP/1.1\r\nHo", age: 15 * time.Second, closed: true},
		"idle within the limit":            {sent: request, age: 15 * time.Second},
		"idle too long":                    {sent: request, age: 35 * time.Second, closed: true},
		"part of the second request":       {sent: request, later: "GET / HT", age: 15 * time.Second, closed: true},
		"request in progress":              {sent: "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", inProgress: true, age: 35 * time.Second},
		"body of a request being received": {sent: "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbo", inProgress: true, age: 35 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reaper := newConnReaper(nil, slog.New(slog.DiscardHandler))
			entered, release := make(chan struct{}), make(chan struct{})
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					close(entered)
					<-release
				}
			}))
			server.Config.ConnState = reaper.stateChanged
			server.Listener = reapedListener{
				Listener: server.Listener,
				reaper:   reaper,
			}
			server.Start()
			defer server.Close()
			defer close(release)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() {
				_ = conn.Close()
			}()
			_, err = io.WriteString(conn, c.sent)
			assert.NilError(t, err)
			if c.inProgress {
				<-entered
			} else if c.sent == request {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
			}
			_, err = io.WriteString(conn, c.later)
			assert.NilError(t, err)
			// The server learns of the connection and of what was sent some time later.
			closed := false
			for until := time.Now().Add(closeWait(c.closed)); !closed && time.Now().Before(until); {
				reaper.sweep(time.Now().Add(c.age), limits)
				assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
				_, err = io.Copy(io.Discard, conn)
				closed = !errors.Is(err, os.ErrDeadlineExceeded)
			}
			assert.Equal(t, closed, c.closed)
		})
	}
}

// closeWait returns how long a connection that must be closed may stay open, and how long one that must stay open is
// watched.
func closeWait(closed bool) time.Duration {
	if closed {
		return 10 * time.Second
	}
	return 200 * time.Millisecond
}
