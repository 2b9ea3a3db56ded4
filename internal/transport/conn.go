package transport

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is a connection whose end does not hide that it was reset, and on which an answer can be read after a write has failed
// because the server does not read on.
type conn struct {
	net.Conn

	// mu is held during a write.
	mu sync.Mutex
	// closed means that a write has failed because the server had reset or closed the connection. reset is the error if it was
	// reset before its end arrived, or nil.
	closed bool
	reset  error
}

// Write writes data. After the server has reset or closed the connection, data is dropped without an error, since the answer
// may have arrived before. Read then returns what has arrived and the reason for the end.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return len(data), nil
	}
	n, err := c.Conn.Write(data)
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		c.reset = err
	case errors.Is(err, syscall.EPIPE):
		// The end of the connection arrived before the reset, or a read has met the reset.
	default:
		return n, err
	}
	c.closed = true
	return len(data), nil
}

// Read reads data. It returns io.EOF only if the server has ended the connection, and not if it has reset it.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		if reset := c.endWrites(); reset != nil {
			return n, reset
		}
	}
	return n, err
}

// endWrites ends a write in progress, and returns the error if a write met a reset of the connection before its end arrived.
func (c *conn) endWrites() error {
	_ = c.SetWriteDeadline(time.Unix(0, 1))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reset
}
