package vm

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"rhubarbrudder/internal/batch"
	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/memory"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/platform"
)

const (
	// maxBody bounds a body if the configuration sets no limit.
	maxBody = 8 << 20
	// initialBodyBytes is the maximum size of the buffer that is allocated before any part of a body arrives.
	initialBodyBytes = 64 << 10
	// unavailableRetry is the retry delay for callers that are refused with status 503, such as while the store is
	// unavailable.
	unavailableRetry = 400 * time.Millisecond
	// shortBodyTime is how long a refusal waits for the rest of the body, so that the connection can stay open.
	shortBodyTime = 20 * time.Millisecond
	// refusedBodyTime and maxRefusedBody bound how long and how much the rest of a refused body is read afterwards.
	refusedBodyTime = 500 * time.Millisecond
	maxRefusedBody  = maxBody
	// stoppingReason is the reason, in the log, of refusals by a VM that stops.
	stoppingReason = "stopping"
)

// front is the HTTP handler for callers' requests.
type front struct {
	view         *route.View
	forwarder    *forward.Forwarder
	batchManager *batch.Manager
	headers      platform.Headers
	draining     atomic.Bool
	// refusing means that no further requests are served, because the VM stops.
	refusing atomic.Bool
	// active counts the requests that have not been answered yet.
	active atomic.Int64
	// jobLookups holds a token for each lookup of a job whose route is unknown.
	jobLookups chan struct{}
	// outdated reports whether this VM must not decide about keys, because its configuration was not confirmed lately.
	outdated func() bool
	// memory counts what is held for callers.
	memory *memory.Budget
	log    *slog.Logger
}

// ServeHTTP answers a request according to its route.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	f.active.Add(1)
	defer f.active.Add(-1)
	// A draining VM closes connections so that callers send their next request to another one. The connection of a
	// chunked request is closed too: if the request also had a Content-Length, which net/http has dropped, a proxy in
	// front of this VM may disagree about where the request ends.
	if f.draining.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if f.refusing.Load() {
		f.refuseUnread(w, r, http.StatusServiceUnavailable, stoppingReason)
		return
	}
	config := f.view.Current()
	if config == nil {
		f.refuseUnread(w, r, http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	rt := config.Match(r.Host, pathOf(r))
	caller := f.identify(r, config)
	if caller.Keyed && !f.permit(w, r, caller, isPublic(r, config, rt)) {
		return
	}
	account := f.open(r, caller)
	defer account.Close()
	if !account.Reserve(requestBytes) {
		f.refuseUnread(w, r, http.StatusServiceUnavailable, memoryReason)
		return
	}
	if f.serveKnownJob(w, r, config, rt, caller, account) {
		return
	}
	if rt == nil {
		f.refuseUnread(w, r, http.StatusNotFound, "no route")
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(arrived.Add(rt.Timeout))
	body, status := readBody(r, config.Limits, account)
	_ = control.SetReadDeadline(time.Time{})
	if status != 0 {
		// The reason "body" stands for any failure of readBody, also for headers that are too large; the status tells
		// which one it is.
		f.refuseUnread(w, r, status, "body")
		return
	}
	if f.refusing.Load() {
		f.refuse(w, r, http.StatusServiceUnavailable, stoppingReason)
		return
	}
	if rt.Kind == route.KindBatch {
		f.accept(w, r, rt, caller, account, body)
		return
	}
	if f.confirmJob(w, r, caller, body) {
		return
	}
	f.forwarder.Serve(w, r, rt, caller, account, body, arrived)
}

// pathOf returns the path as sent by the caller, without decoding.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// readBody reads a body within the limits, which also cover the headers. The status is zero on success and otherwise
// that of the refusal.
func readBody(r *http.Request, limits route.Limits, account *memory.Account) ([]byte, int) {
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return nil, http.StatusRequestHeaderFieldsTooLarge
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	body, err := readAll(r.Body, r.ContentLength, limit, account)
	switch {
	case errors.Is(err, errNoMemory):
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case err != nil:
		return nil, http.StatusBadRequest
	}
	if int64(len(body)) > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	return body, 0
}

func headerBytes(r *http.Request) int64 {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}

// refuse answers with the status of a refusal. In the log, the request is "turned away" and the key why has
// the reason.
func (f *front) refuse(w http.ResponseWriter, r *http.Request, status int, reason string) {
	log := f.log
	if config := f.view.Current(); config != nil && config.HasOrganisations() {
		log = log.With("organisation", f.identify(r, config).Organisation)
	}
	log.Info("turned away", "id", f.headers.Meta(r).ID, "host", r.Host, "path", r.URL.Path, "status", status, "why", reason)
	switch {
	case status != http.StatusServiceUnavailable:
	case f.refusing.Load():
		f.headers.SetRetryAfter(w.Header(), forward.StoppingRetry)
	default:
		f.headers.SetRetryAfter(w.Header(), unavailableRetry)
	}
	w.WriteHeader(status)
}

// refuseUnread refuses a request whose body has not been read to its end. Closing a connection with unread data resets it,
// and a caller that is reset while it sends may never read the answer. So what the caller still sends is read, for a time.
func (f *front) refuseUnread(w http.ResponseWriter, r *http.Request, status int, reason string) {
	control := http.NewResponseController(w)
	if skipBody(control, r.Body, shortBodyTime) {
		f.refuse(w, r, status, reason)
		return
	}
	// The rest of the body must not be taken for another request.
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", "0")
	// Otherwise the answer would wait for the rest of the body.
	_ = control.EnableFullDuplex()
	f.refuse(w, r, status, reason)
	_ = control.Flush()
	if !skipBody(control, r.Body, refusedBodyTime) {
		// Otherwise the server would wait for the rest before it closes the connection.
		_ = control.SetReadDeadline(time.Now())
	}
}

// skipBody reads the rest of a body for a time, and reports whether it has ended.
func skipBody(control *http.ResponseController, body io.Reader, timeout time.Duration) bool {
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.CopyN(io.Discard, body, maxRefusedBody)
	_ = control.SetReadDeadline(time.Time{})
	return errors.Is(err, io.EOF)
}

func (f *front) write(w http.ResponseWriter, body []byte) {
	if _, err := w.Write(body); err != nil {
		// The response could not be written, usually because the caller has closed the connection.
		f.log.Info("answer not taken", "err", err)
	}
}
