package vm

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"rhubarbrudder/internal/batch"
	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/memory"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/platform"
)

const (
	// maxListingBytes bounds the output of the results in one response, below the 1 MB that callers accept.
	maxListingBytes = 900_000
	// fullRetry is the retry delay for batch jobs that exceed the token cap: long enough for some items of
	// other jobs to complete.
	fullRetry = time.Second
	// listingPoll is the time between reads of the store while a caller waits for a result.
	listingPoll = 300 * time.Millisecond
	// maxJobLookups bounds the concurrent reads of the store for requests without a batch route, which may be about a job
	// that was accepted when there was one.
	maxJobLookups = 16
)

// serveKnownJob serves a request that is about a batch job, and reports whether it did. A job outlives its route, which a
// later configuration may remove or move to another host or path; rt is the route of the request in the present one, or nil. The
// caller is permitted to make calls, though not about the jobs of other organisations.
func (f *front) serveKnownJob(w http.ResponseWriter, r *http.Request, config *route.Config, rt *route.Route, caller forward.Caller, account *memory.Account) bool {
	call, isCall := platform.ParseJobCall(r)
	switch {
	case isCall && hasBatchRoute(config, r.Host):
		f.serveJobCall(w, r, caller, account, call)
		return true
	case isCall:
		return f.serveUnroutedCall(w, r, caller, account, call, rt)
	case rt == nil && platform.MaySubmit(r):
		return f.acceptAgain(w, r, caller, account, config.Limits)
	}
	return false
}

// serveUnroutedCall serves a call for a job on a host without a batch route. If there is a route of another kind, it may be
// an online request instead.
func (f *front) serveUnroutedCall(w http.ResponseWriter, r *http.Request, caller forward.Caller, account *memory.Account, call platform.JobCall, rt *route.Route) bool {
	exists, err := f.lookUpJob(r, caller, call.ID)
	switch {
	case err != nil:
		f.refuseUnread(w, r, http.StatusServiceUnavailable, err.Error())
		return true
	case exists:
		f.log.Info("job call without a batch route", "job", call.ID, "host", r.Host)
		f.serveJobCall(w, r, caller, account, call)
		return true
	case rt == nil:
		f.refuseUnread(w, r, http.StatusNotFound, "no such job")
		return true
	}
	return false
}

// acceptAgain confirms a job that was accepted when it still had a route, and reports whether it answered the request.
func (f *front) acceptAgain(w http.ResponseWriter, r *http.Request, caller forward.Caller, account *memory.Account, limits route.Limits) bool {
	id := batch.JobID(f.headers.Meta(r).ID)
	exists, err := f.lookUpJob(r, caller, id)
	if err != nil {
		f.refuseUnread(w, r, http.StatusServiceUnavailable, err.Error())
		return true
	}
	if !exists {
		return false
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(headerTime))
	if _, status := readBody(r, limits, account); status != 0 {
		f.refuseUnread(w, r, status, "body")
		return true
	}
	f.answerKnownJob(w, r, id)
	return true
}

// confirmJob confirms a job likewise if a route of another kind, by which the request would be forwarded, has taken over the path of
// the job's route. It reports whether it answered the request.
func (f *front) confirmJob(w http.ResponseWriter, r *http.Request, caller forward.Caller, body []byte) bool {
	if !platform.MaySubmit(r) || !platform.MayBeSubmission(body) {
		return false
	}
	submission, err := platform.DecodeSubmission(r, body)
	if err != nil {
		return false
	}
	exists, err := f.lookUpJob(r, caller, submission.ID)
	if err != nil {
		f.refuse(w, r, http.StatusServiceUnavailable, err.Error())
		return true
	}
	if exists {
		f.answerKnownJob(w, r, submission.ID)
	}
	return exists
}

// answerKnownJob answers the submission of a job that exists.
func (f *front) answerKnownJob(w http.ResponseWriter, r *http.Request, id batch.JobID) {
	f.log.Info("job already exists", "job", id, "host", r.Host)
	w.WriteHeader(http.StatusAccepted)
}

// errLookups means that as many lookups of jobs are in progress as are allowed.
var errLookups = errors.New("vm: too many lookups of jobs")

