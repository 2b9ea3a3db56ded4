package document

import "errors"

var (
	// ErrStale means the section changed since the version the change was made from.
	ErrStale = errors.New("document: section changed meanwhile")
	// ErrInvalid means the document would not hold together with the change.
	ErrInvalid = errors.New("document: invalid")
	// ErrForbidden means the token does not own the section.
	ErrForbidden = errors.New("document: not the section's owner")
	// ErrUnavailable means nothing was accepted.
	ErrUnavailable = errors.New("document: store unavailable, not accepted")
	// ErrUnknown means the change may have been accepted; ask again with the same id.
	ErrUnknown = errors.New("document: outcome unknown")
	// ErrReused means the change's id was accepted with another request.
	ErrReused = errors.New("document: change id used for another change")
	// ErrContended means other changes came first at each attempt; nothing was accepted.
	ErrContended = errors.New("document: too many changes at once, not accepted")
	// ErrGap means a change does not follow the revision held.
	ErrGap = errors.New("document: revision gap")
)
