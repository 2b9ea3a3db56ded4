package order

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/endpoint"
)

// TestFaultyEngines guards against engines whose answers have no end, or no status, and then fill the memory, keep an order waiting
// for its whole time, or count as answers.
func TestFaultyEngines(t *testing.T) {
	// The sockets hold some megabytes more than is read.
	const maxSent, maxTime = 50 << 20, time.Second
	ok := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	cases := map[string]struct {
		first  string
		repeat string
	}{
		"text in the body":        {first: ok + `{"State": "`, repeat: "x"},
		"blanks in the body":      {first: ok, repeat: " "},
		"blanks after the answer": {first: ok + `{"State": "Idle"}`, repeat: " "},
		"header":                  {first: "HTTP/1.1 200 OK\r\nA: ", repeat: "x"},
		"status that is none":     {first: "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"},
	}
	calls := map[string]func(ctx context.Context, s *sender, engine endpoint.Endpoint) error{
		"order": func(ctx context.Context, s *sender, engine endpoint.Endpoint) error {
			return s.send(ctx, engine, Order{})
		},
		"state": func(ctx context.Context, s *sender, engine endpoint.Endpoint) error {
			_, err := s.state(ctx, engine)
			return err
		},
		"load": func(ctx context.Context, s *sender, engine endpoint.Endpoint) error {
			_, err := s.load(ctx, engine)
			return err
		},
	}
	for name, c := range cases {
		for verb, call := range calls {
			t.Run(name+", "+verb, func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				defer func() {
					_ = listener.Close()
				}()
				var sent atomic.Int64
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					defer func() {
						_ = conn.Close()
					}()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					repeat := strings.Repeat(c.repeat, 16<<10)
					for n, err := io.WriteString(conn, c.first); err == nil && n > 0; n, err = io.WriteString(conn, repeat) {
						sent.Add(int64(n))
					}
				}()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				began := time.Now()
				err = call(ctx, newSender(func() error { return nil }), endpoint.Endpoint{
					Address: listener.Addr().String(),
				})
				assert.Assert(t, time.Since(began) < maxTime, "%v", time.Since(began))
				assert.Assert(t, sent.Load() < maxSent, "%d bytes", sent.Load())
				if c.repeat == "" {
					assert.Assert(t, errors.Is(err, ErrEngine), "%v", err)
				}
			})
		}
	}
}
