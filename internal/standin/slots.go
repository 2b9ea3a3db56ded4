package standin

import (
	"context"
	"sync"
)

// slots is a semaphore that admits waiting requests in order of arrival.
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

// acquire waits for a slot and reports whether it got one before ctx ended.
func (s *slots) acquire(ctx context.Context) bool {
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
		return s.cancelWait(turn)
	}
}

// cancelWait leaves the queue and returns false. If a slot has been assigned in the meantime, it releases the slot.
func (s *slots) cancelWait(turn chan struct{}) bool {
	s.mu.Lock()
	for i, waiting := range s.queue {
		if waiting == turn {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.mu.Unlock()
			return false
		}
	}
	s.mu.Unlock()
	s.release()
	return false
}

func (s *slots) release() {
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
