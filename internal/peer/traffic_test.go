package peer_test

import (
	"log/slog"
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rhubarbrudder/internal/peer"
)

// Echo is a service that returns its argument.
type Echo struct{}

// Say returns its argument.
func (Echo) Say(args string, reply *string) error {
	*reply = args
	return nil
}

// TestTrafficIsCountedOnBothSides checks that the bytes sent by each side equal the bytes received by the other one.
func TestTrafficIsCountedOnBothSides(t *testing.T) {
	listener, err := net.Listen("tcp", "127.90.0.1:0")
	assert.NilError(t, err)
	serverTraffic, clientTraffic := &peer.Traffic{}, &peer.Traffic{}
	server := peer.NewServer(peer.Secret("s"), slog.New(slog.DiscardHandler))
	server.CountTraffic(serverTraffic)
	assert.NilError(t, server.Register("Echo", Echo{}))
	done := make(chan error)
	go func() { done <- server.Serve(listener) }()
	pool := peer.NewClient(peer.Secret("s"))
	pool.CountTraffic(clientTraffic)
	for range 3 {
		var reply string
		assert.NilError(t, pool.Call(t.Context(), listener.Addr().String(), "Echo.Say", "hello", &reply))
		assert.Equal(t, reply, "hello")
	}
	// A side counts sent bytes after the write returns, when the other side may already have read them.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if clientTraffic.Sent() == serverTraffic.Received() && clientTraffic.Received() == serverTraffic.Sent() {
			return poll.Success()
		}
		return poll.Continue("client sent %d and received %d, server received %d and sent %d", clientTraffic.Sent(), clientTraffic.Received(), serverTraffic.Received(), serverTraffic.Sent())
	})
	assert.Assert(t, clientTraffic.Sent() > 3*int64(len("hello")))
	pool.Close()
	assert.NilError(t, listener.Close())
	assert.NilError(t, <-done)
	server.Close()
}
