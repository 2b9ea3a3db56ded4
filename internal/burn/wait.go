package burn

import (
	"context"
	"errors"
	"net/http"
	"time"

	"rhubarbrudder/internal/queue"
)

// queueEntry holds the time at which a request entered the queue.
type queueEntry struct {
	enteredAt time.Time
}

type queueEntryKey struct{}

// TrackQueueWait returns a handler that counts the time a request waits in a MeasuredQueue towards its first token.
func TrackQueueWait(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The request is modified in place so that outer handlers see the pattern that it matched.
		*r = *r.WithContext(context.WithValue(r.Context(), queueEntryKey{}, &queueEntry{}))
		next.ServeHTTP(w, r)
	})
}

// waitStart returns the time at which the request entered the queue, or the current time if it did not.
func waitStart(ctx context.Context) time.Time {
	if entry, ok := ctx.Value(queueEntryKey{}).(*queueEntry); ok && !entry.enteredAt.IsZero() {
		return entry.enteredAt
	}
	return time.Now()
}

// Queue makes requests wait for a slot.
type Queue interface {
	// Enter waits until the request has a slot. The returned function releases the slot.
	Enter(ctx context.Context, slotRequest queue.SlotRequest) (func(), error)
}

// MeasuredQueue wraps a queue. It records when requests enter the queue, and counts the requests that the queue refuses.
type MeasuredQueue struct {
	queue    Queue
	observer Observer
}

// NewMeasuredQueue returns a queue that measures the given one.
func NewMeasuredQueue(queue Queue, observer Observer) *MeasuredQueue {
	return &MeasuredQueue{
		queue:    queue,
		observer: observer,
	}
}

// Enter waits for a slot, or counts the refusal.
func (q *MeasuredQueue) Enter(ctx context.Context, slotRequest queue.SlotRequest) (func(), error) {
	if entry, ok := ctx.Value(queueEntryKey{}).(*queueEntry); ok {
		entry.enteredAt = time.Now()
	}
	leave, err := q.queue.Enter(ctx, slotRequest)
	if errors.Is(err, queue.ErrFull) || errors.Is(err, queue.ErrTimeout) {
		q.observer.Observe(Sample{
			Key: Key{
				Organisation: slotRequest.Organisation,
				Service:      slotRequest.Service,
			},
			Counts: Counts{
				Refused: 1,
			},
		})
	}
	return leave, err
}
