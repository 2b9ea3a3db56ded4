// Package transport sends HTTP requests, like net/http, and tells answers of faulty servers from whole ones.
//
// net/http takes the end of a connection for the end of an answer without a length. If the server resets the connection while the
// request is still being sent, the write meets the reset and the read an ordinary end. The other way round, the failed write makes
// net/http drop an answer that has arrived.
package transport

import (
	"context"
	"net"
	"net/http"
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

// RoundTrip sends a request and returns the response once its headers have arrived.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.base.RoundTrip(r)
}

// CloseIdleConnections closes the connections that are kept for further requests.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}
