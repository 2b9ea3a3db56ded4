package job

import (
	"errors"
	"fmt"

	"rhubarbrudder/internal/tablestore"
)

var (
	// ErrNotFound means that the organisation has no such job or file.
	ErrNotFound = errors.New("job: not found")
	// ErrUnavailable means that the store is unavailable and the change was not stored.
	ErrUnavailable = errors.New("job: store unavailable")
	// ErrUnknown means that the change may or may not have been stored. Resending it with the same key settles that.
	ErrUnknown = errors.New("job: outcome unknown")
	// ErrFenced means that a row has changed since it was read: another session holds the lot, or the job was
	// cancelled.
	ErrFenced = errors.New("job: claim lost")
	// ErrKeyReused means that the idempotency key was used with another request.
	ErrKeyReused = errors.New("job: idempotency key used with another request")
	// ErrInput means that an input file is invalid.
	ErrInput = errors.New("job: invalid input")
)

// InputError names the invalid line of an input file.
type InputError struct {
	Line   int
	Reason string
}

// Error returns the line and the reason.
func (e *InputError) Error() string {
	return fmt.Sprintf("job: line %d: %s", e.Line, e.Reason)
}

// Unwrap returns ErrInput.
func (e *InputError) Unwrap() error {
	return ErrInput
}

func storeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, tablestore.ErrNotFound):
		return errors.Join(ErrNotFound, err)
	case errors.Is(err, tablestore.ErrConflict):
		return errors.Join(ErrFenced, err)
	case errors.Is(err, tablestore.ErrUnknown):
		return errors.Join(ErrUnknown, err)
	case errors.Is(err, tablestore.ErrUnavailable):
		return errors.Join(ErrUnavailable, err)
	}
	return err
}
