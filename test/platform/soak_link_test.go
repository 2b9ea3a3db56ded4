package platform

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// linkState is how a link treats what passes.
type linkState struct {
	// Delay is added to each piece that passes, either way.
	Delay time.Duration
	// HoldUp keeps back what callers send, HoldDown what they are sent, until the link heals.
	HoldUp   bool
	HoldDown bool
	// Reset ends all connections and each new one.
	Reset bool
}

// link is a loopback proxy in front of one address.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	state   linkState
	changed chan struct{}
	conns   map[*net.TCPConn]bool
}

// newLink listens on an address and passes on to the target until the test ends.
func newLink(t *testing.T, address, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	l := &link{
		listener: listener,
		target:   target,
		changed:  make(chan struct{}),
		conns:    map[*net.TCPConn]bool{},
	}
	t.Cleanup(func() {
		_ = listener.Close()
		l.set(linkState{Reset: true})
	})
	go l.accept()
	return l
}

func (l *link) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	if !state.Reset {
		return
	}
	for conn := range l.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

func (l *link) now() (linkState, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// keep notes a connection, or ends it if the link resets all.
func (l *link) keep(conn *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Reset {
		_ = conn.SetLinger(0)
		_ = conn.Close()
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *link) drop(conn *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	_ = conn.Close()
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(conn.(*net.TCPConn))
	}
}

func (l *link) carry(caller *net.TCPConn) {
	if !l.keep(caller) {
		return
	}
	defer l.drop(caller)
	reached, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		_ = caller.SetLinger(0)
		return
	}
	callee := reached.(*net.TCPConn)
	if !l.keep(callee) {
		return
	}
	defer l.drop(callee)
	var ways sync.WaitGroup
	ways.Go(func() { l.pass(caller, callee, true) })
	ways.Go(func() { l.pass(callee, caller, false) })
	ways.Wait()
}

// pass carries bytes one way. An end is passed on, so that a half-closed connection stays so; a reset ends both ways.
func (l *link) pass(from, to *net.TCPConn, up bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !l.wait(up) {
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// holdMost bounds how long a piece is held, so that the end of a test is not held up.
const holdMost = 20 * time.Second

// wait delays a piece as the link's state says, and reports whether it may pass.
func (l *link) wait(up bool) bool {
	until := time.After(holdMost)
	for {
		state, changed := l.now()
		if held := up && state.HoldUp || !up && state.HoldDown; !held {
			time.Sleep(state.Delay)
			return true
		}
		select {
		case <-changed:
		case <-until:
			return false
		}
	}
}
