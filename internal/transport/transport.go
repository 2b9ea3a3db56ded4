// Package transport sends HTTP requests, like net/http, and tells answers of faulty servers from whole ones.
//
// net/http takes the end of a connection for the end of an answer without a length. If the server resets the connection while the
// request is still being sent, the write meets the reset and the read an ordinary end. The other way round, the failed write makes
// net/http drop an answer that has arrived.
package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// ErrStatus means that an answer's status is none that may end a request, so that it is not an answer. The request may have
// run.
var ErrStatus = errors.New("transport: invalid status")

// ErrTooLong means that the body of an answer is longer than allowed.
var ErrTooLong = errors.New("transport: answer too long")

const (
	// minStatus and maxStatus bound the final statuses of HTTP. Informational ones come before an answer.
	minStatus = 200
	maxStatus = 599
)

// Transport is an http.RoundTripper.
type Transport struct {
	base *http.Transport
	// maxBody is the maximum size of an answer's body in bytes, or unlimited.
	maxBody int64
	// sending and receiving hold a token for each large body that is carried at present; nil means that their number is not bounded.
	sending   chan struct{}
	receiving chan struct{}
}

// unlimited stands for no maximum size.
const unlimited = -1

// New returns a transport with the options of base, which it takes over.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{
			Conn: opened,
		}, nil
	}
	return &Transport{
		base:    base,
		maxBody: unlimited,
	}
}

// NewBounded is like New. Reading more than maxBody bytes of an answer's body returns ErrTooLong.
func NewBounded(base *http.Transport, maxBody int64) *Transport {
	t := New(base)
	t.maxBody = maxBody
	return t
}

// RoundTrip sends a request and returns the response once its headers have arrived, or ErrStatus if it has no valid status. What is
// sent and what arrives counts as progress of the request's context.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(t.noteRequest(r))
	if err != nil {
		return nil, err
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w %03d", ErrStatus, response.StatusCode)
	}
	t.noteResponse(r.Context(), response)
	if t.maxBody != unlimited {
		response.Body = &boundedBody{
			ReadCloser: response.Body,
			left:       t.maxBody,
		}
	}
	return response, nil
}

// boundedBody is a body of which at most left bytes more may be read.
type boundedBody struct {
	io.ReadCloser
	left int64
}

// Read reads from the body. One byte more than allowed is read to tell a longer body from one of that length.
func (b *boundedBody) Read(data []byte) (int, error) {
	if b.left < 0 {
		return 0, ErrTooLong
	}
	n, err := b.ReadCloser.Read(data[:min(int64(len(data)), b.left+1)])
	b.left -= int64(n)
	if b.left < 0 {
		return n - 1, ErrTooLong
	}
	return n, err
}

// CloseIdleConnections closes the connections that are kept for further requests.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}
