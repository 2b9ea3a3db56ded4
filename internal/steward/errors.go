package steward

import "errors"

var (
	// ErrNotOwner means that this process is the steward of no endpoint of the service.
	ErrNotOwner = errors.New("steward: this process is not the steward of any endpoint of the service")
	// ErrAvoided means that the caller avoids every endpoint of the service that this process is the steward of.
	ErrAvoided = errors.New("steward: the caller avoids every endpoint of the service whose steward is this process")
)
