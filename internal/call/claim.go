package call

import (
	"context"
	"errors"
	"time"

	"rhubarbrudder/internal/tablestore"
)

const (
	// storeWait is how long a caller waits for its answer to be stored before it is passed on.
	storeWait = 2 * time.Second
	// storeTimeout is how long an answer is tried to be stored while the platform is down.
	storeTimeout = 30 * time.Minute
)

// Finish stores the answer. It returns once that is done or has taken too long, and goes on in the background.
func (l *Claim) Finish(ctx context.Context, answer Answer) {
	done := make(chan struct{})
	l.calls.storing.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
		defer cancel()
		if err := l.store(ctx, answer); err != nil {
			l.calls.log.Warn("answer of call not stored", "request", l.stored.record.Attempt, "err", err)
		}
		l.calls.attempts.leave(l.key, l.stored.record.Attempt, false)
	})
	timer := time.NewTimer(storeWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// store keeps a large body as an object first, then the record that names it.
func (l *Claim) store(ctx context.Context, answer Answer) error {
	own := l.stored.record
	if len(answer.Body) > largestInRow {
		own.Object = objectName(own.Started, own.Attempt)
		err := persist(ctx, func() error { return l.calls.objects.Put(ctx, own.Object, answer.Body) })
		if err != nil {
			return err
		}
		answer.Body = nil
	}
	own.Answer = &answer
	return persist(ctx, func() error {
		_, err := l.calls.put(ctx, l.key, own, l.stored.version)
		return err
	})
}

// persist tries until the write is done or the record turns out to be another's.
func persist(ctx context.Context, write func() error) error {
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		err := write()
		if err == nil || errors.Is(err, errTaken) || errors.Is(err, tablestore.ErrInvalid) {
			return err
		}
		if !wait(ctx, pause) {
			return err
		}
	}
}

// Release frees the key of a call that provably did not run.
func (l *Claim) Release(ctx context.Context) {
	own := l.stored.record
	own.Released = true
	l.calls.attempts.leave(l.key, own.Attempt, true)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeWait)
	defer cancel()
	if _, err := l.calls.put(ctx, l.key, own, l.stored.version); err == nil {
		l.calls.attempts.forget(own.Attempt)
	}
}

// Abandon ends a call that may have run and has no answer; it is never run again.
func (l *Claim) Abandon() {
	l.calls.attempts.leave(l.key, l.stored.record.Attempt, false)
}

// Wait returns when every answer is stored or ctx ends.
func (c *Calls) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.storing.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
