package steward

import "errors"

var (
	// ErrNotOwner means that this process is the steward of no endpoint of the service.
	ErrNotOwner = errors.New("steward: process is the steward of no endpoint of the service")
	// ErrAvoided means that the caller avoids every endpoint of the service that this process is the steward of.
	ErrAvoided = errors.New("steward: all endpoints of this process are to be avoided")
)
