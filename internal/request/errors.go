package request

import (
	"errors"

	"github.com/samber/oops"
)

var (
	// ErrNotJSON is returned for a body that is not JSON.
	ErrNotJSON = errors.New("request: body is not JSON")
	// ErrNoModel is returned for a body that names no model.
	ErrNoModel = errors.New("request: no model")
	// ErrNoMessages is returned for a chat without messages.
	ErrNoMessages = errors.New("request: no messages")
	// ErrNoPrompt is returned for a text completion without a prompt, or with one that is not a string.
	ErrNoPrompt = errors.New("request: no prompt, or not a string")
	// ErrEncode is returned if the body of a request or of an answer can't be built.
	ErrEncode = errors.New("request: body can't be rewritten")
)

func encodeError(err error) error {
	return oops.In("request").Wrap(errors.Join(ErrEncode, err))
}
