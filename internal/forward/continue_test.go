package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestErrorWhereAStreamContinues guards against the text or head of an error in the middle of a caller's stream, and against
// streams that end there as if they were complete.
func TestErrorWhereAStreamContinues(t *testing.T) {
	whole := func(status, body string) func(id string) string {
		return func(id string) string {
			return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, idHeader, id, len(body), body)
		}
	}
	open := func(body string) func(id string) string {
		return func(id string) string {
			return answerHead(id, "Connection: close\r\n") + body
		}
	}
	tests := map[string]func(id string) string{
		"500":                       whole("500 Failed", "Internal error\n\n"),
		"500 with an event":         whole("500 Failed", "id: 2\ndata: error\n\n"),
		"404":                       whole("404 Not Found", "no such model\n\n"),
		"422":                       whole("422 Unprocessable", "{\"error\":\"odd\"}\n\n"),
		"302":                       whole("302 Found", "elsewhere\n\n"),
		"204":                       func(id string) string { return "HTTP/1.1 204 No Content\r\n" + idHeader + ": " + id + "\r\n\r\n" },
		"503, ends with connection": func(id string) string { return "HTTP/1.1 503 Full\r\n" + idHeader + ": " + id + "\r\n\r\nfull\n\n" },
		"rejection": func(string) string {
			return "HTTP/1.1 503 Full\r\n" + notRunHeader + ": 1\r\nContent-Length: 6\r\n\r\nfull\n\n"
		},
		"200 with a text":             whole("200 OK", "Internal error\n\n"),
		"200 with a text, open":       open("Internal error\n\n"),
		"200 with JSON":               whole("200 OK", "{\"error\": \"full\"}\n\n"),
		"200 with the head of an 503": whole("200 OK", "HTTP/1.1 503 Full\r\nDate: today\r\n\r\n"),
		"200 with nothing, open":      open(""),
		"200 with a comment, open":    open(": hello\n\n"),
		"no answer in the protocol":   func(string) string { return "Internal error\r\n\r\n" },
		"nothing":                     func(string) string { return "" },
	}
	for name, failure := range tests {
		for _, recovers := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, recovers %v", name, recovers), func(t *testing.T) {
				t.Parallel()
				var asked atomic.Int64
				address, _ := rawServer(t, func(id string, r *http.Request, conn net.Conn) {
					switch asked.Add(1) {
					case 1:
						_, _ = io.WriteString(conn, answerHead(id, "Content-Length: 1000\r\n")+soundBody[:15])
					case 3:
						if recovers {
							assert.Check(t, r.Header.Get("Resume-After") == "1")
							_, _ = io.WriteString(conn, answerHead(id, "Connection: close\r\n")+soundBody[15:])
							return
						}
						_, _ = io.WriteString(conn, failure(id))
					default:
						_, _ = io.WriteString(conn, failure(id))
					}
				})
				rt := resumableRoute
				rt.Attempts = 3
				w := newWorld(t, rt, 0, 8, address, address, address)
				got := w.send(t, "id")
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.cut, !recovers)
				if recovers {
					assert.Equal(t, got.body, soundBody)
				}
				assert.Assert(t, strings.HasPrefix(soundBody, got.body), "%q", got.body)
			})
		}
	}
}
