package call

import (
	"errors"

	"github.com/samber/oops"

	"rhubarbrudder/internal/tablestore"
)

var (
	// ErrKeyReused means that the key was used with another request.
	ErrKeyReused = errors.New("call: key reused with another request")
	// ErrInProgress means that an earlier request with the key is still running.
	ErrInProgress = errors.New("call: in progress")
	// ErrOutcomeUnknown means that an earlier request with the key may have run and its answer is lost.
	ErrOutcomeUnknown = errors.New("call: outcome unknown")
	// ErrUnavailable means that the call could not be recorded. This request was not run.
	ErrUnavailable = errors.New("call: not recorded")
	// errTaken means that the record belongs to another attempt.
	errTaken = errors.New("call: record taken")
)

func storeError(err error) error {
	return oops.In("call").Wrap(errors.Join(ErrUnavailable, err))
}

// isNotApplied reports whether the error of a write means that the write was not applied.
func isNotApplied(err error) bool {
	return !errors.Is(err, tablestore.ErrUnknown)
}
