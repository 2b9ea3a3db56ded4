package peer

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Slow is a service whose answer waits for a release.
type Slow struct {
	release chan struct{}
	called  chan struct{}
}

// Wait answers when it is released.
func (s *Slow) Wait(_ int, reply *int) error {
	s.called <- struct{}{}
	<-s.release
	*reply = 1
	return nil
}

// TestGivenUpCall checks what a call that its caller gives up does to another one on the same connection: nothing if it
// was cancelled, while one that is late gives the connection up. Before, a cancelled question to one VM broke off the
// handing over of batch jobs to it.
func TestGivenUpCall(t *testing.T) {
	tests := map[string]struct {
		end   func(cancel context.CancelFunc)
		limit time.Duration
		holds bool
	}{
		"cancelled": {
			end: func(cancel context.CancelFunc) {
				cancel()
			},
			limit: time.Minute,
			holds: true,
		},
		"late": {
			end:   func(context.CancelFunc) {},
			limit: 20 * time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			service := &Slow{
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
			pool := NewPool(Secret("s")).KeepCancelled()
			defer pool.Close()
			other := make(chan error, 1)
			go func() {
				var reply int
				other <- pool.Call(context.Background(), listener.Addr().String(), "Slow.Wait", 1, &reply)
			}()
			<-service.called
			ctx, cancel := context.WithTimeout(context.Background(), test.limit)
			defer cancel()
			given := make(chan error, 1)
			go func() {
				var reply int
				given <- pool.Call(ctx, listener.Addr().String(), "Slow.Wait", 1, &reply)
			}()
			<-service.called
			test.end(cancel)
			assert.ErrorIs(t, <-given, ErrUnreachable)
			close(service.release)
			if test.holds {
				assert.NilError(t, <-other)
			} else {
				assert.ErrorIs(t, <-other, ErrUnreachable)
			}
		})
	}
}
