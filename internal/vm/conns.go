package vm

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"rhubarbrudder/internal/route"
)

// sweepPeriod is the time between checks of the connections, and thus how much longer than allowed one may stay open.
const sweepPeriod = time.Second

// connReaper closes callers' connections that stay idle, or take longer for the headers of a request, than the
// configuration allows.
type connReaper struct {
	view *route.View
	log  *slog.Logger

	mu sync.Mutex
	// waiting holds the connections on which no request is being served.
	waiting map[net.Conn]waitingConn
}

type waitingConn struct {
	since time.Time
	// reading means that the headers of a request are due or have arrived in part. Other connections are idle.
	reading bool
}

func newConnReaper(view *route.View, log *slog.Logger) *connReaper {
	return &connReaper{
		view:    view,
		log:     log,
		waiting: map[net.Conn]waitingConn{},
	}
}

// stateChanged is the server's callback for changes of a connection's state. A connection becomes active when the headers
// of a request have arrived.
func (c *connReaper) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateNew && state != http.StateIdle {
		delete(c.waiting, conn)
		return
	}
	c.waiting[conn] = waitingConn{
		since:   time.Now(),
		reading: state == http.StateNew,
	}
}

// received records that data arrived on a connection. On an idle one, this is the beginning of a request's headers.
func (c *connReaper) received(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.waiting[conn]; ok && !w.reading {
		c.waiting[conn] = waitingConn{
			since:   time.Now(),
			reading: true,
		}
	}
}

// firstRequestTime is how long the first request on a connection is expected. Then the connection counts as idle.
const firstRequestTime = 5 * time.Second

// due returns the number of connections on which a request is due.
func (c *connReaper) due() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := 0
	for _, state := range c.waiting {
		if state.reading && time.Since(state.since) < firstRequestTime {
			due++
		}
	}
	return due
}

// reapedListener accepts connections that report to the reaper when data arrives.
type reapedListener struct {
	net.Listener
	reaper *connReaper
}

// Accept returns the next connection.
func (l reapedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &reapedConn{
		Conn:   conn,
		reaper: l.reaper,
	}, nil
}

type reapedConn struct {
	net.Conn
	reaper *connReaper
}

// Read reads from the connection.
func (c *reapedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.reaper.received(c)
	}
	return n, err
}

// run periodically closes connections until ctx ends.
func (c *connReaper) run(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if config := c.view.Current(); config != nil {
				c.sweep(now, config.Limits)
			}
		}
	}
}

func (c *connReaper) sweep(now time.Time, limits route.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for conn, state := range c.waiting {
		limit := limits.IdleTime
		if state.reading {
			limit = limits.HeaderTime
		}
		if limit <= 0 || now.Sub(state.since) <= limit {
			continue
		}
		delete(c.waiting, conn)
		_ = conn.Close()
		closed++
	}
	if closed > 0 {
		c.log.Info("idle connections closed", "count", closed, "idle_ms", limits.IdleTime.Milliseconds(), "header_ms", limits.HeaderTime.Milliseconds())
	}
}
