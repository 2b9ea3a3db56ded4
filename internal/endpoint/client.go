package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/openai/openai-go/v3/packages/ssestream"

	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/transport"
)

// Client sends requests to endpoints.
type Client struct {
	// pooled keeps connections open between requests. Its transport may resend a request on its own.
	pooled *transport.Transport
	// unpooled opens a new connection for each request, so that the transport never resends one.
	unpooled *transport.Transport
	// shared is the memory that long bodies of answers take together.
	shared sharedBytes
}

const (
	dialTimeout     = time.Second
	idleConnections = 256
	idleTimeout     = 90 * time.Second
	// maxHeaderBytes bounds the headers of an answer, together with those of informational answers before it.
	maxHeaderBytes = 64 << 10
	// maxEventBytes bounds an event of a stream, together with blank lines and comments before it.
	maxEventBytes = 1 << 20
)

// NewClient returns a client that reuses connections to endpoints, but only for idempotent requests.
func NewClient() *Client {
	return &Client{
		pooled:   newTransport(true),
		unpooled: newTransport(false),
	}
}

func newTransport(keepAlive bool) *transport.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return transport.New(&http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      !keepAlive,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// Answer is an endpoint's answer, read as it arrives. Whoever receives it must close it.
type Answer struct {
	Status int
	Header http.Header
	// Streamed says that the answer is a stream of events, to be read with Next.
	Streamed bool
	body     io.ReadCloser
	events   ssestream.Decoder
	// limit bounds what is read for one event of a stream.
	limit *eventLimit
	// reserved is the part of the shared memory that the body takes, in bytes.
	shared   *sharedBytes
	reserved int64
}

// eventLimit is a body that can't be read further once maxEventBytes were read without a complete event. The decoder of
// events has no such limit.
type eventLimit struct {
	io.ReadCloser
	read int
}

// Read reads from the body. It returns ErrTooLarge if an event is too large.
func (l *eventLimit) Read(data []byte) (int, error) {
	if l.read > maxEventBytes {
		return 0, ErrTooLarge
	}
	n, err := l.ReadCloser.Read(data)
	l.read += n
	return n, err
}

// endMarker is the data of the event that ends a stream.
const endMarker = "[DONE]"

// Send sends the request with the body to the endpoint. Cancelling ctx cancels the request at the endpoint.
// ErrNotSent means that no byte of it was sent.
func (c *Client) Send(ctx context.Context, target Endpoint, r request.Request, body []byte) (*Answer, error) {
	location, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	req, err := sling.New().Base("http://" + target.Address).Body(bytes.NewReader(body)).Request()
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	req = req.WithContext(ctx)
	// Resolving the path against the base could change the host.
	location.Scheme = req.URL.Scheme
	location.Host = req.URL.Host
	req.URL = location
	req.Method = r.Method
	copyHeader(req.Header, r.Header)
	req.Header.Set(HeaderRequestID, string(r.ID))
	req.Header.Set(HeaderClass, string(r.Class))
	sender := c.pooled
	if !r.Idempotent {
		sender = c.unpooled
	}
	response, err := sender.RoundTrip(req)
	if err != nil {
		return nil, sendError(err)
	}
	answer := &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		body:   response.Body,
		shared: &c.shared,
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		answer.Streamed = true
		answer.limit = &eventLimit{
			ReadCloser: response.Body,
		}
		response.Body = answer.limit
		answer.events = ssestream.NewDecoder(response)
	}
	return answer, nil
}

func copyHeader(to, from http.Header) {
	for _, name := range []string{"Content-Type", "Accept", "Idempotency-Key"} {
		if values := from.Values(name); len(values) > 0 {
			to[name] = values
		}
	}
}

// sendError returns ErrNotSent if the connection could not be opened, and ErrBroken if the request may have arrived.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Join(ErrNotSent, err)
	}
	return errors.Join(ErrBroken, err)
}

// Next returns the data of the next event. It returns io.EOF at the end marker and ErrBroken if the stream ends without
// it.
func (a *Answer) Next() ([]byte, error) {
	for a.events.Next() {
		a.limit.read = 0
		data := bytes.TrimSpace(a.events.Event().Data)
		if len(data) == 0 {
			continue
		}
		if string(data) == endMarker {
			return nil, io.EOF
		}
		return data, nil
	}
	return nil, errors.Join(ErrBroken, a.events.Err())
}

// Close closes the answer. Closing it before its end cancels the request at the endpoint.
func (a *Answer) Close() {
	_ = a.body.Close()
	a.shared.add(-a.reserved)
}
