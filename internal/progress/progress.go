// Package progress ends calls that have stalled. A time limit for a whole call would have to grow with what the call carries, and with
// what else its link carries at the time.
package progress

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ErrStalled is the cause of the end of a context within whose limit no progress was noted.
var ErrStalled = errors.New("progress: call has stalled")

// watchKey is the key of the innermost watch in a context.
type watchKey struct{}

// watch ends a context unless progress is noted in time.
type watch struct {
	timer *time.Timer
	limit time.Duration
	// noted means that progress has been noted.
	noted atomic.Bool
	// outer is the watch of the parent context, or nil.
	outer *watch
}

// WithLimit returns a context that ends with ErrStalled as its cause when no progress has been noted on it, or on a context derived
// from it, for the limit. The first progress is due within the limit after this call.
func WithLimit(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{
		limit: limit,
		outer: watchOf(ctx),
	}
	w.timer = time.AfterFunc(limit, func() { cancel(ErrStalled) })
	return context.WithValue(ctx, watchKey{}, w), func() {
		w.timer.Stop()
		cancel(nil)
	}
}

// Note records that a call with the context has made progress. It does nothing if the context has no limit.
func Note(ctx context.Context) {
	for w := watchOf(ctx); w != nil; w = w.outer {
		w.noted.Store(true)
		w.timer.Reset(w.limit)
	}
}

// Made reports whether progress has been noted on the context since it got its limit.
func Made(ctx context.Context) bool {
	w := watchOf(ctx)
	return w != nil && w.noted.Load()
}

// IsLimited reports whether the context ends when a call with it stalls.
func IsLimited(ctx context.Context) bool {
	return watchOf(ctx) != nil
}

func watchOf(ctx context.Context) *watch {
	w, _ := ctx.Value(watchKey{}).(*watch)
	return w
}
