package batch

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/memory"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

const (
	// timePerToken is roughly the time that a fully loaded endpoint takes per token. It serves to estimate the latest
	// start at which an item still finishes by its due time.
	timePerToken = 3 * time.Millisecond
	// dueMargin is reserved before the due time for committing the result and for the caller's next read.
	dueMargin = 200 * time.Millisecond
	// initialItemBackoff is the pause after a failed run; it doubles with each further failure.
	initialItemBackoff = 50 * time.Millisecond
	// maxItemBackoff bounds the pause.
	maxItemBackoff = time.Second
	// crashesBeforeBackoff is how many endpoints may crash in a row under an item before it pauses for longer, with a
	// pause that begins at initialCrashBackoff and doubles up to maxCrashBackoff. That is below the 20 s after which an item
	// that waits beside idle endpoints counts as lost.
	crashesBeforeBackoff = 3
	initialCrashBackoff  = 2 * time.Second
	maxCrashBackoff      = 16 * time.Second
	// withheldPause is the time between the attempts to get a slot for an item while a part of its prompt is withheld.
	withheldPause = 5 * time.Second
	// routeTimeout is how long an item may have no matching route before it is declared dead. It is longer than a new
	// configuration takes to reach this VM.
	routeTimeout = 5 * time.Second
	// maxAvoided is the maximum number of endpoints that an item avoids; beyond that, the oldest entry is dropped.
	maxAvoided = 3
)

// Progress is the output of an item so far.
type Progress struct {
	Item ItemID
	// After is the id of the last event received, Output the data of all events up to it, one per line.
	After  int64
	Output []byte
	Events int
	// Failures counts the answers in which an endpoint reported that the item failed.
	Failures int
	// Crashes counts the endpoints that crashed at the beginning of an answer, since the last event.
	Crashes int
	// Silences counts the runs that were cancelled because the endpoint sent nothing for too long, since the last event.
	Silences int
	// State is the item's final state if it has one that is not committed yet.
	State State
}

// job is a job that this VM runs.
type job struct {
	manager  *Manager
	id       JobID
	manifest manifest
	// items is nil until they are read, and is set under the lock.
	items     []Item
	submitted time.Time
	// due is when the job should be complete.
	due    time.Time
	cancel context.CancelCauseFunc
	// results passes the results of items to commitAll. It has room for all of them, so that sending never blocks.
	results chan Result
	// account counts the memory of the items and of their output.
	account *memory.Account

	mu sync.Mutex
	// claim and revision are the job's claim as this VM last wrote or read it, at the time checked.
	claim    claim
	revision store.Revision
	checked  time.Time
	// partial holds the progress of items whose result is not committed, if they have some output, a failure, a crash or a silence.
	partial map[ItemID]Progress
	// attempts is what the claim should say about attempts, and recorded holds the items that wait until it does.
	attempts map[ItemID]attempts
	recorded []chan struct{}
	// attemptsChanged holds a token while attempts has changed.
	attemptsChanged chan struct{}
	// ended is closed when the job is no longer run here.
	ended chan struct{}
}

// errRevoked means that the steward, which grants the slots of a service, revoked the slot of a run.
var errRevoked = errors.New("batch: slot revoked")

// run runs the items without a result until all have one or this VM no longer owns the job. If hasResults is set, it
// first reads which items have results that earlier owners committed, and the items if there are none here.
func (j *job) run(ctx context.Context, hasResults bool) {
	var running sync.WaitGroup
	defer running.Wait()
	defer j.cancel(nil)
	running.Go(func() {
		j.watchClaim(ctx)
	})
	l := newLoad(&j.manager.ledger, j.id, j.manifest, j.items)
	if hasResults && !j.load(ctx, l) {
		return
	}
	if j.items == nil {
		j.setItems(l.items)
	}
	done := map[ItemID]bool{}
	for _, id := range l.committed {
		done[id] = true
	}
	for i := range j.items {
		item := &j.items[i]
		if done[item.ID] {
			continue
		}
		running.Go(func() {
			j.runItem(ctx, item)
		})
	}
	j.commitAll(ctx, len(l.committed))
}

