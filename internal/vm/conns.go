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

// connReaper closes callers' connections that stay idle, or send nothing after they were opened, for longer than the
// configuration allows.
type connReaper struct {
	view *route.View
	log  *slog.Logger

	mu sync.Mutex
	// idle holds the connections without a request.
	idle map[net.Conn]idleConn
}

type idleConn struct {
	since time.Time
	// fresh means that nothing has been received on the connection yet.
	fresh bool
}

func newConnReaper(view *route.View, log *slog.Logger) *connReaper {
	return &connReaper{
		view: view,
		log:  log,
		idle: map[net.Conn]idleConn{},
	}
}

// stateChanged is the server's callback for changes of a connection's state.
func (c *connReaper) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateNew && state != http.StateIdle {
		delete(c.idle, conn)
		return
	}
	c.idle[conn] = idleConn{
		since: time.Now(),
		fresh: state == http.StateNew,
	}
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
	for conn, state := range c.idle {
		limit := limits.IdleTime
		if state.fresh {
			limit = limits.HeaderTime
		}
		if limit <= 0 || now.Sub(state.since) <= limit {
			continue
		}
		delete(c.idle, conn)
		_ = conn.Close()
		closed++
	}
	if closed > 0 {
		c.log.Info("idle connections closed", "count", closed, "idle_ms", limits.IdleTime.Milliseconds(), "header_ms", limits.HeaderTime.Milliseconds())
	}
}
