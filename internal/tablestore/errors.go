package tablestore

import "errors"

var (
	// ErrConflict means that a condition did not hold and nothing was applied.
	ErrConflict = errors.New("tablestore: conflict")
	// ErrUnavailable means that the platform did not accept the request and nothing was applied.
	ErrUnavailable = errors.New("tablestore: unavailable")
	// ErrUnknown means that no answer arrived and the write may have been applied.
	ErrUnknown = errors.New("tablestore: outcome unknown")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("tablestore: not found")
	// ErrInvalid means that the platform rejected the request as malformed and nothing was applied.
	ErrInvalid = errors.New("tablestore: invalid request")
)
