package forward

import (
	"context"
	"errors"
	"time"

	"rhubarbrudder/internal/pool"
)

// ErrStopping means that a request ended because this VM stops.
var ErrStopping = errors.New("forward: stopping")

// StoppingRetry is the retry delay for callers that are refused because this VM stops. Another VM can serve them at once.
const StoppingRetry = 50 * time.Millisecond

// stop ends requests when the VM stops.
type stop struct {
	// sending ends when requests are no longer sent, answering when no answer is awaited any more.
	sending      context.Context
	endSending   context.CancelCauseFunc
	answering    context.Context
	endAnswering context.CancelCauseFunc
}

func newStop() *stop {
	s := &stop{}
	s.sending, s.endSending = context.WithCancelCause(context.Background())
	s.answering, s.endAnswering = context.WithCancelCause(context.Background())
	return s
}

// EndSending refuses the requests that wait for a slot, and all that would wait for one later. Answers that have begun may still
// continue at another endpoint.
func (f *Forwarder) EndSending() {
	f.stop.endSending(ErrStopping)
}

// EndAnswering ends all requests. Those whose answer has not begun are answered, with status 504 if they may have run and with 503
// otherwise.
func (f *Forwarder) EndAnswering() {
	f.stop.endAnswering(ErrStopping)
}

// endWith returns a context that also ends, with the same cause, when other ends, and a function that releases it.
func endWith(ctx, other context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(other, func() {
		cancel(context.Cause(other))
	})
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// acquireBeforeStop waits for a slot like acquire. It returns ErrStopping once requests are no longer sent, unless the answer has
// begun.
func (s *serving) acquireBeforeStop(ctx context.Context) (*pool.Slot, error) {
	if s.started {
		return s.acquire(ctx)
	}
	if s.stop.sending.Err() != nil {
		return nil, ErrStopping
	}
	ctx, release := endWith(ctx, s.stop.sending)
	defer release()
	slot, err := s.acquire(ctx)
	if err != nil && errors.Is(context.Cause(ctx), ErrStopping) {
		return nil, ErrStopping
	}
	return slot, err
}
