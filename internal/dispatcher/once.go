package dispatcher

import (
	"context"
	"errors"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/steward"
)

// codeUnknown is the error code of an item that may have run and is never run again.
const codeUnknown = "outcome_unknown"

// tryOnce runs an item that may run at most once: its start is committed first, and after its first byte went out
// it ends with an answer or as unknown.
func (r *run) tryOnce(ctx context.Context, grant *steward.Grant, index int) (failure, bool) {
	if !r.commitStart(ctx, index) {
		return causeYield, true
	}
	if !r.dispatcher.mayStart(r.active.Job) {
		r.takeBack(index)
		return causeYield, false
	}
	started := r.begin(index)
	defer r.stop(index)
	// Neither an online burst nor a cancelled job cuts an item off that can't be repeated.
	whole, cancel := context.WithTimeout(context.WithoutCancel(ctx), onceTimeout)
	defer cancel()
	result, err := r.attempt(whole, grant.Endpoint, index)
	if errors.Is(err, endpoint.ErrNotSent) {
		r.takeBack(index)
		return causeOf(err), false
	}
	if err != nil {
		result = r.unknown(index, err.Error())
	}
	r.setResult(index, result, time.Since(started))
	return failure{}, true
}

// commitStart notes that the item starts and waits until that is stored, together with other items' starts.
func (r *run) commitStart(ctx context.Context, index int) bool {
	stored := make(chan struct{})
	r.mu.Lock()
	r.progress.Started[index] = true
	r.changed = true
	r.waiting = append(r.waiting, stored)
	r.mu.Unlock()
	for {
		select {
		case r.kick <- struct{}{}:
		default:
		}
		timer := time.NewTimer(persistPause)
		select {
		case <-stored:
			timer.Stop()
			return true
		case <-ctx.Done():
			timer.Stop()
			r.takeBack(index)
			return false
		case <-timer.C:
		}
	}
}

// takeBack notes that the item, whose start was committed, was provably not sent.
func (r *run) takeBack(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.progress.Started, index)
	r.changed = true
}

// abandonStarted ends the items that an earlier claim started and left without a result.
func (r *run) abandonStarted() {
	for index := range r.progress.Started {
		if _, ended := r.progress.Results[index]; !ended {
			r.setResult(index, r.unknown(index, "the item was started and no answer was stored"), 0)
		}
	}
}

func (r *run) unknown(index int, reason string) job.Result {
	return job.Result{
		ID:       r.requestID(index),
		CustomID: r.items[index].CustomID,
		Error: &job.ResultError{
			Code:    codeUnknown,
			Message: reason,
		},
	}
}

// requestID returns the id of an attempt; an item that may run at most once has one id for good.
func (r *run) requestID(index int) request.ID {
	if !r.active.Once {
		return request.NewID()
	}
	return request.ID("once-" + document.HashOf(string(r.active.Job) + "\x00" + r.items[index].CustomID)[:32])
}
