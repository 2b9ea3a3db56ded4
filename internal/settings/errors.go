package settings

import (
	"errors"

	"github.com/samber/oops"
)

// ErrDuration means that a duration is not positive or has no unit.
var ErrDuration = errors.New("settings: want a positive duration such as \"1.5s\"")

// ErrFile means that a file can't be read.
var ErrFile = errors.New("settings: file can't be read")

func fileError(path string, err error) error {
	return oops.In("settings").With("File", path).Wrap(errors.Join(ErrFile, err))
}
