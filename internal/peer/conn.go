package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"rhubarbrudder/internal/progress"
)

// conn is a connection on whose calls progress is noted, and whose writes end when the peer takes nothing.
type conn struct {
	net.Conn

	mu sync.Mutex
	// calls holds the contexts of calls under way whose progress is noted, by number.
	calls map[int]context.Context
	next  int
}

func newConn(c net.Conn) *conn {
	return &conn{
		Conn:  c,
		calls: map[int]context.Context{},
	}
}

// watch notes progress on the context whenever something arrives, until the returned function is called.
func (c *conn) watch(ctx context.Context) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := c.next
	c.next++
	c.calls[number] = ctx
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.calls, number)
	}
}

// Read reads data and notes it as progress of the calls under way: an answer arrives in pieces, and behind those of other calls.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, ctx := range c.calls {
			progress.Note(ctx)
		}
	}
	return n, err
}

const (
	// writeTimeout is how long a peer may take nothing of what is written to it.
	writeTimeout = time.Second
	// writeBytes is how much of a write has to be taken within writeTimeout.
	writeBytes = 16 << 10
)

// Write writes data. It fails if the peer takes nothing for writeTimeout, for instance because it has lost its power: a write waits for
// those before it on the connection, and would wait for good.
func (c *conn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(data[written:min(written+writeBytes, len(data))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
