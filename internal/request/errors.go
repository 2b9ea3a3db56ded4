package request

import (
	"errors"

	"github.com/samber/oops"
)

var (
	// ErrNotJSON means the body is not JSON.
	ErrNotJSON = errors.New("request: body is not JSON")
	// ErrNoModel means the body names no model.
	ErrNoModel = errors.New("request: no model")
	// ErrNoMessages means a chat has no messages.
	ErrNoMessages = errors.New("request: no messages")
	// ErrNoPrompt means a text completion has no prompt, or one that is not a string.
	ErrNoPrompt = errors.New("request: no prompt, or not a string")
	// ErrBody means a body can't be rewritten.
	ErrBody = errors.New("request: body can't be rewritten")
)

func bodyError(err error) error {
	return oops.In("request").Wrap(errors.Join(ErrBody, err))
}
