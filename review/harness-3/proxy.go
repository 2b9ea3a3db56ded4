package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes connections on to an address. It can make those that are open go silent for good, without a reset, while new ones work.
type proxy struct {
	listener net.Listener
	to       string
	// up and down are the machine's link towards the store and back, nil if it is not limited.
	up, down *link
	mu       sync.Mutex
	open     map[*proxied]bool
}

type proxied struct {
	from, to net.Conn
	silent   atomic.Bool
}

// newProxy passes on what comes to an address, with so many bytes a second in each direction, or as many as come if that is zero.
func newProxy(address, to string, bytesPerSecond float64) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, open: map[*proxied]bool{}}
	if bytesPerSecond > 0 {
		p.up, p.down = newLink(bytesPerSecond), newLink(bytesPerSecond)
	}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = from.Close()
			continue
		}
		c := &proxied{from: from, to: to}
		p.mu.Lock()
		p.open[c] = true
		p.mu.Unlock()
		go p.pass(c, from, to, p.up)
		go p.pass(c, to, from, p.down)
	}
}

// pass copies in one direction. On a silent connection, everything is dropped, the end too.
func (p *proxy) pass(c *proxied, from, to net.Conn, through *link) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if c.silent.Load() {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if n > 0 && through != nil {
			through.send(context.Background(), n, func(int) error { return nil })
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			p.mu.Lock()
			delete(p.open, c)
			p.mu.Unlock()
			return
		}
	}
}

// silence makes the open connections go silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.open)
	for c := range p.open {
		c.silent.Store(true)
		_ = c.to.Close()
		delete(p.open, c)
	}
	return n
}
