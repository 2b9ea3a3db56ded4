package main

import (
	"net"
	"sync"
)

// proxy passes connections on to an address. From a call of silence on, the connections open at that moment carry nothing any
// more and stay open; new ones work.
type proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	open     map[*link]bool
}

type link struct {
	in, out net.Conn
	silent  bool
	mu      sync.Mutex
}

func newProxy(address, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, open: map[*link]bool{}}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(in)
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
	both.Go(func() { l.copy(out, in) })
	both.Go(func() { l.copy(in, out) })
	both.Wait()
	_ = in.Close()
	_ = out.Close()
	p.mu.Lock()
	delete(p.open, l)
	p.mu.Unlock()
}

// copy copies one direction until it ends. What arrives on a silent connection is dropped, its end too.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
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
