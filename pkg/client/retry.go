package client

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// initialRetryDelay is the delay before the first retry. Later delays grow exponentially.
	initialRetryDelay = 200 * time.Millisecond
	// maxRetryDuration limits the time during which an idempotent request is retried.
	maxRetryDuration = 5 * time.Second
)

// retry calls send until it succeeds, fails with an error that is not retryable, maxRetryDuration has passed, or ctx
// ends.
func retry(ctx context.Context, send func() error, retryable func(err error) bool) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRetryDelay
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := send()
		if err != nil && !retryable(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(maxRetryDuration))
	return err
}
