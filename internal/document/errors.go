package document

import "errors"

var (
	// ErrStale means that the section has changed since the version that the change is based on.
	ErrStale = errors.New("document: section changed meanwhile")
	// ErrInvalid means that the change would make the document invalid.
	ErrInvalid = errors.New("document: invalid")
	// ErrForbidden means that the token is not one of the section's owners.
	ErrForbidden = errors.New("document: not the section's owner")
	// ErrUnavailable means that the store is unavailable and nothing was accepted.
	ErrUnavailable = errors.New("document: store unavailable, not accepted")
	// ErrUnknown means that the change may have been accepted. The request can be repeated with the same id.
	ErrUnknown = errors.New("document: outcome unknown")
	// ErrReused means that the change's id was accepted before with a different request.
	ErrReused = errors.New("document: change id used for another change")
	// ErrContended means that other changes were committed first at every attempt. Nothing was accepted.
	ErrContended = errors.New("document: too many changes at once, not accepted")
	// ErrGap means that a change does not directly follow the current revision.
	ErrGap = errors.New("document: revision gap")
)
