// Package client is a client of rhubarbrudder for operators and for callers who run batch jobs.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/dghubble/sling"
)

var (
	// ErrUnavailable means that no answer came, or that the system can't answer now.
	ErrUnavailable = errors.New("client: unavailable")
	// ErrAnswer means that an answer can't be read.
	ErrAnswer = errors.New("client: answer can't be read")
)

// Failure is a refusal by the system.
type Failure struct {
	Status  int
	Code    string
	Message string
	// Current is the section in force, if a change was refused because the section had changed.
	Current *Section
}

// Error returns the code and the message.
func (f *Failure) Error() string {
	return fmt.Sprintf("client: %s: %s", f.Code, f.Message)
}

// Is makes failures for lack of service an ErrUnavailable.
func (f *Failure) Is(target error) bool {
	return target == ErrUnavailable && (f.Status == http.StatusServiceUnavailable || f.Status == http.StatusGatewayTimeout)
}

// connection is what both clients share.
type connection struct {
	client *http.Client
	base   *sling.Sling
	// failure reads an error's body.
	failure func(status int, data []byte) *Failure
}

func newConnection(client *http.Client, url, token string, failure func(status int, data []byte) *Failure) connection {
	return connection{
		client:  client,
		base:    sling.New().Client(client).Base(url).Set("Authorization", "Bearer "+token),
		failure: failure,
	}
}

// open sends the request and returns the body of a good answer, which the caller closes.
func (c connection) open(ctx context.Context, request *sling.Sling) (io.ReadCloser, error) {
	req, err := request.Request()
	if err != nil {
		return nil, errors.Join(ErrAnswer, err)
	}
	response, err := c.client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	if response.StatusCode/100 == 2 {
		return response.Body, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	return nil, c.failure(response.StatusCode, data)
}

// maxAnswerBytes bounds an answer that is not a file.
const maxAnswerBytes = 256 << 20

// do sends the request and decodes the answer into value.
func (c connection) do(ctx context.Context, request *sling.Sling, value any) error {
	body, err := c.open(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	if err := json.Unmarshal(data, value); err != nil {
		return errors.Join(ErrAnswer, err)
	}
	return nil
}
