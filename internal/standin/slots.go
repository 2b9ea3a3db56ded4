package standin

import (
	"context"
	"sync"
)

// slots admits a fixed number at once, the rest in order of arrival.
type slots struct {
	mu      sync.Mutex
	free    int
	running int
	queue   []chan struct{}
}

func newSlots(n int) *slots {
	return &slots{
		free: n,
	}
}

// enter waits for a slot and reports whether it got one before ctx ended.
func (s *slots) enter(ctx context.Context) bool {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.running++
		s.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	s.queue = append(s.queue, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return s.abandon(turn)
	}
}

// abandon leaves the queue; if the turn has come meanwhile, the slot is passed on.
func (s *slots) abandon(turn chan struct{}) bool {
	s.mu.Lock()
	for i, waiting := range s.queue {
		if waiting == turn {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.mu.Unlock()
			return false
		}
	}
	s.mu.Unlock()
	s.leave()
	return false
}

func (s *slots) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = s.queue[1:]
		return
	}
	s.free++
	s.running--
}

func (s *slots) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}
