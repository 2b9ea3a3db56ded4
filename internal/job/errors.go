package job

import (
	"errors"
	"fmt"

	"rhubarbrudder/internal/tablestore"
)

var (
	// ErrNotFound means there is no such job or file of the organisation.
	ErrNotFound = errors.New("job: not found")
	// ErrUnavailable means the store did not take the change; nothing was kept.
	ErrUnavailable = errors.New("job: store unavailable")
	// ErrUnknown means the change may have been kept; a resend with the same key finds out.
	ErrUnknown = errors.New("job: outcome unknown")
	// ErrFenced means another session holds the lot, or the job was cancelled.
	ErrFenced = errors.New("job: claim lost")
	// ErrKeyReused means the idempotency key was used with another request.
	ErrKeyReused = errors.New("job: idempotency key used with another request")
	// ErrInput means an input file can't be used.
	ErrInput = errors.New("job: invalid input")
)

// InputError says which line of an input file is wrong.
type InputError struct {
	Line   int
	Reason string
}

// Error returns the line and the reason.
func (e *InputError) Error() string {
	return fmt.Sprintf("job: line %d: %s", e.Line, e.Reason)
}

// Unwrap makes the error an ErrInput.
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
