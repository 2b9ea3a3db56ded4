package peer

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// SlowService is a service that answers only when released.
type SlowService struct {
	release chan struct{}
	called  chan struct{}
}

// Wait answers once it is released.
func (s *SlowService) Wait(_ int, reply *int) error {
	s.called <- struct{}{}
	<-s.release
	*reply = 1
	return nil
}

// TestGivenUpCall checks the effect of an abandoned call on another one on the same connection: a cancelled call has
// none, while one that misses its deadline closes the connection. A cancelled query to a VM must not abort a
// handover of batch jobs that uses the same connection.
func TestGivenUpCall(t *testing.T) {
	tests := map[string]struct {
		abandon        func(cancel context.CancelFunc)
		limit          time.Duration
		connectionKept bool
	}{
		"cancelled": {
			abandon: func(cancel context.CancelFunc) {
				cancel()
			},
			limit:          time.Minute,
			connectionKept: true,
		},
		"deadline exceeded": {
			abandon: func(context.CancelFunc) {},
			limit:   20 * time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			service := &SlowService{
				release: make(chan struct{}),
				called:  make(chan struct{}, 2),
			}
			server := NewServer(Secret("s"), slog.New(slog.DiscardHandler))
			assert.NilError(t, server.Register("Slow", service))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			defer func() { _ = listener.Close() }()
			client := NewClient(Secret("s")).KeepConnOnCancel()
			defer client.Close()
			other := make(chan error, 1)
			go func() {
				var reply int
				other <- client.Call(context.Background(), listener.Addr().String(), "Slow.Wait", 1, &reply)
			}()
			<-service.called
			ctx, cancel := context.WithTimeout(context.Background(), test.limit)
			defer cancel()
			abandoned := make(chan error, 1)
			go func() {
				var reply int
				abandoned <- client.Call(ctx, listener.Addr().String(), "Slow.Wait", 1, &reply)
			}()
			<-service.called
			test.abandon(cancel)
			assert.ErrorIs(t, <-abandoned, ErrUnreachable)
			close(service.release)
			if test.connectionKept {
				assert.NilError(t, <-other)
			} else {
				assert.ErrorIs(t, <-other, ErrUnreachable)
			}
		})
	}
}
