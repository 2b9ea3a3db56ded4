package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

const (
	// tokenTime is about how long an endpoint takes for a token when full; with it the latest start of an item
	// that is still done by its due time is estimated.
	tokenTime = 3 * time.Millisecond
	// dueMargin is what is kept of the time until the due time for listing the result and the caller's next read.
	dueMargin = 200 * time.Millisecond
	// stallItem is after how long without an event a run is given up and resumed elsewhere.
	stallItem = time.Second
	// itemPause is the pause after a run that failed at the endpoint; it doubles with each failure in a row.
	itemPause = 50 * time.Millisecond
	// itemPauseMost bounds the pause.
	itemPauseMost = time.Second
	// routeWait is how long an item waits for its route before it is given up: a configuration is in force within
	// less.
	routeWait = 5 * time.Second
	// unavoid is how many endpoints an item avoids at most; the earliest is tried again.
	unavoid = 3
)

// Progress is what was generated of an item so far.
type Progress struct {
	Item ItemID
	// After is the id of the last event, Output the data of all events until then.
	After  int64
	Output []byte
	Events int
	// Failures counts the endpoint's answers that the item failed.
	Failures int
}

// job is a job that this VM runs.
type job struct {
	keeper   *Keeper
	id       JobID
	manifest manifest
	items    []Item
	due      time.Time
	abandon  time.Time
	cancel   context.CancelCauseFunc
	results  chan Result

	mu sync.Mutex
	// claim and revision are the job's row as this VM last wrote or read it, checked is when.
	claim    claim
	revision store.Revision
	checked  time.Time
	partial  map[ItemID]Progress
}

// errRevoked means that the slot of a run was taken back.
var errRevoked = errors.New("batch: slot revoked")

// run runs the items that have no result until all have one or the job is lost.
func (j *job) run(ctx context.Context, listed []Result) {
	done := map[ItemID]bool{}
	for _, r := range listed {
		done[r.Item] = true
	}
	var items sync.WaitGroup
	for i := range j.items {
		item := &j.items[i]
		if done[item.ID] {
			continue
		}
		items.Go(func() {
			j.runItem(ctx, item)
		})
	}
	items.Go(func() {
		j.watch(ctx)
	})
	j.commitAll(ctx, listed)
	j.cancel(nil)
	items.Wait()
}

// runItem runs an item until it has a result.
func (j *job) runItem(ctx context.Context, item *Item) {
	progress := j.progressOf(item.ID)
	var avoid []inventory.ID
	var routeless time.Time
	failures := 0
	for n := 0; ctx.Err() == nil; n++ {
		to := j.route(item)
		if to == nil {
			if routeless.IsZero() {
				routeless = time.Now()
			}
			if time.Since(routeless) > routeWait {
				j.end(item, progress, StateDead, "route gone")
				return
			}
			sleep(ctx, pauseLeast)
			continue
		}
		routeless = time.Time{}
		if time.Now().After(j.abandon) {
			j.end(item, progress, StateDead, "too old")
			return
		}
		err := j.attempt(ctx, item, to, &progress, &avoid, n)
		switch {
		case err == nil:
			j.learn(to.Pick(string(item.ID)), &progress)
			j.end(item, progress, StateSucceeded, "")
			return
		case errors.Is(err, errImpossible), progress.Failures >= max(1, to.Attempts):
			j.end(item, progress, StateDead, err.Error())
			return
		case errors.Is(err, errRevoked), ctx.Err() != nil:
			continue
		}
		j.keeper.log.Info("item attempt failed", "job", j.id, "item", item.ID, "events", progress.Events, "failures", progress.Failures, "err", err)
		sleep(ctx, min(itemPause<<min(failures, 10), itemPauseMost))
		failures++
	}
}

func (j *job) progressOf(id ItemID) Progress {
	j.mu.Lock()
	defer j.mu.Unlock()
	progress := j.partial[id]
	progress.Item = id
	return progress
}

func (j *job) route(item *Item) *route.Route {
	config := j.keeper.view.Current()
	if config == nil {
		return nil
	}
	return config.Match(j.manifest.Host, item.Path)
}

func (j *job) end(item *Item, progress Progress, state State, why string) {
	j.keeper.log.Info("item ended", "job", j.id, "item", item.ID, "state", state, "events", progress.Events, "tokens_at_most", item.OutputTokens, "length_hint", item.LengthHint, "failures", progress.Failures, "why", why)
	j.mu.Lock()
	delete(j.partial, item.ID)
	j.mu.Unlock()
	j.results <- Result{
		Item:   item.ID,
		State:  state,
		Output: string(progress.Output),
	}
}

// errImpossible means that no endpoint can ever run the item.
var errImpossible = errors.New("batch: item impossible")

// errFailed means that an endpoint ran the item and failed.
var errFailed = errors.New("batch: item failed")

