package vm

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rhubarbrudder/internal/batch"
	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/platform"
)

const (
	// maxBody bounds a body where the configuration sets no bound.
	maxBody = 8 << 20
	// firstBody is the memory that is taken for a body before any of it arrives.
	firstBody = 64 << 10
	// listingBytes is how much output one answer about a job holds, below the 1 MB that callers take.
	listingBytes = 900_000
	// busyRetry is when a caller should come back that was turned away because the store is away.
	busyRetry = 400 * time.Millisecond
	// fullRetry is when a batch job that does not fit should come back: about when some items are done.
	fullRetry = time.Second
	// listingPoll is how often the store is read while a caller waits for a result.
	listingPoll = 300 * time.Millisecond
)

// front answers callers.
type front struct {
	view      *route.View
	forwarder *forward.Forwarder
	keeper    *batch.Keeper
	headers   platform.Headers
	draining  atomic.Bool
	// active counts requests that are not answered yet.
	active atomic.Int64
	log    *slog.Logger
}

// ServeHTTP answers a request by its route.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	f.active.Add(1)
	defer f.active.Add(-1)
	// After chunks nothing more is read: if there was a length as well, which the server has dropped, a proxy before this
	// VM may have seen the request end elsewhere.
	if f.draining.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	config := f.view.Current()
	if config == nil {
		f.refuse(w, r, http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	if call, is := platform.ParseJobCall(r); is && takesJobs(config, r.Host) {
		f.serveJobCall(w, r, call)
		return
	}
	to := config.Match(r.Host, pathOf(r))
	if to == nil {
		f.refuse(w, r, http.StatusNotFound, "no route")
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(arrived.Add(to.Timeout))
	body, status := readBody(r, config.Limits)
	_ = control.SetReadDeadline(time.Time{})
	if status != 0 {
		f.refuse(w, r, status, "body")
		return
	}
	if to.Kind == route.KindBatch {
		f.accept(w, r, to, body)
		return
	}
	f.forwarder.Serve(w, r, to, body, arrived)
}

// pathOf returns the path as the caller sent it.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// takesJobs says whether a host has a route for batch jobs.
func takesJobs(config *route.Config, host string) bool {
	for i := range config.Routes {
		if config.Routes[i].Kind == route.KindBatch && config.Routes[i].Host == host {
			return true
		}
	}
	return false
}

// readBody reads a body within the limits; the status is zero or that of a refusal.
func readBody(r *http.Request, limits route.Limits) ([]byte, int) {
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return nil, http.StatusRequestHeaderFieldsTooLarge
	}
	most := limits.BodyBytes
	if most <= 0 {
		most = maxBody
	}
	if r.ContentLength > most {
		return nil, http.StatusRequestEntityTooLarge
	}
	// Memory is taken as the body arrives: a length alone costs a caller nothing.
	body := bytes.NewBuffer(make([]byte, 0, min(max(r.ContentLength, 0)+bytes.MinRead, firstBody)))
	if _, err := body.ReadFrom(io.LimitReader(r.Body, most+1)); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, http.StatusRequestTimeout
		}
		return nil, http.StatusBadRequest
	}
	if int64(body.Len()) > most {
		return nil, http.StatusRequestEntityTooLarge
	}
	return body.Bytes(), 0
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

func (f *front) refuse(w http.ResponseWriter, r *http.Request, status int, why string) {
	f.log.Info("turned away", "id", f.headers.Meta(r).ID, "host", r.Host, "path", r.URL.Path, "status", status, "why", why)
	if status == http.StatusServiceUnavailable {
		f.headers.SetRetryAfter(w.Header(), busyRetry)
	}
	w.WriteHeader(status)
}

// accept takes a batch job.
func (f *front) accept(w http.ResponseWriter, r *http.Request, to *route.Route, body []byte) {
	if r.Method != http.MethodPost {
		f.refuse(w, r, http.StatusMethodNotAllowed, "method")
		return
	}
	submission, err := platform.DecodeSubmission(r, body)
	if err != nil {
		f.log.Info("job not understood", "err", err)
		f.refuse(w, r, http.StatusBadRequest, "job not understood")
		return
	}
	err = f.keeper.Accept(context.WithoutCancel(r.Context()), submission, to)
	switch {
	case err == nil:
		w.WriteHeader(http.StatusAccepted)
	case errors.Is(err, batch.ErrFull):
		f.headers.SetRetryAfter(w.Header(), fullRetry)
		w.WriteHeader(http.StatusTooManyRequests)
	case errors.Is(err, batch.ErrNotAccepted):
		f.refuse(w, r, http.StatusServiceUnavailable, err.Error())
	default:
		f.refuse(w, r, http.StatusGatewayTimeout, err.Error())
	}
}

func (f *front) serveJobCall(w http.ResponseWriter, r *http.Request, call platform.JobCall) {
	switch call.Verb {
	case platform.JobRead:
		f.readJob(w, r, call)
	case platform.JobBody:
		body, err := f.keeper.Body(r.Context(), call.ID, call.Item)
		if err != nil {
			f.refuseJobCall(w, r, err)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		f.write(w, body)
	case platform.JobEnd:
		if err := f.keeper.End(context.WithoutCancel(r.Context()), call.ID); err != nil {
			f.refuseJobCall(w, r, err)
			return
		}
		w.WriteHeader(http.StatusOK)
	}
}

// readJob answers with the results from a position on; if there is none yet, it waits for one as long as it may.
func (f *front) readJob(w http.ResponseWriter, r *http.Request, call platform.JobCall) {
	until := time.Now().Add(call.Wait)
	for {
		listing, err := f.keeper.Results(r.Context(), call.ID, call.From, listingBytes)
		if err != nil {
			f.refuseJobCall(w, r, err)
			return
		}
		if len(listing.Results) == 0 && call.From < listing.Total && time.Until(until) > listingPoll {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(listingPoll):
				continue
			}
		}
		body, err := platform.EncodeListing(listing, call.From)
		if err != nil {
			f.refuseJobCall(w, r, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		f.write(w, body)
		return
	}
}

func (f *front) refuseJobCall(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, batch.ErrNotFound) {
		status = http.StatusNotFound
	}
	f.refuse(w, r, status, err.Error())
}

func (f *front) write(w http.ResponseWriter, body []byte) {
	if _, err := w.Write(body); err != nil {
		f.log.Info("answer not taken", "err", err)
	}
}
