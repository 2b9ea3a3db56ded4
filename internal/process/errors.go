package process

import (
	"errors"

	"github.com/samber/oops"
)

// ErrStart is returned if a process could not start.
var ErrStart = errors.New("process: can't start")

var errEmptySecret = errors.New("process: the secret's file is empty")

func startError(err error) error {
	return oops.In("process").Wrap(errors.Join(ErrStart, err))
}
