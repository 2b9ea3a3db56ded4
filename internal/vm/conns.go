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

// sweepPeriod is how often connections are looked at; one may stay that much longer than it may.
const sweepPeriod = time.Second

// conns closes callers' connections that stay idle, or send nothing at first, for longer than the configuration allows.
type conns struct {
	view *route.View
	log  *slog.Logger

	mu sync.Mutex
	// waiting holds the connections without a request, and since when.
	waiting map[net.Conn]waiting
}

type waiting struct {
	since time.Time
	// fresh says that nothing was received yet.
	fresh bool
}

func newConns(view *route.View, log *slog.Logger) *conns {
	return &conns{
		view:    view,
		log:     log,
		waiting: map[net.Conn]waiting{},
	}
}

// changed is told of each change of a connection's state.
func (c *conns) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateNew && state != http.StateIdle {
		delete(c.waiting, conn)
		return
	}
	c.waiting[conn] = waiting{
		since: time.Now(),
		fresh: state == http.StateNew,
	}
}

// run closes connections until ctx ends.
func (c *conns) run(ctx context.Context) {
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

func (c *conns) sweep(now time.Time, limits route.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for conn, w := range c.waiting {
		most := limits.IdleTime
		if w.fresh {
			most = limits.HeaderTime
		}
		if most <= 0 || now.Sub(w.since) <= most {
			continue
		}
		delete(c.waiting, conn)
		_ = conn.Close()
		closed++
	}
	if closed > 0 {
		c.log.Info("connections closed that sent nothing", "count", closed, "idle_ms", limits.IdleTime.Milliseconds(), "header_ms", limits.HeaderTime.Milliseconds())
	}
}
