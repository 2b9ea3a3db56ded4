package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/pool"
)

var (
	// ErrNotSent means that not a byte of the request left.
	ErrNotSent = errors.New("forward: not sent")
	// ErrBroken means that the endpoint's answer did not arrive or broke off; the request may have run.
	ErrBroken = errors.New("forward: broken off")
	// ErrNotRun means that the endpoint turned the request away without running it.
	ErrNotRun = errors.New("forward: not run")
	// ErrLeaving means that the request was not sent because the endpoint takes no new work.
	ErrLeaving = errors.New("forward: endpoint leaves")
	// ErrStalled means that the endpoint sent nothing for too long.
	ErrStalled = errors.New("forward: stalled")
)

type (
	// RequestID names one attempt of a caller, or an item of a batch job.
	RequestID string
)

// Meta is what the forwarder must know of a request.
type Meta struct {
	ID RequestID
	// Budget is how long the caller will wait; zero if it did not say.
	Budget time.Duration
	// After is the id of the last event that the caller has, if it Resumes.
	After   int64
	Resumes bool
}

// Send is one sending of a request to an endpoint.
type Send struct {
	Endpoint inventory.ID
	// Left is the time that the caller still waits; zero if there is no bound.
	Left time.Duration
	// After is the id of the last event that was received, if this send Resumes a stream.
	After   int64
	Resumes bool
}

// Verdict is what an endpoint's answer tells about a request.
type Verdict int

const (
	// VerdictAnswer is an answer to the request, whatever its status.
	VerdictAnswer Verdict = iota
	// VerdictNotRun means that the endpoint did not run the request.
	VerdictNotRun
	// VerdictElsewhere means that another endpoint has the address now; it did not run the request.
	VerdictElsewhere
	// VerdictForeign is an answer that does not belong to the request, which may have run.
	VerdictForeign
)

// Headers translates headers of callers and endpoints.
type Headers interface {
	Meta(r *http.Request) Meta
	Outgoing(from http.Header, send Send) http.Header
	Judge(response *http.Response, id RequestID) Verdict
	Returned(from http.Header) http.Header
	SetRetryAfter(to http.Header, after time.Duration)
}

// Call is a request to an endpoint, without what concerns one sending.
type Call struct {
	ID     RequestID
	Method string
	Host   string
	// Target is the path and the query, byte for byte.
	Target string
	Header http.Header
	Body   []byte
}

// Sender sends requests to endpoints, each on a connection of its own: no answer of an earlier request can wait on it,
// and the transport never repeats a request.
type Sender struct {
	client  *http.Client
	headers Headers
}

const (
	// dialTimeout bounds the making of a connection. Two ways between failure domains take two milliseconds and an
	// endpoint accepts in one, so that a longer silence means an endpoint that is gone.
	dialTimeout = 250 * time.Millisecond
	// copyBuffer is the size of a connection's buffers; many connections are open at once.
	copyBuffer = 2 << 10
)

// NewSender returns a sender.
func NewSender(headers Headers) *Sender {
	dialer := &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1,
	}
	return &Sender{
		headers: headers,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:        dialer.DialContext,
				DisableKeepAlives:  true,
				DisableCompression: true,
				ReadBufferSize:     copyBuffer,
				WriteBufferSize:    copyBuffer,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Check returns ErrLeaving if an endpoint that was granted takes no new work as far as this VM knows.
func Check(list Inventory, granted inventory.Endpoint) error {
	if list.Left(granted.ID) {
		return ErrLeaving
	}
	return nil
}

// Open sends the call to the endpoint and returns the answer's beginning; the caller closes its body. Cancelling ctx
// closes the connection. ErrNotSent and ErrNotRun mean that the request did not run there, ErrBroken that it may have.
func (s *Sender) Open(ctx context.Context, to inventory.Endpoint, call Call, send Send) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+to.Address+"/", onceReader(call.Body))
	if err != nil {
		return nil, oops.In("forward").Wrap(errors.Join(ErrNotSent, err))
	}
	req.URL = &url.URL{
		Scheme: "http",
		Host:   to.Address,
		Opaque: call.Target,
	}
	req.Host = call.Host
	req.ContentLength = int64(len(call.Body))
	send.Endpoint = to.ID
	req.Header = s.headers.Outgoing(call.Header, send)
	if _, has := req.Header["User-Agent"]; !has {
		req.Header["User-Agent"] = nil
	}
	response, err := s.client.Do(req)
	if err != nil {
		return nil, sendError(ctx, err)
	}
	switch s.headers.Judge(response, call.ID) {
	case VerdictAnswer:
		return response, nil
	case VerdictNotRun, VerdictElsewhere:
		_ = response.Body.Close()
		return nil, oops.In("forward").With("status", response.StatusCode).Wrap(ErrNotRun)
	case VerdictForeign:
	}
	_ = response.Body.Close()
	return nil, oops.In("forward").With("status", response.StatusCode).Wrapf(ErrBroken, "answer to another request")
}

// onceReader returns a reader of which the transport knows no way to start again.
func onceReader(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// sendError tells a request of which nothing was sent from one that may have arrived.
func sendError(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return oops.In("forward").Wrap(errors.Join(ErrNotSent, err))
	}
	if cause := context.Cause(ctx); cause != nil {
		return oops.In("forward").Wrap(errors.Join(ErrBroken, cause))
	}
	return oops.In("forward").Wrap(errors.Join(ErrBroken, err))
}

// Trouble returns what an error of a sending says about the endpoint.
func Trouble(err error) pool.Trouble {
	switch {
	case err == nil:
		return pool.TroubleNone
	case errors.Is(err, ErrLeaving):
		return pool.TroubleLeaving
	case errors.Is(err, ErrNotSent):
		return pool.TroubleUnreachable
	case errors.Is(err, ErrNotRun):
		return pool.TroubleFull
	case errors.Is(err, ErrStalled):
		return pool.TroubleSilent
	}
	return pool.TroubleBroken
}

// NotRun says whether an error means that the request did not run.
func NotRun(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrNotRun) || errors.Is(err, ErrLeaving)
}

// Watch cancels a sending that stalls.
type Watch struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// NewWatch returns a context that ends with ErrStalled unless Feed is called in time.
func NewWatch(ctx context.Context, first time.Duration) (context.Context, *Watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Watch{
		cancel: cancel,
		timer: time.AfterFunc(first, func() {
			cancel(ErrStalled)
		}),
	}
}

// Feed says that something arrived; the next must within the time.
func (w *Watch) Feed(next time.Duration) {
	w.timer.Reset(next)
}

// Cancel ends the sending for a reason.
func (w *Watch) Cancel(cause error) {
	w.cancel(cause)
}

// Stop ends the watch and the sending.
func (w *Watch) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}