// runItem runs an item until it has a result.
func (j *job) runItem(ctx context.Context, item *Item) {
	progress := j.progressOf(item.ID)
	if progress.State != "" {
		j.finishItem(item, progress, progress.State, "ended at the previous owner")
		return
	}
	var avoid []inventory.ID
	var noRouteSince time.Time
	// failedAttempts counts the attempts that failed, without those whose slot was revoked; n counts all
	// rounds of the loop.
	failedAttempts := 0
	withheld := false
	for n := 0; ctx.Err() == nil; n++ {
		rt, giveUp := j.nextRoute(item, &progress, &noRouteSince)
		if giveUp != "" {
			j.finishItem(item, progress, StateDead, giveUp)
			return
		}
		if rt == nil {
			sleep(ctx, retryPause)
			continue
		}
		endpoint, err := j.attempt(ctx, item, rt, &progress, &avoid, n)
		switch {
		case err == nil:
			j.recordLength(rt.Pick(string(item.ID)), &progress)
			j.finishItem(item, progress, StateSucceeded, "")
			return
		case errors.Is(err, errUnprocessable), progress.Failures >= j.maxFailures(rt):
			j.finishItem(item, progress, StateDead, err.Error())
			return
		case errors.Is(err, errRevoked), errors.Is(err, route.ErrMoved), ctx.Err() != nil:
			continue
		case isWithheld(err):
			if !withheld {
				withheld = true
				j.manager.log.Warn("item withheld", "job", j.id, "item", item.ID, "prompt", j.prompt(item), "err", err)
			}
			sleep(ctx, min(withheldPause, time.Until(j.abandonAt(rt))))
			continue
		}
		j.endFailedAttempt(ctx, item, &progress, endpoint, err)
		sleep(ctx, itemBackoff(failedAttempts, progress.Crashes))
		failedAttempts++
	}
}

// nextRoute returns the route by which an item runs next, or nil while it has to wait for one, or the reason to give the item up.
// Only a configuration removes a route: a VM that has just started and knows none waits. The time noRouteSince is when the item was
// first found to have no route, or zero.
func (j *job) nextRoute(item *Item, progress *Progress, noRouteSince *time.Time) (rt *route.Route, giveUp string) {
	config := j.manager.view.Current()
	if config == nil {
		return nil, ""
	}
	rt = config.Match(j.manifest.Host, item.Path)
	if rt == nil {
		if noRouteSince.IsZero() {
			*noRouteSince = time.Now()
		}
		if time.Since(*noRouteSince) > routeTimeout {
			return nil, "route gone"
		}
		return nil, ""
	}
	*noRouteSince = time.Time{}
	switch {
	case time.Now().After(j.abandonAt(rt)):
		return nil, "too old"
	case progress.Failures >= j.maxFailures(rt):
		return nil, errFailed.Error()
	}
	return rt, ""
}

// maxFailures returns how often an item may fail until it is given up: as often as its route allows now. If a route of another kind
// has taken over the item's path, which says nothing about items, the number is that of the submission.
func (j *job) maxFailures(rt *route.Route) int {
	if rt.Kind != route.KindBatch {
		return max(1, j.manifest.Attempts)
	}
	return max(1, rt.Attempts)
}

// endFailedAttempt logs a failed attempt and prepares the progress for the next one.
func (j *job) endFailedAttempt(ctx context.Context, item *Item, progress *Progress, endpoint inventory.ID, err error) {
	if errors.Is(err, errTooMuchOutput) || errors.Is(err, errNoContinuation) {
		j.resetProgress(progress)
	}
	j.manager.log.Info("item attempt failed", "job", j.id, "item", item.ID, "endpoint", endpoint, "events", progress.Events, "failures", progress.Failures,
		"silences", progress.Silences, "prompt", j.prompt(item), "err", err)
	if errors.Is(err, errFailed) {
		j.recordFailure(ctx, progress)
	}
}

