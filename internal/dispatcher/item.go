package dispatcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/steward"
)

const (
	// retryPause is the base of the exponential backoff between attempts of an item.
	retryPause = 100 * time.Millisecond
	// maxUnreachableRetries is the number of retries after which an item whose endpoint is unreachable is left to
	// another process. The limit grows by one each time that the lot is handed on.
	maxUnreachableRetries = 3
	// onceTimeout bounds an attempt of an item that may run at most once, which is never cancelled.
	onceTimeout = 10 * time.Minute
)

// errNoEndpoint means that the item has failed at every endpoint that this process can use.
var errNoEndpoint = errors.New("dispatcher: no other endpoint")

// runItem runs one item until it has a result, is deferred, or ctx ends.
func (r *run) runItem(ctx context.Context, index int) {
	pauses := 0
	for ctx.Err() == nil {
		grant, err := r.acquire(ctx, index)
		if errors.Is(err, errNoEndpoint) {
			r.deferItem(index)
			return
		}
		if err != nil {
			return
		}
		cause, ended := r.tryItem(ctx, grant, index)
		if ended {
			return
		}
		if cause == causeYield {
			continue
		}
		r.avoidEndpoint(index, grant.Endpoint.ID, cause)
		if cause.countsAsAttempt() && r.countFailure(index, cause) {
			return
		}
		pauses++
		if cause.kind == failureUnreachable && pauses > maxUnreachableRetries+r.handoffs() {
			r.deferItem(index)
			return
		}
		if !pause(ctx, min(retryPause<<min(pauses, 6), maxRetryPause)) {
			return
		}
	}
}

// acquire waits for a slot at an endpoint at which the item has not failed. If this process has no such endpoint, it
// returns errNoEndpoint, so that the item is handed to another process. Once the lot has been handed on as often as the
// policy allows attempts, any endpoint may be used.
func (r *run) acquire(ctx context.Context, index int) (*steward.Grant, error) {
	avoid := r.avoidedEndpoints(index)
	if r.handoffs() >= r.policy.Attempts {
		avoid = nil
	}
	grant, err := r.dispatcher.capacity.Acquire(ctx, r.active.Service, avoid)
	if errors.Is(err, steward.ErrAvoided) {
		return nil, errNoEndpoint
	}
	return grant, err
}

// handoffs returns how often the lot's items were handed to another process or split off.
func (r *run) handoffs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lot.Remainder + r.lot.Hops
}

// avoidedEndpoints returns the endpoints at which the item has failed.
func (r *run) avoidedEndpoints(index int) map[endpoint.ID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	avoid := map[endpoint.ID]bool{}
	for _, id := range r.progress.Avoid[index] {
		avoid[id] = true
	}
	return avoid
}

// tryItem makes one attempt with the grant. It returns the cause of a failure, or true if work on the item is over.
func (r *run) tryItem(ctx context.Context, grant *steward.Grant, index int) (failure, bool) {
	defer grant.Release()
	if !r.dispatcher.mayStart(r.active.Job) {
		return causeYield, !pause(ctx, startRetryPause)
	}
	if r.active.Once {
		return r.tryOnce(ctx, grant, index)
	}
	started := r.markRunning(index)
	result, err := r.attempt(grant.Context(), grant.Endpoint, index)
	r.markStopped(index)
	if err == nil {
		r.setResult(index, result, time.Since(started))
		r.dispatcher.itemEnded(r.active.Service)
		return failure{}, true
	}
	if grant.Context().Err() != nil {
		return causeYield, false
	}
	return causeOf(err), false
}

func (r *run) markRunning(index int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.running[index] = now
	return now
}

func (r *run) markStopped(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, index)
}

func (r *run) setResult(index int, result job.Result, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress.Results[index] = result
	delete(r.progress.Partial, index)
	delete(r.progress.Attempts, index)
	delete(r.progress.Avoid, index)
	r.changed = true
	if took > 0 {
		r.durations = append(r.durations, took)
	}
}

// deferItem leaves an item to another process.
func (r *run) deferItem(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deferred[index] = true
}

// avoidEndpoint excludes the endpoint from the item's next attempts, unless it is only overloaded or rate-limiting.
func (r *run) avoidEndpoint(index int, id endpoint.ID, cause failure) {
	if cause.kind == failureOverloaded {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.progress.Avoid[index], id) {
		r.progress.Avoid[index] = append(r.progress.Avoid[index], id)
	}
	r.changed = true
}

// countFailure counts a failed attempt. If it was the last that the policy allows, it stores the item's failure and
// returns true.
func (r *run) countFailure(index int, cause failure) bool {
	r.mu.Lock()
	r.progress.Attempts[index]++
	attempts := r.progress.Attempts[index]
	r.changed = true
	r.mu.Unlock()
	if attempts < r.policy.Attempts {
		return false
	}
	r.dispatcher.note(r.active.Job, "item failed", fact("item", r.items[index].CustomID), fact("reason", cause.reason))
	r.setResult(index, job.Result{
		ID:       request.NewID(),
		CustomID: r.items[index].CustomID,
		Error: &job.ResultError{
			Code:    "attempts_exhausted",
			Message: cause.reason,
		},
	}, 0)
	return true
}
