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

// TestFrozenPeer checks that a call to a peer that accepts connections and does not greet ends at its time limit, and that a
// peer that greets late is called on the same connection afterwards.
func TestFrozenPeer(t *testing.T) {
	tests := map[string]struct {
		// greets is when the peer begins to serve, or zero if it does not.
		greets time.Duration
		calls  int
	}{
		"frozen":        {calls: 3},
		"slow to greet": {greets: 250 * time.Millisecond, calls: 3},
	}
	const limit = 100 * time.Millisecond
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			server := NewServer(Secret("s"), slog.New(slog.DiscardHandler))
			defer server.Close()
			service := &SlowService{
				release: make(chan struct{}),
				called:  make(chan struct{}, 10),
			}
			close(service.release)
			assert.NilError(t, server.Register("Slow", service))
			if test.greets > 0 {
				time.AfterFunc(test.greets, func() { _ = server.Serve(listener) })
			}
			client := NewClient(Secret("s")).KeepConnOnCancel()
			defer client.Close()
			call := func() (time.Duration, error) {
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				defer cancel()
				began := time.Now()
				var reply int
				err := client.Call(ctx, listener.Addr().String(), "Slow.Wait", 0, &reply)
				return time.Since(began), err
			}
			for range test.calls {
				took, _ := call()
				assert.Assert(t, took < 2*limit, "a call took %v", took)
			}
			_, err = call()
			if test.greets == 0 {
				assert.ErrorIs(t, err, ErrUnreachable)
				return
			}
			assert.NilError(t, err)
		})
	}
}
