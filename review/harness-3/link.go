package main

import (
	"context"
	"sync"
	"time"
)

// link is the bandwidth that all object calls share: each of those in progress gets the same part of it.
type link struct {
	mu     sync.Mutex
	active map[*transfer]bool
}

type transfer struct {
	// left is how many bytes have not been carried, ready how many have and are not taken yet.
	left, ready float64
	changed     chan struct{}
}

const linkTick = 2 * time.Millisecond

func newLink(bytesPerSecond float64) *link {
	l := &link{active: map[*transfer]bool{}}
	go func() {
		last := time.Now()
		for {
			time.Sleep(linkTick)
			now := time.Now()
			l.carry(bytesPerSecond * now.Sub(last).Seconds())
			last = now
		}
	}()
	return l
}

func (l *link) carry(budget float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for budget > 1 && len(l.active) > 0 {
		share, used := budget/float64(len(l.active)), 0.0
		for t := range l.active {
			n := min(share, t.left)
			t.left -= n
			t.ready += n
			used += n
			if t.left <= 0 {
				delete(l.active, t)
			}
			select {
			case t.changed <- struct{}{}:
			default:
			}
		}
		budget -= used
	}
}

// send carries so many bytes and calls write with the number of those that have arrived. It ends early with ctx.
func (l *link) send(ctx context.Context, bytes int, write func(n int) error) {
	t := &transfer{left: float64(bytes), changed: make(chan struct{}, 1)}
	l.mu.Lock()
	l.active[t] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.active, t)
		l.mu.Unlock()
	}()
	for done := 0; done < bytes; {
		select {
		case <-t.changed:
		case <-ctx.Done():
			return
		}
		l.mu.Lock()
		n, all := int(t.ready), t.left <= 0
		if all {
			n = bytes - done
		}
		t.ready -= float64(n)
		l.mu.Unlock()
		if n > 0 && write(n) != nil {
			return
		}
		done += n
	}
}
