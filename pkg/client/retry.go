package client

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// retryFirst is the pause before the first retry; it grows with each.
	retryFirst = 200 * time.Millisecond
	// retryFor bounds how long an idempotent change is sent again.
	retryFor = 5 * time.Second
)

// retry calls send until it succeeds, fails in a way that a repeat can't mend, or retryFor has passed.
func retry(ctx context.Context, send func() error, mends func(err error) bool) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = retryFirst
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := send()
		if err != nil && !mends(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(retryFor))
	return err
}
