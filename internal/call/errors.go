package call

import (
	"errors"

	"github.com/samber/oops"

	"rhubarbrudder/internal/tablestore"
)

var (
	// ErrKeyReused means the key was used with another request.
	ErrKeyReused = errors.New("call: key reused with another request")
	// ErrInProgress means an earlier request with the key is still running.
	ErrInProgress = errors.New("call: in progress")
	// ErrOutcomeUnknown means an earlier request with the key may have run, and its answer is lost.
	ErrOutcomeUnknown = errors.New("call: outcome unknown")
	// ErrUnavailable means the call could not be recorded; this request was not run.
	ErrUnavailable = errors.New("call: not recorded")
	// errTaken means that another attempt has the record.
	errTaken = errors.New("call: record taken")
)

func storeError(err error) error {
	return oops.In("call").Wrap(errors.Join(ErrUnavailable, err))
}

// settled reports whether an error tells that nothing was applied.
func settled(err error) bool {
	return !errors.Is(err, tablestore.ErrUnknown)
}
