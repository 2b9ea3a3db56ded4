package peer_test

import (
	"log/slog"
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rhubarbrudder/internal/peer"
)

// Echo answers with what it is asked.
type Echo struct{}

// Say answers.
func (Echo) Say(args string, reply *string) error {
	*reply = args
	return nil
}

// TestTrafficIsCountedOnBothSides calls a peer and compares what one side sent with what the other received.
func TestTrafficIsCountedOnBothSides(t *testing.T) {
	listener, err := net.Listen("tcp", "127.90.0.1:0")
	assert.NilError(t, err)
	served, called := &peer.Traffic{}, &peer.Traffic{}
	server := peer.NewServer(peer.Secret("s"), slog.New(slog.DiscardHandler))
	server.CountTraffic(served)
	assert.NilError(t, server.Register("Echo", Echo{}))
	done := make(chan error)
	go func() { done <- server.Serve(listener) }()
	pool := peer.NewPool(peer.Secret("s"))
	pool.CountTraffic(called)
	for range 3 {
		var reply string
		assert.NilError(t, pool.Call(t.Context(), listener.Addr().String(), "Echo.Say", "hello", &reply))
		assert.Equal(t, reply, "hello")
	}
	// A side counts what it sent after the write, which the other may have read by then.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if called.Sent() == served.Received() && called.Received() == served.Sent() {
			return poll.Success()
		}
		return poll.Continue("called sent %d and received %d, served received %d and sent %d", called.Sent(), called.Received(), served.Received(), served.Sent())
	})
	assert.Assert(t, called.Sent() > 3*int64(len("hello")))
	pool.Close()
	assert.NilError(t, listener.Close())
	assert.NilError(t, <-done)
	server.Close()
}
