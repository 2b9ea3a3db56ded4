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
	// retryPause is the pause before the first retry of an item; it doubles with each.
	retryPause = 100 * time.Millisecond
	// distinctWait is how long an item waits for an endpoint at which it has not failed.
	distinctWait = 2 * time.Second
	// unreachedTries is how often an item tries unreachable endpoints before it is left to another process;
	// each time that the lot was handed on allows one more.
	unreachedTries = 3
	// onceTimeout bounds an item that may run at most once and so is never cancelled.
	onceTimeout = 10 * time.Minute
)

// errNoEndpoint means that the item failed at each endpoint of this process.
var errNoEndpoint = errors.New("dispatcher: no other endpoint")

// item runs one item until it has a result, is deferred, or ctx ends.
func (r *run) item(ctx context.Context, index int) {
	pauses := 0
	for ctx.Err() == nil {
		grant, err := r.acquire(ctx, index)
		if errors.Is(err, errNoEndpoint) {
			r.defers(index)
			return
		}
		if err != nil {
			return
		}
		cause, ended := r.try(ctx, grant, index)
		if ended {
			return
		}
		if cause == causeYield {
			continue
		}
		r.avoid(index, grant.Endpoint.ID, cause)
		if cause.counts() && r.exhausted(index, cause) {
			return
		}
		pauses++
		if cause.kind == failureUnreached && pauses > unreachedTries+r.handedOn() {
			r.defers(index)
			return
		}
		if !pause(ctx, min(retryPause<<min(pauses, 6), longestPause)) {
			return
		}
	}
}

// acquire waits for a slot at an endpoint at which the item has not failed. If this process has none, the item is
// left to another process, as often as it has attempts; after that, any endpoint will do.
func (r *run) acquire(ctx context.Context, index int) (*steward.Grant, error) {
	avoid := r.avoided(index)
	if len(avoid) == 0 {
		return r.dispatcher.capacity.Acquire(ctx, r.active.Service, nil)
	}
	handOn := r.handedOn() < r.policy.Attempts
	grant, err := r.acquireSoon(ctx, avoid)
	switch {
	case err == nil && handOn && avoid[grant.Endpoint.ID]:
		grant.Release()
		return nil, errNoEndpoint
	case err == nil || ctx.Err() != nil || errors.Is(err, steward.ErrNotOwner):
		return grant, err
	case handOn:
		return nil, errNoEndpoint
	}
	return r.dispatcher.capacity.Acquire(ctx, r.active.Service, nil)
}

// acquireSoon waits for a slot, but not for long. The grant lasts as long as ctx.
func (r *run) acquireSoon(ctx context.Context, avoid map[endpoint.ID]bool) (*steward.Grant, error) {
	wait, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(distinctWait, cancel)
	defer timer.Stop()
	grant, err := r.dispatcher.capacity.Acquire(wait, r.active.Service, avoid)
	if err != nil {
		cancel()
	}
	return grant, err
}

// handedOn returns how often the lot's items were handed on.
func (r *run) handedOn() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lot.Remainder + r.lot.Hops
}

// avoided returns the endpoints at which the item failed.
func (r *run) avoided(index int) map[endpoint.ID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	avoid := map[endpoint.ID]bool{}
	for _, id := range r.progress.Avoid[index] {
		avoid[id] = true
	}
	return avoid
}

// try runs one attempt with the grant. It reports the cause of a failure, or that the item has ended.
func (r *run) try(ctx context.Context, grant *steward.Grant, index int) (failure, bool) {
	defer grant.Release()
	if !r.dispatcher.mayStart(r.active.Job) {
		return causeYield, !pause(ctx, waitForLook)
	}
	if r.active.Once {
		return r.tryOnce(ctx, grant, index)
	}
	started := r.begin(index)
	result, err := r.attempt(grant.Context(), grant.Endpoint, index)
	r.stop(index)
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

func (r *run) begin(index int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.running[index] = now
	return now
}

func (r *run) stop(index int) {
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
		r.took = append(r.took, took)
	}
}

// defers leaves an item to a remainder.
func (r *run) defers(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deferred[index] = true
}

// avoid has the item's next attempt made at another endpoint, unless this one asked for patience only.
func (r *run) avoid(index int, at endpoint.ID, cause failure) {
	if cause.kind == failureLimit {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.progress.Avoid[index], at) {
		r.progress.Avoid[index] = append(r.progress.Avoid[index], at)
	}
	r.changed = true
}

// exhausted counts a failed attempt and reports whether it was the last.
func (r *run) exhausted(index int, cause failure) bool {
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