// lookUpJob reports whether the job exists and was submitted to the host of the request.
func (f *front) lookUpJob(r *http.Request, caller forward.Caller, id batch.JobID) (bool, error) {
	select {
	case f.jobLookups <- struct{}{}:
	default:
		return false, errLookups
	}
	defer func() { <-f.jobLookups }()
	return f.batchManager.Exists(r.Context(), caller, id, r.Host)
}

// hasBatchRoute reports whether a host has a route for batch jobs.
func hasBatchRoute(config *route.Config, host string) bool {
	for i := range config.Routes {
		if config.Routes[i].Kind == route.KindBatch && config.Routes[i].Host == host {
			return true
		}
	}
	return false
}

// accept decodes a batch job, passes it to the batch manager and answers with the status of the outcome.
func (f *front) accept(w http.ResponseWriter, r *http.Request, rt *route.Route, caller forward.Caller, account *memory.Account, body []byte) {
	if r.Method != http.MethodPost {
		// The logged reason "method" means that only POST is allowed.
		f.refuse(w, r, http.StatusMethodNotAllowed, "method")
		return
	}
	if !account.Reserve(submissionFactor * memory.Bytes(len(body))) {
		f.refuse(w, r, http.StatusServiceUnavailable, memoryReason)
		return
	}
	submission, err := platform.DecodeSubmission(r, body)
	if err != nil {
		f.log.Info("job cannot be decoded", "err", err)
		f.refuse(w, r, http.StatusBadRequest, "job cannot be decoded")
		return
	}
	submission.Organisation = caller.Organisation
	if caller.Keyed {
		platform.RemoveCallerHeaders(submission)
	}
	err = f.batchManager.Accept(context.WithoutCancel(r.Context()), submission, rt)
	switch {
	case err == nil:
		w.WriteHeader(http.StatusAccepted)
	case errors.Is(err, batch.ErrFull):
		f.headers.SetRetryAfter(w.Header(), fullRetry)
		if caller.Keyed {
			f.refuse(w, r, http.StatusTooManyRequests, err.Error())
			return
		}
		w.WriteHeader(http.StatusTooManyRequests)
	case errors.Is(err, batch.ErrNotAccepted):
		f.refuse(w, r, http.StatusServiceUnavailable, err.Error())
	default:
		f.refuse(w, r, http.StatusGatewayTimeout, err.Error())
	}
}

func (f *front) serveJobCall(w http.ResponseWriter, r *http.Request, caller forward.Caller, account *memory.Account, call platform.JobCall) {
	switch call.Verb {
	case platform.JobRead:
		f.readJob(w, r, caller, account, call)
	case platform.JobBody:
		body, err := f.batchManager.Body(r.Context(), caller, call.ID, call.Item)
		if err != nil {
			f.refuseJobCall(w, r, err)
			return
		}
		account.Add(memory.Bytes(len(body)))
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		f.write(w, body)
	case platform.JobEnd:
		if err := f.batchManager.End(context.WithoutCancel(r.Context()), caller, call.ID); err != nil {
			f.refuseJobCall(w, r, err)
			return
		}
		w.WriteHeader(http.StatusOK)
	}
}

// readJob answers with a job's results from a position on. If there is no such result yet, it waits up to call.Wait for
// the first one.
func (f *front) readJob(w http.ResponseWriter, r *http.Request, caller forward.Caller, account *memory.Account, call platform.JobCall) {
	deadline := time.Now().Add(call.Wait)
	for {
		listing, err := f.batchManager.Results(r.Context(), caller, call.ID, call.From, maxListingBytes)
		if err != nil {
			f.refuseJobCall(w, r, err)
			return
		}
		if len(listing.Results) == 0 && call.From < listing.Total && time.Until(deadline) > listingPoll && !f.refusing.Load() {
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
		account.Add(memory.Bytes(len(body)))
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		f.write(w, body)
		return
	}
}

func (f *front) refuseJobCall(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, batch.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, batch.ErrKeyNeeded):
		status = http.StatusUnauthorized
		f.headers.SetChallenge(w.Header())
	}
	f.refuse(w, r, status, err.Error())
}
