package endpoint

import "errors"

var (
	// ErrNotSent means no part of the request was sent to an endpoint.
	ErrNotSent = errors.New("endpoint: not sent")
	// ErrBroken means the answer did not arrive completely. The request may have run.
	ErrBroken = errors.New("endpoint: answer broken off")
	// ErrTooLarge means an answer is larger than the limit for answers that are not streamed.
	ErrTooLarge = errors.New("endpoint: answer too large")
)
