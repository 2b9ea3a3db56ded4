package call

import (
	"context"
	"errors"
	"time"

	"rhubarbrudder/internal/tablestore"
)

const (
	// storeWait bounds how long an answer is held back from the caller while it is being stored, and how long Release
	// tries to write.
	storeWait = 2 * time.Second
	// storeTimeout bounds how long storing an answer is retried while the platform is down.
	storeTimeout = 30 * time.Minute
)

// Finish stores the answer. It returns when the answer is stored or after storeWait, in which case it continues in the
// background.
func (l *Claim) Finish(ctx context.Context, answer Answer) {
	done := make(chan struct{})
	l.calls.storing.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
		defer cancel()
		if err := l.store(ctx, answer); err != nil {
			l.calls.log.Warn("answer of call not stored", "request", l.stored.record.Attempt, "err", err)
		}
		l.calls.attempts.unregister(l.key, l.stored.record.Attempt, false)
	})
	timer := time.NewTimer(storeWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// store writes a large body as an object first, and then the record that names it.
func (l *Claim) store(ctx context.Context, answer Answer) error {
	own := l.stored.record
	if len(answer.Body) > maxBodyInRow {
		own.Object = objectName(own.Started, own.Attempt)
		err := retryWrite(ctx, func() error { return l.calls.objects.Put(ctx, own.Object, answer.Body) })
		if err != nil {
			return err
		}
		answer.Body = nil
	}
	own.Answer = &answer
	return retryWrite(ctx, func() error {
		_, err := l.calls.put(ctx, l.key, own, l.stored.version)
		return err
	})
}

// retryWrite retries a write with backoff until it succeeds, fails for good because the record belongs to another
// attempt or is invalid, or ctx ends.
func retryWrite(ctx context.Context, write func() error) error {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		err := write()
		if err == nil || errors.Is(err, errTaken) || errors.Is(err, tablestore.ErrInvalid) {
			return err
		}
		if !wait(ctx, pause) {
			return err
		}
	}
}

// Release frees the key of a call that certainly did not run.
func (l *Claim) Release(ctx context.Context) {
	own := l.stored.record
	own.Released = true
	// The attempt is remembered as not run until its record is stored as released.
	l.calls.attempts.unregister(l.key, own.Attempt, true)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeWait)
	defer cancel()
	if _, err := l.calls.put(ctx, l.key, own, l.stored.version); err == nil {
		l.calls.attempts.forget(own.Attempt)
	}
}

// Abandon ends a call that may have run and has no answer. The call is never run again.
func (l *Claim) Abandon() {
	l.calls.attempts.unregister(l.key, l.stored.record.Attempt, false)
}

// Wait waits until all answers are stored or ctx ends.
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
