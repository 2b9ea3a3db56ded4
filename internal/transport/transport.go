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
	"net"
	"net/http"
)

// ErrStatus means that an answer's status is none that may end a request, so that it is not an answer. The request may have
// run.
var ErrStatus = errors.New("transport: invalid status")

const (
	// minStatus and maxStatus bound the final statuses of HTTP. Informational ones come before an answer.
	minStatus = 200
	maxStatus = 599
)

// Transport is an http.RoundTripper.
type Transport struct {
	base *http.Transport
}

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
		base: base,
	}
}

// RoundTrip sends a request and returns the response once its headers have arrived, or ErrStatus if it has no valid status.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w %03d", ErrStatus, response.StatusCode)
	}
	return response, nil
}

// CloseIdleConnections closes the connections that are kept for further requests.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}
