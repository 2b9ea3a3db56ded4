package steward

import "errors"

var (
	// ErrNotOwner means that this process is the steward of no endpoint of the service.
	ErrNotOwner = errors.New("steward: no endpoint of the service is this process's")
	// ErrAvoided means that every endpoint this process is the steward of is to be avoided.
	ErrAvoided = errors.New("steward: every endpoint of this process is to be avoided")
)
