package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAnswerThatStopsInItsHead guards against answers that stop within their head, at any byte, and reach the caller as whole
// answers with an empty or a short body.
func TestAnswerThatStopsInItsHead(t *testing.T) {
	heads := map[string]string{
		"with length":         "HTTP/1.1 200 OK\r\n" + idHeader + ": IDN\r\nContent-Length: 120\r\n\r\n",
		"in chunks":           "HTTP/1.1 200 OK\r\n" + idHeader + ": IDN\r\nTransfer-Encoding: chunked\r\n\r\n",
		"without length":      "HTTP/1.1 200 OK\r\n" + idHeader + ": IDN\r\nContent-Type: text/event-stream\r\n\r\n",
		"line feeds only":     "HTTP/1.1 200 OK\n" + idHeader + ": IDN\nServer: x\n\n",
		"informational first": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + idHeader + ": IDN\r\n\r\n",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\n" + idHeader + ": IDN\r\n\r\n",
	}
	for name, head := range heads {
		for kind, rt := range routesOfKinds() {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				// The id of a request is the number of bytes that the endpoint sends.
				var stopped sync.Map
				address, _ := rawServer(t, func(id string, _ *http.Request, conn net.Conn) {
					stopped.Store(id, true)
					var stop int
					_, _ = fmt.Sscan(id, &stop)
					_, _ = io.WriteString(conn, strings.ReplaceAll(head, "IDN", id)[:stop])
				})
				w := newWorld(t, rt, 0, len(head), address)
				var callers sync.WaitGroup
				for stop := range len(head) {
					callers.Go(func() {
						id := fmt.Sprintf("%03d", stop)
						for seen := false; !seen; _, seen = stopped.Load(id) {
							got := w.send(t, id)
							assert.Check(t, got.cut || got.status >= http.StatusInternalServerError, "stopped at %q: status %d, %q", head[:stop], got.status, got.body)
						}
					})
				}
				callers.Wait()
			})
		}
	}
}
