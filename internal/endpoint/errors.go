package endpoint

import "errors"

var (
	// ErrNotSent means the request reached no endpoint.
	ErrNotSent = errors.New("endpoint: not sent")
	// ErrBroken means the answer did not arrive whole; the request may have run.
	ErrBroken = errors.New("endpoint: answer broken off")
	// ErrTooLarge means an answer is larger than the system passes on.
	ErrTooLarge = errors.New("endpoint: answer too large")
)
