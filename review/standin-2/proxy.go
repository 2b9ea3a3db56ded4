package main

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// proxy passes connections on to an address. From a call of silence on, the connections open at that moment carry nothing any
// more and stay open; new ones work.
type proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	open     map[*link]bool
	// lost means that the machine behind the proxy has no power any more.
	lost chan struct{}
	// onLarge is called once, unless nil, in the middle of a call: when one connection has carried so many bytes without an answer.
	large   int
	onLarge func()
	once    sync.Once
}

type link struct {
	in, out net.Conn
	silent  bool
	mu      sync.Mutex
	// unanswered counts the bytes towards the machine since it last sent any.
	unanswered int
}

func newProxy(address, to string) (*proxy, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// DEPLOY.md: "Links have a delay, a bandwidth [...] and small windows, so a peer that does not read blocks the
			// writer". The segments of the loopback device have 64 KB, with which a socket buffers megabytes.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, open: map[*link]bool{}, lost: make(chan struct{})}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			select {
			case <-p.lost:
				p.keep(in)
			default:
				go p.carry(in)
			}
		}
	}()
	return p, nil
}

func (p *proxy) carry(in net.Conn) {
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = in.Close()
		return
	}
	l := &link{in: in, out: out}
	p.mu.Lock()
	p.open[l] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.copy(out, in, p) })
	both.Go(func() { l.copy(in, out, p) })
	both.Wait()
	select {
	case <-p.lost:
		return
	default:
	}
	_ = in.Close()
	_ = out.Close()
	p.mu.Lock()
	delete(p.open, l)
	p.mu.Unlock()
}

// copy copies one direction until it ends. What arrives on a silent connection is dropped, its end too.
func (l *link) copy(to, from net.Conn, p *proxy) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.lost:
			return
		default:
		}
		l.mu.Lock()
		silent := l.silent
		if l.unanswered += n; from == l.out {
			l.unanswered = 0
		}
		large := p.onLarge != nil && l.unanswered >= p.large
		l.mu.Unlock()
		if large {
			p.once.Do(p.onLarge)
			return
		}
		if !silent && n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}

// silence makes the open connections silent, and returns how many there are for each host that has opened some.
func (p *proxy) silence() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := map[string]int{}
	for l := range p.open {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
		host, _, _ := net.SplitHostPort(l.in.RemoteAddr().String())
		count[host]++
	}
	return count
}

// lose makes the proxy behave like a machine that has lost its power: its connections stay open, take nothing any more and say
// nothing, and new ones get no answer.
func (p *proxy) lose() { close(p.lost) }

// keep holds a connection open that gets no answer.
func (p *proxy) keep(in net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[&link{in: in}] = true
}
