package burn

import (
	"context"
	"errors"
	"net/http"
	"time"

	"rhubarbrudder/internal/queue"
)

// stamp holds when a request began to wait.
type stamp struct {
	waited time.Time
}

type stampKey struct{}

// TrackQueueWait returns a handler that lets the time a request waits in a WatchQueue count into its first token.
func TrackQueueWait(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The request is changed in place, so that handlers outside see the pattern that it matched.
		*r = *r.WithContext(context.WithValue(r.Context(), stampKey{}, &stamp{}))
		next.ServeHTTP(w, r)
	})
}

// since returns when the request began to wait, or now if it did not.
func since(ctx context.Context) time.Time {
	if at, ok := ctx.Value(stampKey{}).(*stamp); ok && !at.waited.IsZero() {
		return at.waited
	}
	return time.Now()
}

// Queue lets requests wait for a slot.
type Queue interface {
	Enter(ctx context.Context, place queue.Place) (func(), error)
}

// MeasuredQueue is a queue that notes when requests enter another, and counts what that refuses.
type MeasuredQueue struct {
	queue    Queue
	observer Observer
}

// NewMeasuredQueue returns a queue that watches the given one.
func NewMeasuredQueue(queue Queue, observer Observer) *MeasuredQueue {
	return &MeasuredQueue{
		queue:    queue,
		observer: observer,
	}
}

// Enter waits for a slot, or counts the refusal.
func (w *MeasuredQueue) Enter(ctx context.Context, place queue.Place) (func(), error) {
	if at, ok := ctx.Value(stampKey{}).(*stamp); ok {
		at.waited = time.Now()
	}
	leave, err := w.queue.Enter(ctx, place)
	if errors.Is(err, queue.ErrFull) || errors.Is(err, queue.ErrLate) {
		w.observer.Observe(Sample{
			Key: Key{
				Organisation: place.Organisation,
				Service:      place.Service,
			},
			Counts: Counts{
				Refused: 1,
			},
		})
	}
	return leave, err
}
