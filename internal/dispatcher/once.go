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

// codeUnknown is the error code of an at-most-once item that may have run and is not run again.
const codeUnknown = "outcome_unknown"

// tryOnce makes an attempt of an item that may run at most once. The start is committed before anything is sent. Once
// the first byte may have been sent, the item ends with an answer or with codeUnknown. It returns the cause of a
// failure, and true if no attempt follows.
func (r *run) tryOnce(ctx context.Context, grant *steward.Grant, index int) (failure, bool) {
	if !r.commitStart(ctx, index) {
		// ctx ended before the start was stored, so nothing has been sent.
		return causeYield, true
	}
	if !r.dispatcher.mayStart(r.active.Job) {
		r.undoStart(index)
		return causeYield, false
	}
	started := r.markRunning(index)
	defer r.markStopped(index)
	// An item that can't be repeated is not cancelled, either to make room for online requests or when its job is
	// cancelled.
	onceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), onceTimeout)
	defer cancel()
	result, err := r.attempt(onceCtx, grant.Endpoint, index)
	if errors.Is(err, endpoint.ErrNotSent) {
		r.undoStart(index)
		return causeOf(err), false
	}
	if err != nil {
		result = r.unknownResult(index, err.Error())
	}
	r.setResult(index, result, time.Since(started))
	r.dispatcher.itemEnded(r.active.Service)
	return failure{}, true
}

// commitStart records that the item starts and waits until the record is stored. Items that start at the same time share
// one write. It reports whether the record was stored before ctx ended.
func (r *run) commitStart(ctx context.Context, index int) bool {
	stored := make(chan struct{})
	r.mu.Lock()
	r.progress.Started[index] = true
	r.changed = true
	r.pendingStarts = append(r.pendingStarts, stored)
	r.mu.Unlock()
	for {
		select {
		case r.checkpointNow <- struct{}{}:
		default:
		}
		timer := time.NewTimer(storeRetryPause)
		select {
		case <-stored:
			timer.Stop()
			return true
		case <-ctx.Done():
			timer.Stop()
			r.undoStart(index)
			return false
		case <-timer.C:
		}
	}
}

// undoStart removes the record of the item's start after it is certain that nothing was sent.
func (r *run) undoStart(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.progress.Started, index)
	r.changed = true
}

// abandonStarted ends every item that an earlier claim started and that has no stored result. The error code of these
// items is codeUnknown.
func (r *run) abandonStarted() {
	for index := range r.progress.Started {
		if _, ended := r.progress.Results[index]; !ended {
			r.setResult(index, r.unknownResult(index, "the item was started and no answer was stored"), 0)
		}
	}
}

func (r *run) unknownResult(index int, reason string) job.Result {
	return job.Result{
		ID:       r.requestID(index),
		CustomID: r.items[index].CustomID,
		Error: &job.ResultError{
			Code:    codeUnknown,
			Message: reason,
		},
	}
}

// requestID returns the request ID of an attempt. All attempts of an item that may run at most once share one ID.
func (r *run) requestID(index int) request.ID {
	if !r.active.Once {
		return request.NewID()
	}
	return request.ID("once-" + document.HashOf(string(r.active.Job) + "\x00" + r.items[index].CustomID)[:32])
}
