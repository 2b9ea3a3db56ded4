package steward

import "errors"

var (
	// ErrNotOwner means that this process is the steward of no endpoint of the service.
	ErrNotOwner = errors.New("steward: no endpoint of the service is this process's")
	// ErrAvoided means that the caller avoids every endpoint of the service that this process is the steward of.
	ErrAvoided = errors.New("steward: every endpoint of this process is to be avoided")
)
