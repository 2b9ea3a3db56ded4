package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/prompt"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/transport"
)

var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("forward: request not sent")
	// ErrBroken means that the endpoint's answer did not arrive, is incomplete or can't be used, for instance because of
	// its status; the request may have run.
	ErrBroken = errors.New("forward: broken off")
	// ErrNotRun means that the endpoint rejected the request without running it.
	ErrNotRun = errors.New("forward: request rejected by the endpoint")
	// ErrLeaving means that the request was not sent because the endpoint takes no new work.
	ErrLeaving = errors.New("forward: endpoint is leaving")
	// ErrServerFailed means that the endpoint ran the request and answered with a server error. It is an ErrBroken.
	ErrServerFailed = fmt.Errorf("%w: answered with a server error", ErrBroken)
	// ErrStalled means that the endpoint sent nothing for too long.
	ErrStalled = errors.New("forward: no data from the endpoint in time")
)

type (
	// RequestID identifies one attempt of a caller, or an item of a batch job.
	RequestID string
)

// Meta is the part of a caller's headers that the forwarder uses.
type Meta struct {
	ID RequestID
	// Budget is how long the caller waits; zero if it did not state it.
	Budget time.Duration
	// After is the id of the last event that the caller received, if it resumes a stream.
	After   int64
	Resumes bool
}

// Caller identifies on whose behalf a request is sent.
type Caller struct {
	// Organisation is empty if the request came without a known key.
	Organisation route.OrganisationID
	// Keyed means that the configuration has organisations. The endpoint is then told the organisation, and it gets
	// neither the caller's key nor what the caller sent as the name of an organisation.
	Keyed bool
}

// In returns the caller as it counts while the configuration is in force. It stays keyed once it was, and becomes keyed if
// organisations have been defined since, so that no key reaches an endpoint.
func (c Caller) In(config *route.Config) Caller {
	c.Keyed = c.Keyed || config != nil && config.HasOrganisations()
	return c
}

// SendParams holds the parameters of one attempt to send a request to an endpoint.
type SendParams struct {
	Endpoint inventory.ID
	Caller   Caller
	// Left is how long the caller still waits; zero if there is no limit.
	Left time.Duration
	// After is the id of the last event received, if this attempt resumes a stream.
	After   int64
	Resumes bool
	// Answered, unless nil, is called with what the endpoint's answer says about its limit. A rejection says nothing if it
	// names none.
	Answered func(limit pool.Limit)
	// Leaves, unless nil, is called if the endpoint's answer says that the endpoint leaves.
	Leaves func()
}

// Verdict classifies an endpoint's answer to a request.
type Verdict int

const (
	// VerdictAnswer is an answer to the request, whatever its status.
	VerdictAnswer Verdict = iota
	// VerdictNotRun means that the endpoint did not run the request.
	VerdictNotRun
	// VerdictElsewhere means that the address now belongs to another endpoint, which did not run the request.
	VerdictElsewhere
	// VerdictForeign is an answer to another request; this one may have run.
	VerdictForeign
)

// Headers translates the headers of callers and endpoints.
type Headers interface {
	Meta(r *http.Request) Meta
	// Prompt returns the parts of a request's prompt, or nil if its headers name none.
	Prompt(from http.Header) prompt.Prompt
	// PromptTokens returns the size of a request's prompt that its headers state, or zero.
	PromptTokens(from http.Header) PromptTokens
	// Cost returns the number of tokens of a request's prompt and output that its headers state, at least one.
	Cost(from http.Header) pool.Cost
	// Outgoing returns the headers of a request to an endpoint, from those of the caller.
	Outgoing(from http.Header, send SendParams) http.Header
	// Limit returns what an endpoint's answer says about the requests that the endpoint takes.
	Limit(from http.Header) pool.Limit
	// Leaving reports whether an endpoint's answer says that the endpoint leaves.
	Leaving(from http.Header) bool
	// Judge classifies the answer to the request with the id.
	Judge(response *http.Response, id RequestID) Verdict
	// Returned returns the headers of an endpoint's answer that are passed to the caller.
	Returned(from http.Header) http.Header
	SetRetryAfter(to http.Header, after time.Duration)
}

// Call is a request to an endpoint, without the parameters of a single attempt.
type Call struct {
	ID     RequestID
	Method string
	Host   string
	// Target is the path and the query, byte for byte.
	Target string
	Header http.Header
	Body   []byte
	Caller Caller
}

// Sender sends requests to endpoints, each on a new connection. A new connection carries no late answer to an earlier
// request, and the transport does not repeat a request on it.
type Sender struct {
	transport *transport.Transport
	dialer    *net.Dialer
	headers   Headers
}

const (
	// dialTimeout is the time limit for a connection attempt. A round trip between failure domains takes 2 ms and an
	// endpoint accepts within 1 ms, so an endpoint that does not answer for this long is gone.
	dialTimeout = 250 * time.Millisecond
	// connBufferBytes is the size of a connection's buffers. It is small because many connections are open at once.
	connBufferBytes = 2 << 10
	// maxAnswerHeaderBytes bounds the headers of an endpoint's answer, together with those of informational answers
	// before it.
	maxAnswerHeaderBytes = 32 << 10
)

// NewSender returns a sender.
func NewSender(headers Headers) *Sender {
	dialer := &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1,
	}
	return &Sender{
		dialer:  dialer,
		headers: headers,
		transport: transport.New(&http.Transport{
			DialContext:            dialer.DialContext,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			ReadBufferSize:         connBufferBytes,
			WriteBufferSize:        connBufferBytes,
			MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		}),
	}
}