// attempt runs the item, from where it stands, in one slot.
func (j *job) attempt(ctx context.Context, item *Item, to *route.Route, progress *Progress, avoid *[]inventory.ID, n int) error {
	service := to.Pick(string(item.ID))
	slot, err := j.keeper.clients.Acquire(ctx, service, pool.Wish{
		ID:      pool.TicketID(string(j.id) + "/" + string(item.ID) + "." + strconv.Itoa(n)),
		Class:   pool.ClassBatch,
		Rank:    to.Rank,
		Start:   j.due.Add(-dueMargin - j.remaining(item, service, progress)),
		Expires: j.abandon,
		Avoid:   *avoid,
	})
	if err != nil {
		return err
	}
	err = j.send(ctx, slot, item, progress)
	if errors.Is(err, errRevoked) || ctx.Err() != nil {
		slot.Release(pool.TroubleUnknown)
		return err
	}
	if errors.Is(err, errFailed) || errors.Is(err, errImpossible) {
		slot.Release(pool.TroubleNone)
	} else {
		slot.Release(forward.Trouble(err))
	}
	if err != nil && !errors.Is(err, errImpossible) {
		*avoid = append(*avoid, slot.Endpoint.ID)
		if len(*avoid) > unavoid {
			*avoid = (*avoid)[1:]
		}
	}
	return err
}

// learn takes the length of an item that is done.
func (j *job) learn(service route.Service, progress *Progress) {
	if config := j.keeper.view.Current(); config != nil {
		j.keeper.lengths.add(service, config.TokensPerEvent(service)*float64(progress.Events))
	}
}

// remaining estimates how long the item still runs.
func (j *job) remaining(item *Item, service route.Service, progress *Progress) time.Duration {
	tokens := j.keeper.lengths.estimate(service, item)
	if config := j.keeper.view.Current(); config != nil {
		tokens -= config.TokensPerEvent(service) * float64(progress.Events)
	}
	return time.Duration(max(0, tokens) * float64(tokenTime))
}

// send sends the item to the slot's endpoint and takes its events.
func (j *job) send(ctx context.Context, slot *pool.Slot, item *Item, progress *Progress) error {
	if err := forward.Check(j.keeper.inventory, slot.Endpoint); err != nil {
		return err
	}
	ctx, watch := forward.NewWatch(ctx, stallItem)
	defer watch.Stop()
	stop := context.AfterFunc(revokedContext(ctx, slot), func() {
		watch.Cancel(errRevoked)
	})
	defer stop()
	response, err := j.keeper.sender.Open(ctx, slot.Endpoint, j.call(item), forward.Send{
		After:   progress.After,
		Resumes: progress.Events > 0,
	})
	if err != nil {
		return causeOf(ctx, err)
	}
	defer func() {
		_ = response.Body.Close()
	}()
	switch response.StatusCode {
	case http.StatusOK:
		return causeOf(ctx, j.take(watch, response, progress))
	case http.StatusUnprocessableEntity:
		return errImpossible
	case http.StatusInternalServerError:
		progress.Failures++
		return errFailed
	}
	return forward.ErrBroken
}

// revokedContext ends when the slot is revoked, or with ctx.
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

// causeOf prefers the reason for which a sending was cancelled.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return errors.Join(cause, err)
	}
	return err
}

func (j *job) call(item *Item) forward.Call {
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
	}
}

// take appends the events of an answer to the progress.
func (j *job) take(watch *forward.Watch, response *http.Response, progress *Progress) error {
	events := forward.NewEvents(response.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Join(forward.ErrBroken, err)
		}
		watch.Feed(stallItem)
		if !event.HasID || event.ID <= progress.After && progress.Events > 0 {
			continue
		}
		if progress.Events > 0 && event.ID != progress.After+1 {
			return forward.ErrBroken
		}
		if progress.Events > 0 {
			progress.Output = append(progress.Output, '\n')
		}
		progress.Output = append(progress.Output, event.Data...)
		progress.After = event.ID
		progress.Events++
		j.mu.Lock()
		j.partial[progress.Item] = *progress
		j.mu.Unlock()
	}
}

// watch looks again and again whether the job was ended or lost. A store that is away does not hold up the work: results
// are committed only if the claim still holds.
func (j *job) watch(ctx context.Context) {
	for sleep(ctx, checkPeriod) {
		j.mu.Lock()
		fresh := time.Since(j.checked) < checkPeriod
		j.mu.Unlock()
		if fresh {
			continue
		}
		read, cancel := context.WithTimeout(ctx, readTimeout)
		c, revision, err := j.keeper.ledger.claim(read, j.id)
		cancel()
		if err != nil {
			j.keeper.log.Info("claim not checked", "job", j.id, "err", err)
			continue
		}
		j.mu.Lock()
		lost := revision == 0 || c.Owner != j.claim.Owner || c.Incarnation != j.claim.Incarnation || c.Number != j.claim.Number
		if !lost {
			j.checked = time.Now()
		}
		j.mu.Unlock()
		if lost {
			j.keeper.log.Info("job lost", "job", j.id, "owner", c.Owner, "claim", c.Number, "revision", revision)
			j.cancel(errLost)
		}
	}
}
