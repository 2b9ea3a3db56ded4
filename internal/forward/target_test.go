package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/inventory"
)

// TestTargetIsSentUnchanged guards against targets that reach an endpoint as another path or as an absolute address.
func TestTargetIsSentUnchanged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	lines := make(chan string, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadString('\n')
			lines <- strings.TrimSpace(line)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\nContent-Length: 0\r\n\r\n")
			_ = conn.Close()
		}
	}()
	for _, target := range []string{
		"/", "/a", "/a?", "/a?b=c?d", "/a%3Fb/%2f", "/a/../b", "/a//b", "/a;b=1/,:@!$&'()*+=",
		"//", "//a", "//a/b?c=//d", "//127.0.0.9:1/a", "//a?", "//user@host/a", "//a%2Fb%3f", "///a",
	} {
		t.Run(target, func(t *testing.T) {
			response, err := NewSender(plainHeaders{}).Open(context.Background(), inventory.Endpoint{
				Address: listener.Addr().String(),
			}, Call{
				ID:     "a",
				Method: http.MethodGet,
				Host:   "h",
				Target: target,
				Header: http.Header{},
			}, SendParams{})
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, <-lines, "GET "+target+" HTTP/1.1")
		})
	}
}
