package endpoint_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/request"
)

// closingServer answers the first request of each connection, but closes the connection after reading a second one.
func closingServer(t *testing.T) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveOnce(conn, requests)
		}
	}()
	return listener.Addr().String(), requests
}

func serveOnce(conn net.Conn, requests *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for answered := 0; ; answered++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		requests.Add(1)
		if answered > 0 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	}
}

// TestSendNeverRepeatsANonIdempotentRequest checks that a request whose connection is closed before the answer is not
// sent again. The standard transport resends such a request if it has an Idempotency-Key and no body.
func TestSendNeverRepeatsANonIdempotentRequest(t *testing.T) {
	cases := map[string]struct {
		body string
	}{
		"empty body": {
			body: "",
		},
		"body": {
			body: `{"Beacon":17}`,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			address, requests := closingServer(t)
			client := endpoint.NewClient()
			target := endpoint.Endpoint{
				ID:      "plain-1",
				Address: address,
			}
			const sent = 4
			for range sent {
				answer, err := client.Send(context.Background(), target, request.Request{
					ID:     request.NewID(),
					Method: http.MethodPost,
					Path:   "/confirm",
					Header: http.Header{
						"Idempotency-Key": {"beacon-17"},
					},
				}, []byte(tt.body))
				if err == nil {
					_, _ = answer.ReadBody()
					answer.Close()
				}
			}
			assert.Equal(t, requests.Load(), int64(sent))
		})
	}
}
