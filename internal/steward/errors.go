package steward

import "errors"

// ErrNotOwner means that this process is the steward of no endpoint of the service.
var ErrNotOwner = errors.New("steward: no endpoint of the service is this process's")