// abandonAt returns when an item without a result is declared dead: after the time that its route allowed when the job was
// submitted, or allows now, if that is longer.
func (j *job) abandonAt(rt *route.Route) time.Time {
	return j.submitted.Add(max(j.manifest.Abandon, rt.Abandon))
}

// itemBackoff returns the pause after a failed attempt. An item at which several endpoints have crashed in a row is likely
// to be the cause, so it is tried less and less.
func itemBackoff(failedAttempts, crashes int) time.Duration {
	if crashes >= crashesBeforeBackoff {
		return min(initialCrashBackoff<<min(crashes-crashesBeforeBackoff, 10), maxCrashBackoff)
	}
	return min(initialItemBackoff<<min(failedAttempts, 10), maxItemBackoff)
}

// isWithheld reports whether an item got no slot because endpoints crash at a part of its prompt.
func isWithheld(err error) bool {
	var refused *pool.Refused
	return errors.As(err, &refused) && refused.Withheld
}

func (j *job) progressOf(id ItemID) Progress {
	j.mu.Lock()
	defer j.mu.Unlock()
	progress := j.partial[id]
	progress.Item = id
	return progress
}

// resetProgress discards the output of an item, which then starts from its beginning.
func (j *job) resetProgress(progress *Progress) {
	*progress = Progress{
		Item:     progress.Item,
		Failures: progress.Failures,
		Crashes:  progress.Crashes,
		Silences: progress.Silences,
	}
	j.savePartial(progress)
}

// finishItem logs the final state of an item and passes its result on to be committed. In the log, tokens_at_most is the
// maximum number of output tokens.
func (j *job) finishItem(item *Item, progress Progress, state State, reason string) {
	j.manager.log.Info("item ended", "job", j.id, "item", item.ID, "state", state, "events", progress.Events, "tokens_at_most", item.OutputTokens, "length_hint", item.LengthHint, "failures", progress.Failures, "why", reason)
	progress.State = state
	j.savePartial(&progress)
	j.results <- Result{
		Item:   item.ID,
		State:  state,
		Output: string(progress.Output),
	}
}

// errUnprocessable means that an endpoint rejected the item permanently, with status 422. Other endpoints would do the
// same.
var errUnprocessable = errors.New("batch: item cannot be processed")

// errFailed means that an endpoint ran the item and reported a failure.
var errFailed = errors.New("batch: item failed")

// errTooMuchOutput means that an item's output does not fit into a transaction. The output so far is discarded, because
// an endpoint that sends events without end causes the same.
var errTooMuchOutput = errors.New("batch: item has too much output")

// errNoContinuation means that an answer that was to continue an item's output may have ended before its first event. The
// output so far may be all, which only a run from the beginning can tell.
var errNoContinuation = errors.New("batch: item is not continued")

