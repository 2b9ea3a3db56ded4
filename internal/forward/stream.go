package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"rhubarbrudder/internal/pool"
)

// forwardStream forwards events as they arrive. When the stream resumes at another endpoint, it skips events that the
// caller already has and returns ErrBroken if one is missing.
func (s *serving) forwardStream(ctx context.Context, response *http.Response) error {
	events := NewEventReader(s.source)
	// continues means that the answer has yet to show that it continues the stream that the caller has received so far.
	continues := s.started
	nextTimeout := s.nextTimeout()
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return s.endStream(response, continues)
		}
		if err != nil {
			return brokenError(ctx, err)
		}
		if continues && !event.Continues() {
			return errors.Join(ErrBroken, ErrEvent)
		}
		if s.superfluous(event, continues) {
			continue
		}
		s.source.feed(nextTimeout)
		s.recordEvent()
		if event.HasID && s.started && event.ID != s.meta.After+1 {
			return ErrBroken
		}
		continues = false
		if err := s.writeEvent(response, event); err != nil {
			return err
		}
	}
}

// superfluous reports whether an event is not progress: the caller already has it, or it is a comment before the event that
// continues the stream.
func (s *serving) superfluous(event Event, continues bool) bool {
	if !event.HasID {
		return continues
	}
	return s.meta.After > 0 && event.ID <= s.meta.After
}

// endStream ends the answer at the end of an endpoint's stream. A stream that ends before its first event is broken off if
// only the end of its connection marks its end, as nothing tells that from a crash. The same holds if continues is set, that
// is, if an answer ends before its first event that was to continue a stream.
func (s *serving) endStream(response *http.Response, continues bool) error {
	if (!s.started || continues) && EndsWithConnection(response) {
		return ErrBroken
	}
	if !s.started {
		s.begin(response, unknownLength)
	}
	return nil
}

// recordEvent records that the current attempt's first event has arrived, if it has not before.
func (s *serving) recordEvent() {
	if !s.contentBegan.IsZero() {
		return
	}
	s.contentBegan = time.Now()
	if s.onFirstEvent != nil {
		s.onFirstEvent()
		s.onFirstEvent = nil
	}
}

// writeEvent sends an event to the caller. It does not begin an answer that may turn out to be broken off with blank lines
// or comments.
func (s *serving) writeEvent(response *http.Response, event Event) error {
	if !s.started && !event.HasContent() && EndsWithConnection(response) {
		return nil
	}
	if !s.started {
		s.begin(response, unknownLength)
	}
	if err := s.writeNow(event.Raw); err != nil {
		return errCaller
	}
	if event.HasID {
		s.meta.After = event.ID
	}
	s.lastEvent = time.Now()
	s.events++
	return nil
}

// writeNow writes data to the caller at once.
func (s *serving) writeNow(data []byte) error {
	s.source.beginWrite()
	defer s.source.endWrite()
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.control.Flush()
}

// watchPace reports to the pool when a stream's first event arrives, or that it is overdue. New work thus avoids a
// silent endpoint even while a request that may not be repeated still waits there. It is used for streams only, as the
// duration of other answers says nothing about the endpoint's health. The returned function stops it.
func (s *serving) watchPace(slot *pool.Slot) func() {
	overdue := time.AfterFunc(s.overdueAfter(), func() {
		slot.Observe(pool.TroubleSilent, 0)
	})
	sent := time.Now()
	s.onFirstEvent = func() {
		overdue.Stop()
		slot.Observe(pool.TroubleNone, time.Since(sent))
	}
	return func() {
		overdue.Stop()
		s.onFirstEvent = nil
	}
}
