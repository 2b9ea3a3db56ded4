// Package client provides clients of rhubarbrudder for operators and for callers who run batch jobs.
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
	// ErrUnavailable means that no complete response arrived, or that the response has the status 503 (unavailable) or 504
	// (outcome unknown). The request may have taken effect.
	ErrUnavailable = errors.New("client: unavailable")
	// ErrAnswer means that a request can't be built, for example because the URL is invalid, or that a response can't be
	// decoded. Its text names only the latter.
	ErrAnswer = errors.New("client: answer can't be read")
)

// Failure is an error response of the system.
type Failure struct {
	// Status is the HTTP status.
	Status int
	// Code is the system's error code, or the text of the status if the response has none.
	Code    string
	Message string
	// Current is the section in force if a change was refused because it was based on an older version.
	Current *Section
}

// Error returns the code and the message.
func (f *Failure) Error() string {
	return fmt.Sprintf("client: %s: %s", f.Code, f.Message)
}

// Is makes errors.Is match ErrUnavailable for the statuses 503 and 504.
func (f *Failure) Is(target error) bool {
	return target == ErrUnavailable && (f.Status == http.StatusServiceUnavailable || f.Status == http.StatusGatewayTimeout)
}

// connection is the part that Operator and Caller share.
type connection struct {
	client *http.Client
	base   *sling.Sling
	// parseFailure decodes the body of an error response.
	parseFailure func(status int, data []byte) *Failure
}

func newConnection(client *http.Client, url, token string, parseFailure func(status int, data []byte) *Failure) connection {
	return connection{
		client:       client,
		base:         sling.New().Client(client).Base(url).Set("Authorization", "Bearer "+token),
		parseFailure: parseFailure,
	}
}

// open sends the request and returns the body of a successful response, which must be closed after use.
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	return nil, c.parseFailure(response.StatusCode, data)
}

// maxResponseBytes limits the size of responses other than file contents.
const maxResponseBytes = 256 << 20

// do sends the request and decodes the response into value.
func (c connection) do(ctx context.Context, request *sling.Sling, value any) error {
	body, err := c.open(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	if err := json.Unmarshal(data, value); err != nil {
		return errors.Join(ErrAnswer, err)
	}
	return nil
}
