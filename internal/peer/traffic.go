package peer

import (
	"context"
	"net"
	"sync/atomic"

	"go.opentelemetry.io/otel/metric"
)

// Traffic counts the bytes exchanged between this process and its peers.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() int64 {
	return t.sent.Load()
}

// Received returns the number of bytes received.
func (t *Traffic) Received() int64 {
	return t.received.Load()
}

// Export registers the counts as metrics of the meter.
func (t *Traffic) Export(meter metric.Meter) error {
	counts := map[string]func() int64{
		"rhubarbrudder.peer.sent":     t.Sent,
		"rhubarbrudder.peer.received": t.Received,
	}
	for name, count := range counts {
		_, err := meter.Int64ObservableCounter(name, metric.WithUnit("By"), metric.WithDescription("Bytes exchanged with the system's other processes."),
			metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
				observer.Observe(count())
				return nil
			}))
		if err != nil {
			return err
		}
	}
	return nil
}

// count wraps the connection so that its bytes are counted.
func (t *Traffic) count(conn net.Conn) net.Conn {
	return countedConn{
		Conn:    conn,
		traffic: t,
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads and counts.
func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.sent.Add(int64(n))
	return n, err
}
