package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/settings"
)

// startRequest opens a connection to the first VM's gateway and sends the header and the first bytes of the body of a
// request.
func (c *cluster) startRequest(t *testing.T, path, header, body string, length int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", c.address(11, callerPort))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(readyTimeout)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", path, testKey, header, length, body)
	assert.NilError(t, err)
	return conn
}

// TestSlowCallersHoldNothingUp sends an incomplete body, sends a header that is too long, and does not read an answer.
// The gateway must end each of these requests.
func TestSlowCallersHoldNothingUp(t *testing.T) {
	t.Parallel()
	options := defaultCluster(59)
	options.vms = 1
	options.engines = 1
	options.engine.TokenInterval = 0
	options.customiseSettings = func(s *settings.Settings) {
		s.Timing.Body = settings.Duration(300 * time.Millisecond)
		s.Timing.Write = settings.Duration(300 * time.Millisecond)
	}
	c := newOnlineCluster(t, options)
	t.Run("slow body", func(t *testing.T) {
		conn := c.startRequest(t, "/v1/completions", "", "{", 1000)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
		assert.Equal(t, gjson.GetBytes(body, "error.code").String(), "request_timeout")
		assert.Equal(t, response.Header.Get(headerOutcome), "not run")
	})
	t.Run("long header", func(t *testing.T) {
		conn := c.startRequest(t, "/v1/completions", "X-Long: "+strings.Repeat("x", 100<<10)+"\r\n", "", 0)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("answer not taken", func(t *testing.T) {
		chat := completions["chat streamed"]
		body := strings.Replace(chat.body("Does it wait?"), fmt.Sprintf(`"max_tokens":%d`, answerTokens), `"max_tokens":100000000`, 1)
		c.startRequest(t, chat.path(), "", body, len(body))
		waitFor(t, "the run to be cancelled", readyTimeout, func() bool {
			for _, run := range c.engines[0].Record.Runs() {
				if run.Cancelled {
					return true
				}
			}
			return false
		})
	})
}