// Prompt returns the parts of a call's prompt, or nil if its headers name none.
func (s *Sender) Prompt(call Call) prompt.Prompt {
	return s.headers.Prompt(call.Header)
}

// PromptTokens returns the size of a call's prompt that its headers state, or zero.
func (s *Sender) PromptTokens(call Call) PromptTokens {
	return s.headers.PromptTokens(call.Header)
}

// CheckNotLeaving returns ErrLeaving if the granted endpoint takes no new work, as far as this VM knows.
func CheckNotLeaving(list Inventory, granted inventory.Endpoint) error {
	if list.LeavingOrGone(granted.Lifetime()) {
		return ErrLeaving
	}
	return nil
}

// Open sends the call to the endpoint and returns the response once its headers have arrived; the caller must close the
// body. Cancelling ctx closes the connection. ErrNotSent and ErrNotRun mean that the request did not run there,
// ErrBroken that it may have run.
func (s *Sender) Open(ctx context.Context, to inventory.Endpoint, call Call, send SendParams) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+to.Address+"/", onceReader(call.Body))
	if err != nil {
		return nil, oops.In("forward").Wrap(errors.Join(ErrNotSent, err))
	}
	if req.URL, err = targetURL(to.Address, call.Target); err != nil {
		return nil, oops.In("forward").Wrap(errors.Join(ErrNotSent, err))
	}
	req.Host = call.Host
	req.ContentLength = int64(len(call.Body))
	send.Endpoint = to.ID
	send.Caller = call.Caller
	req.Header = s.headers.Outgoing(call.Header, send)
	if _, has := req.Header["User-Agent"]; !has {
		req.Header["User-Agent"] = nil
	}
	response, err := s.transport.RoundTrip(req)
	if err != nil {
		return nil, sendError(ctx, err)
	}
	verdict := s.headers.Judge(response, call.ID)
	limit := s.headers.Limit(response.Header)
	// A rejection may be a short answer that leaves the limit out.
	if send.Answered != nil && (verdict == VerdictAnswer || verdict == VerdictNotRun && limit.Named) {
		send.Answered(limit)
	}
	// An answer to another request is from this endpoint, one from elsewhere is not.
	if send.Leaves != nil && verdict != VerdictElsewhere && s.headers.Leaving(response.Header) {
		send.Leaves()
	}
	switch verdict {
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

// errTarget means that a target cannot be sent byte for byte.
var errTarget = errors.New("forward: target cannot be sent unchanged")

// targetURL returns a URL with which the target is sent byte for byte. An opaque part that begins with two slashes would be
// sent as an absolute address, so such a target is given as a path.
func targetURL(address, target string) (*url.URL, error) {
	location := &url.URL{
		Scheme: "http",
		Host:   address,
		Opaque: target,
	}
	if !strings.HasPrefix(target, "//") {
		return location, nil
	}
	path, query, hasQuery := strings.Cut(target, "?")
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		return nil, err
	}
	location.Opaque = ""
	location.Path = unescaped
	location.RawPath = path
	location.RawQuery = query
	location.ForceQuery = hasQuery
	if location.RequestURI() != target {
		return nil, errTarget
	}
	return location, nil
}

// crashCheckTimeout bounds the attempt to connect to an endpoint that may have crashed; a live host answers at once.
const crashCheckTimeout = 50 * time.Millisecond

// CheckCrash completes what is known about a run that ended with an error. If the connection broke at the beginning of
// the answer, it tries whether the endpoint accepts another one; if it refuses, its process has ended.
func (s *Sender) CheckCrash(ctx context.Context, endpoint inventory.Endpoint, err error, ending pool.Ending) pool.Ending {
	broke := ending.Trouble == pool.TroubleBroken && !errors.Is(err, ErrServerFailed) && !errors.Is(err, ErrStalled)
	if !broke || ending.Sound() || ctx.Err() != nil {
		return ending
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	conn, err := s.dialer.DialContext(ctx, "tcp", endpoint.Address)
	if err == nil {
		_ = conn.Close()
		return ending
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		ending.Trouble = pool.TroubleCrashed
	}
	return ending
}

// EndsWithConnection reports whether an answer has neither a length nor chunks, so that it ends with its connection.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength == unknownLength && len(response.TransferEncoding) == 0
}

// onceReader returns a reader that the transport can't rewind, so that it can't repeat the request.
func onceReader(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// sendError distinguishes a request that was not sent from one that may have arrived.
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

// Trouble returns the failure of the endpoint that an error of an attempt indicates.
func Trouble(err error) pool.Trouble {
	switch {
	case err == nil:
		return pool.TroubleNone
	case errors.Is(err, ErrStopping):
		return pool.TroubleUnknown
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

// NotRun reports whether an error means that the request did not run.
func NotRun(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrNotRun) || errors.Is(err, ErrLeaving)
}

// Watchdog cancels an attempt that stalls.
type Watchdog struct {
	// timer cancels the attempt with ErrStalled unless it is reset in time.
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// NewWatchdog returns a watchdog and a context that ends with ErrStalled unless Feed is called within first.
func NewWatchdog(ctx context.Context, first time.Duration) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Watchdog{
		cancel: cancel,
		timer: time.AfterFunc(first, func() {
			cancel(ErrStalled)
		}),
	}
}

// Feed records that data arrived. It must be called again within next.
func (w *Watchdog) Feed(next time.Duration) {
	w.timer.Reset(next)
}

// Pause lets the attempt go on without data until the next call of Feed.
func (w *Watchdog) Pause() {
	w.timer.Stop()
}

// Cancel cancels the attempt with the cause.
func (w *Watchdog) Cancel(cause error) {
	w.cancel(cause)
}

// Stop stops the timer and cancels the attempt's context.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}
