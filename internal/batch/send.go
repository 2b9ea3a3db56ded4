package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/prompt"
)

// answerTimes is when the headers of an answer and its first event arrived, or zero.
type answerTimes struct {
	headers time.Time
	content time.Time
	// onContent is called when the first event arrives, unless nil.
	onContent func()
}

// ending returns what the end of a run says about its endpoint and about the item's prompt.
func (a answerTimes) ending(err error) pool.Ending {
	ending := pool.Ending{
		Trouble:  forward.Trouble(err),
		Complete: err == nil,
		Begun:    !a.headers.IsZero(),
	}
	if !a.content.IsZero() {
		ending.Answered = time.Since(a.content)
	}
	return ending
}

// send sends the item to the slot's endpoint and reads the events of its answer, whose times it records in answer. It returns
// forward.ErrStalled if no event arrives for longer than the limit.
func (j *job) send(ctx context.Context, slot *pool.Slot, item *Item, progress *Progress, limit time.Duration, answer *answerTimes) error {
	if err := forward.CheckNotLeaving(j.manager.inventory, slot.Endpoint); err != nil {
		return err
	}
	ctx, watch := forward.NewWatchdog(ctx, limit)
	defer watch.Stop()
	stop := context.AfterFunc(revokedContext(ctx, slot), func() {
		watch.Cancel(errRevoked)
	})
	defer stop()
	sent := time.Now()
	answer.onContent = func() {
		slot.ObserveItem(time.Since(sent))
	}
	response, err := j.manager.sender.Open(ctx, slot.Endpoint, j.newCall(item), forward.SendParams{
		After:    progress.After,
		Resumes:  progress.Events > 0,
		Answered: slot.ObserveLimit,
		Leaves:   slot.ObserveLeaving,
	})
	if err != nil {
		return withCause(ctx, err)
	}
	defer func() {
		_ = response.Body.Close()
	}()
	answer.headers = time.Now()
	switch response.StatusCode {
	case http.StatusOK:
		return withCause(ctx, j.readEvents(watch, limit, response, progress, answer))
	case http.StatusUnprocessableEntity:
		return errUnprocessable
	case http.StatusInternalServerError:
		progress.Failures++
		j.savePartial(progress)
		return errFailed
	}
	// Any other status is handled like a broken connection: it does not count as a failure of the item.
	return forward.ErrBroken
}

// revokedContext returns a context that ends when the slot is revoked or ctx ends.
func revokedContext(ctx context.Context, slot *pool.Slot) context.Context {
	revoked, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		select {
		case <-slot.Revoked():
		case <-ctx.Done():
		}
	}()
	return revoked
}

// withCause joins an error with the cause of the context's cancellation, if any.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return errors.Join(cause, err)
	}
	return err
}

// prompt returns the parts of the item's prompt.
func (j *job) prompt(item *Item) prompt.Prompt {
	return j.manager.sender.Prompt(j.newCall(item))
}

func (j *job) newCall(item *Item) forward.Call {
	header := make(http.Header, len(item.Header))
	for name, value := range item.Header {
		header.Set(name, value)
	}
	return forward.Call{
		ID:     forward.RequestID(item.ID),
		Method: http.MethodPost,
		Host:   j.manifest.Host,
		Target: item.Path,
		Header: header,
		Body:   item.Body,
		Caller: forward.Caller{
			Organisation: j.manifest.Organisation,
			Keyed:        j.manifest.Organisation != "",
		}.In(j.manager.view.Current()),
	}
}

// readEvents appends the events of an answer to the progress. It skips events that are already part of it, and returns
// ErrBroken if one is missing. The watchdog is fed with the limit for the next event.
func (j *job) readEvents(watch *forward.Watchdog, limit time.Duration, response *http.Response, progress *Progress, answer *answerTimes) error {
	events := forward.NewEventReader(response.Body)
	before := progress.Events
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return endOfAnswer(response, before, progress)
		}
		if err != nil {
			return errors.Join(forward.ErrBroken, err)
		}
		if before > 0 && progress.Events == before && !event.Continues() {
			return errors.Join(forward.ErrBroken, forward.ErrEvent)
		}
		// Events that are not numbered or already part of the progress do not count as signs of life.
		if !event.HasID || event.ID <= progress.After && progress.Events > 0 {
			continue
		}
		watch.Feed(limit)
		if answer.content.IsZero() {
			answer.content = time.Now()
			if answer.onContent != nil {
				answer.onContent()
			}
		}
		if progress.Events > 0 && event.ID != progress.After+1 {
			return forward.ErrBroken
		}
		if err := j.appendEvent(progress, event); err != nil {
			return err
		}
	}
}

// appendEvent adds an event to the progress, which ends the crashes in a row at the item.
func (j *job) appendEvent(progress *Progress, event forward.Event) error {
	if len(progress.Output)+1+len(event.Data) > maxOutputBytes {
		return errors.Join(forward.ErrBroken, errTooMuchOutput)
	}
	if progress.Events > 0 {
		progress.Output = append(progress.Output, '\n')
	}
	progress.Output = append(progress.Output, event.Data...)
	progress.After = event.ID
	progress.Events++
	crashed := progress.Crashes > 0
	progress.Crashes = 0
	progress.Silences = 0
	j.savePartial(progress)
	if crashed {
		j.noteAttempts(progress)
	}
	return nil
}

// endOfAnswer returns the outcome of an answer that began when the item had so many events. If it had none to add, and only
// the end of its connection marks its end, the endpoint may have crashed.
func endOfAnswer(response *http.Response, before int, progress *Progress) error {
	if progress.Events > before || !forward.EndsWithConnection(response) {
		return nil
	}
	if before > 0 {
		return errors.Join(forward.ErrBroken, errNoContinuation)
	}
	return forward.ErrBroken
}
