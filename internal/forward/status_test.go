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

// routesOfKinds returns a route for requests of each kind that is forwarded.
func routesOfKinds() map[string]route.Route {
	once := resumableRoute
	once.Kind = route.KindOnce
	once.Resumable = false
	onceStream := resumableRoute
	onceStream.Resumable = false
	plain := resumableRoute
	plain.Kind = route.KindIdempotent
	return map[string]route.Route{
		"once":             once,
		"stream once":      onceStream,
		"plain":            plain,
		"resumable stream": resumableRoute,
	}
}

// TestInvalidStatus guards against statuses that are none and reach the caller, or that end the request without any answer and
// keep its slot.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "+20", "101", "600", "999"} {
		for name, rt := range routesOfKinds() {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				head := func(id, status string) string {
					return fmt.Sprintf("HTTP/1.1 %s Text\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", status, idHeader, id, len(soundBody))
				}
				troubled, connections := rawServer(t, func(id string, _ *http.Request, conn net.Conn) {
					_, _ = io.WriteString(conn, head(id, status)+soundBody)
				})
				sound, _ := rawServer(t, func(id string, _ *http.Request, conn net.Conn) {
					_, _ = io.WriteString(conn, head(id, "200")+soundBody)
				})
				// Each endpoint has one slot, which is free again for the next request.
				w := newWorld(t, rt, 0, 1, troubled, sound)
				began := time.Now()
				for n := 0; connections.Load() < 2; n++ {
					// A troubled endpoint is avoided for a time.
					assert.Assert(t, time.Since(began) < 20*time.Second)
					before := connections.Load()
					got := w.send(t, fmt.Sprint("id", n))
					assert.Assert(t, !got.cut, "no answer to request %d", n)
					if connections.Load() > before && !rt.Repeatable() {
						assert.Equal(t, got.status, http.StatusBadGateway)
						continue
					}
					assert.Equal(t, got.status, http.StatusOK)
					assert.Equal(t, got.body, soundBody)
				}
			})
		}
	}
}

// TestRedirectIsForwarded guards against redirects that are lost because their location is not valid. It is for the caller.
func TestRedirectIsForwarded(t *testing.T) {
	rt := resumableRoute
	rt.Kind = route.KindOnce
	for _, location := range []string{"/elsewhere", "://nowhere", "%zz", ""} {
		t.Run(location, func(t *testing.T) {
			address, _ := rawServer(t, func(id string, _ *http.Request, conn net.Conn) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 302 Found\r\n%s: %s\r\nLocation: %s\r\nContent-Length: 4\r\n\r\nbody", idHeader, id, location)
			})
			w := newWorld(t, rt, 0, 1, address)
			request, err := http.NewRequest(http.MethodPost, w.callers.URL+"/p/x", http.NoBody)
			assert.NilError(t, err)
			request.Header.Set(idHeader, "id")
			response, err := http.DefaultTransport.RoundTrip(request)
			assert.NilError(t, err)
			defer func() {
				_ = response.Body.Close()
			}()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusFound)
			assert.Equal(t, string(body), "body")
		})
	}
}
