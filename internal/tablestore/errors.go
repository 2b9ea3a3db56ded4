package tablestore

import "errors"

var (
	// ErrConflict means a condition did not hold; nothing was applied.
	ErrConflict = errors.New("tablestore: conflict")
	// ErrUnavailable means the platform did not take the request; nothing was applied.
	ErrUnavailable = errors.New("tablestore: unavailable")
	// ErrUnknown means no answer arrived; the write may have been applied.
	ErrUnknown = errors.New("tablestore: outcome unknown")
	// ErrNotFound means the row or object does not exist.
	ErrNotFound = errors.New("tablestore: not found")
	// ErrInvalid means the platform rejected the request as malformed; nothing was applied.
	ErrInvalid = errors.New("tablestore: invalid request")
)
