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
)

// Client sends requests to endpoints.
type Client struct {
	// kept keeps connections open between requests; its transport may repeat a request by itself.
	kept *http.Client
	// fresh opens a connection for each request, on which the transport never repeats one.
	fresh *http.Client
}

const (
	dialTimeout     = time.Second
	idleConnections = 256
	idleTimeout     = 90 * time.Second
)

// NewClient returns a client whose connections to endpoints are kept open between requests that may be repeated.
func NewClient() *Client {
	return &Client{
		kept:  newHTTPClient(true),
		fresh: newHTTPClient(false),
	}
}

func newHTTPClient(keep bool) *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableKeepAlives:   !keep,
			MaxIdleConns:        0,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Answer is an endpoint's answer as it arrives; the caller closes it.
type Answer struct {
	Status int
	Header http.Header
	// Streamed says that the answer is a stream of events, to be read with Next.
	Streamed bool
	body     io.ReadCloser
	events   ssestream.Decoder
}

// endMarker is the data of the event that ends a stream.
const endMarker = "[DONE]"

// Send sends the request with the body to the endpoint. Cancelling ctx cancels the request at the endpoint.
// ErrNotSent means that not a byte went out.
func (c *Client) Send(ctx context.Context, target Endpoint, r request.Request, body []byte) (*Answer, error) {
	at, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	req, err := sling.New().Base("http://" + target.Address).Body(bytes.NewReader(body)).Request()
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	req = req.WithContext(ctx)
	// Resolving the path against the base could change the host.
	at.Scheme = req.URL.Scheme
	at.Host = req.URL.Host
	req.URL = at
	req.Method = r.Method
	copyHeader(req.Header, r.Header)
	req.Header.Set(HeaderRequestID, string(r.ID))
	req.Header.Set(HeaderClass, string(r.Class))
	client := c.kept
	if !r.Idempotent {
		client = c.fresh
	}
	response, err := client.Do(req)
	if err != nil {
		return nil, sendError(err)
	}
	answer := &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		body:   response.Body,
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		answer.Streamed = true
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

// sendError tells a request of which nothing was sent from one that may have arrived.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Join(ErrNotSent, err)
	}
	return errors.Join(ErrBroken, err)
}

// Next returns the data of the next event, io.EOF after the end marker, and ErrBroken if the stream ends without it.
func (a *Answer) Next() ([]byte, error) {
	for a.events.Next() {
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

// maxWholeBytes bounds an answer that is not streamed.
const maxWholeBytes = 64 << 20

// ReadBody returns the body of an answer that is not streamed, and ErrBroken if it did not arrive whole.
func (a *Answer) ReadBody() ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(a.body, maxWholeBytes+1))
	if err != nil {
		return nil, errors.Join(ErrBroken, err)
	}
	if len(data) > maxWholeBytes {
		return nil, ErrTooLarge
	}
	return data, nil
}

// Close ends the answer; closing before its end cancels it at the endpoint.
func (a *Answer) Close() {
	_ = a.body.Close()
}
