package vm

import (
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
		HeaderTime: 100 * time.Millisecond,
		IdleTime:   300 * time.Millisecond,
	}
	cases := map[string]struct {
		sent string
		// later is sent 20 ms later.
		later string
		// age is how long the connection waits before the sweep.
		age    time.Duration
		closed bool
	}{
		"nothing sent":                     {age: 150 * time.Millisecond, closed: true},
		"just opened":                      {age: 0},
		"part of the headers":              {sent: "GET / HTTP/1.1\r\nHo", age: 150 * time.Millisecond, closed: true},
		"idle within the limit":            {sent: request, age: 150 * time.Millisecond},
		"idle too long":                    {sent: request, age: 350 * time.Millisecond, closed: true},
		"part of the second request":       {sent: request, later: "GET / HT", age: 150 * time.Millisecond, closed: true},
		"request in progress":              {sent: "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", age: 350 * time.Millisecond},
		"body of a request being received": {sent: "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbo", age: 350 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reaper := newConnReaper(nil, slog.New(slog.DiscardHandler))
			release := make(chan struct{})
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
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
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(conn, c.later)
			assert.NilError(t, err)
			time.Sleep(c.age)
			reaper.sweep(time.Now(), limits)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
			_, err = io.Copy(io.Discard, conn)
			assert.Equal(t, !errors.Is(err, os.ErrDeadlineExceeded), c.closed)
		})
	}
}