// attempt acquires a slot and runs the item in it, resuming after the progress so far. The number n distinguishes the
// item's tickets. If the attempt failed, the endpoint is added to avoid, unless the slot was revoked or the
// endpoint rejected the item permanently. It returns the slot's endpoint, or none if there was no slot.
func (j *job) attempt(ctx context.Context, item *Item, rt *route.Route, progress *Progress, avoid *[]inventory.ID, n int) (inventory.ID, error) {
	service := rt.Pick(string(item.ID))
	slot, err := j.acquire(ctx, item, rt, j.onBehalf(item, rt, pool.SlotRequest{
		ID:      pool.TicketID(string(j.id) + "/" + string(item.ID) + "." + strconv.Itoa(n)),
		Class:   pool.ClassBatch,
		Rank:    rt.Rank,
		Start:   j.due.Add(-dueMargin - j.remaining(item, service, progress)),
		Expires: j.abandonAt(rt),
		Avoid:   *avoid,
		Prompt:  j.prompt(item).Shared(),
	}))
	if err != nil {
		return "", err
	}
	answer := answerTimes{}
	err = j.send(ctx, slot, item, progress, j.silenceLimit(item, rt, progress), &answer)
	if errors.Is(err, forward.ErrStalled) {
		progress.Silences++
		j.savePartial(progress)
	}
	switch {
	case errors.Is(err, errRevoked), ctx.Err() != nil:
		slot.Release(pool.TroubleUnknown)
		return slot.Endpoint.ID, err
	case errors.Is(err, errFailed), errors.Is(err, errUnprocessable):
		slot.Release(pool.TroubleNone)
	default:
		ending := j.manager.sender.CheckCrash(ctx, slot.Endpoint, err, answer.ending(err))
		slot.End(ending)
		if ending.Trouble == pool.TroubleCrashed {
			progress.Crashes++
			j.savePartial(progress)
			j.noteAttempts(progress)
		}
	}
	if err != nil && !errors.Is(err, errUnprocessable) {
		*avoid = append(*avoid, slot.Endpoint.ID)
		if len(*avoid) > maxAvoided {
			*avoid = (*avoid)[1:]
		}
	}
	return slot.Endpoint.ID, err
}

// onBehalf adds to a request for a slot what depends on the job's organisation, if the configuration has organisations.
func (j *job) onBehalf(item *Item, rt *route.Route, request pool.SlotRequest) pool.SlotRequest {
	config := j.manager.view.Current()
	if config == nil || !config.HasOrganisations() {
		return request
	}
	request.Rank = config.Rank(j.manifest.Organisation, rt)
	request.Organisation = j.manifest.Organisation
	request.Cost = pool.Cost(max(1, item.Tokens))
	return request
}

// acquire waits for a slot at the service to which the route leads. The wait ends with route.ErrMoved if a new configuration
// leads the item elsewhere or ranks it differently.
func (j *job) acquire(ctx context.Context, item *Item, rt *route.Route, request pool.SlotRequest) (*pool.Slot, error) {
	service := rt.Pick(string(item.ID))
	ctx, release := j.manager.view.Watch(ctx, func(config *route.Config) bool {
		now := config.Match(j.manifest.Host, item.Path)
		return now != nil && now.Pick(string(item.ID)) == service && config.Rank(j.manifest.Organisation, now) == request.Rank
	})
	defer release()
	slot, err := j.manager.clients.Acquire(ctx, service, request)
	if !errors.Is(context.Cause(ctx), route.ErrMoved) {
		return slot, err
	}
	j.manager.log.Info("item moved", "job", j.id, "item", item.ID, "from", service, "granted", slot != nil)
	if slot != nil {
		slot.Release(pool.TroubleUnknown)
	}
	return nil, route.ErrMoved
}

// recordLength adds the length of a finished item's output to the service's estimate.
func (j *job) recordLength(service route.Service, progress *Progress) {
	if config := j.manager.view.Current(); config != nil {
		j.manager.lengths.observe(service, config.TokensPerEvent(service)*float64(progress.Events))
	}
}

// remaining estimates the remaining run time of the item.
func (j *job) remaining(item *Item, service route.Service, progress *Progress) time.Duration {
	tokens := j.manager.lengths.estimate(service, item)
	if config := j.manager.view.Current(); config != nil {
		tokens -= config.TokensPerEvent(service) * float64(progress.Events)
	}
	return time.Duration(max(0, tokens) * float64(timePerToken))
}

// savePartial keeps an item's progress for the next owner of the job.
func (j *job) savePartial(progress *Progress) {
	j.mu.Lock()
	defer j.mu.Unlock()
	before := cap(j.partial[progress.Item].Output)
	if grown := cap(progress.Output) - before; grown > 0 {
		j.account.Add(memory.Bytes(grown))
	} else if grown < 0 {
		j.account.Release(memory.Bytes(-grown))
	}
	j.partial[progress.Item] = *progress
}
