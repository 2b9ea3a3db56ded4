package document

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbrudder/internal/tablestore"
)

// Source is what a follower reads the document from.
type Source interface {
	Head(ctx context.Context) (Head, tablestore.Version, error)
	CatchUp(ctx context.Context, view *View, to Revision) (*View, error)
	Changes(ctx context.Context, after Revision, limit int) ([]Change, error)
}

// Members is what a follower knows of the other processes.
type Members interface {
	// Neighbours returns the addresses of the few peers that this process exchanges with.
	Neighbours() []string
	// Count returns how many processes the fleet has.
	Count() int
	// Majority reports whether more than half of the listed VMs were heard within the time.
	Majority(within time.Duration) bool
}

// Limits are the times and rates that a follower keeps.
type Limits struct {
	// Period is the time between checks of the revision.
	Period time.Duration
	// Promise is the time within which an accepted change is in force everywhere.
	Promise time.Duration
	// ReadsPerSecond is how many checks a second all processes together make with the platform.
	ReadsPerSecond float64
}

// DefaultLimits returns the limits for checks every period.
func DefaultLimits(period time.Duration) Limits {
	return Limits{
		Period:         period,
		Promise:        8 * time.Second,
		ReadsPerSecond: 400,
	}
}

// Follower keeps the view in force in a process; it only moves forward.
//
// A view is confirmed as of a moment if every change accepted before that moment is in it. Moments are read from this
// process's own monotonic clock before the question is asked, so that a frozen process finds its view unconfirmed.
type Follower struct {
	store     Source
	members   Members
	limits    Limits
	log       *slog.Logger
	state     atomic.Pointer[inForce]
	mu        sync.Mutex
	recent    recentChanges
	outage    atomic.Bool
	wake      chan struct{}
	onAdvance []func()
}

// inForce is a view and what is known of it; it never changes.
type inForce struct {
	view  *View
	since map[SectionName]time.Time
	// confirmed is the latest moment as of which the view was the newest.
	confirmed time.Time
	// agreed is the latest moment as of which a peer had no newer one.
	agreed time.Time
}

// NewFollower returns a follower without a document.
func NewFollower(store Source, members Members, limits Limits, log *slog.Logger) *Follower {
	f := &Follower{
		store:   store,
		members: members,
		limits:  limits,
		log:     log,
		wake:    make(chan struct{}, 1),
	}
	f.state.Store(&inForce{
		view:  NewView(New()),
		since: map[SectionName]time.Time{},
	})
	return f
}

// OnAdvance adds a function that is called after a newer view is in force; it must come before Run.
func (f *Follower) OnAdvance(do func()) {
	f.onAdvance = append(f.onAdvance, do)
}

// View returns the view in force.
func (f *Follower) View() *View {
	return f.state.Load().view
}

// Fresh returns the view in force and whether new work may be taken by it: whether it was confirmed within the promise,
// or nothing can be accepted because the platform is down and most VMs are heard.
func (f *Follower) Fresh() (*View, bool) {
	state := f.state.Load()
	if within(state.confirmed, f.limits.Promise) {
		return state.view, true
	}
	alone := f.members.Count() <= 1 && state.view.Revision > 0
	agreed := alone || within(state.agreed, f.limits.Promise)
	return state.view, agreed && f.outage.Load() && f.members.Majority(f.limits.Promise)
}

func within(moment time.Time, limit time.Duration) bool {
	return !moment.IsZero() && time.Since(moment) < limit
}

// Advance puts a newer view in force; an older one is passed over.
func (f *Follower) Advance(view *View) {
	f.mu.Lock()
	moved := f.advance(view, nil)
	f.mu.Unlock()
	f.moved(moved)
}

// Take puts the changes in force that follow the view. ErrGap means that some between are missing.
func (f *Follower) Take(changes []Change) error {
	f.mu.Lock()
	moved, err := f.take(changes)
	f.mu.Unlock()
	f.moved(moved)
	return err
}

func (f *Follower) take(changes []Change) (bool, error) {
	view := f.View()
	for len(changes) > 0 && changes[0].Revision <= view.Revision {
		changes = changes[1:]
	}
	if len(changes) == 0 {
		return false, nil
	}
	next, _, err := view.With(changes...)
	if err != nil {
		return false, err
	}
	return f.advance(next, changes), nil
}

func (f *Follower) moved(moved bool) {
	if !moved {
		return
	}
	for _, do := range f.onAdvance {
		do()
	}
}

// advance needs the lock. Changes are those between the view in force and the new one, if they are at hand.
func (f *Follower) advance(view *View, changes []Change) bool {
	state := *f.state.Load()
	if view.Revision <= state.view.Revision {
		return false
	}
	since := maps.Clone(state.since)
	for _, section := range SectionNames() {
		if view.doc.Versions[section] != state.view.doc.Versions[section] {
			since[section] = time.Now()
		}
	}
	state.view = view
	state.since = since
	f.recent.add(view.Revision, changes)
	f.state.Store(&state)
	f.log.Info("document in force", "revision", view.Revision)
	return true
}

// confirm records that no revision above the given one was accepted before the moment.
func (f *Follower) confirm(revision Revision, moment time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := *f.state.Load()
	if state.view.Revision < revision || !moment.After(state.confirmed) {
		return
	}
	state.confirmed = moment
	f.state.Store(&state)
}

// agree records that a peer had no revision above the given one at the moment.
func (f *Follower) agree(revision Revision, moment time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := *f.state.Load()
	if state.view.Revision < revision || !moment.After(state.agreed) {
		return
	}
	state.agreed = moment
	f.state.Store(&state)
}

// Refresh asks the platform for the newest revision and puts it in force.
func (f *Follower) Refresh(ctx context.Context) error {
	started := time.Now()
	head, _, err := f.store.Head(ctx)
	f.outage.Store(errors.Is(err, ErrUnavailable))
	if err != nil {
		return err
	}
	if err := f.catchUp(ctx, head.Revision); err != nil {
		return err
	}
	f.confirm(head.Revision, started)
	return nil
}

func (f *Follower) catchUp(ctx context.Context, to Revision) error {
	view := f.View()
	if view.Revision >= to {
		return nil
	}
	if to-view.Revision <= changesPerPage && view.Revision > 0 {
		changes, err := f.store.Changes(ctx, view.Revision, changesPerPage)
		if err != nil {
			return err
		}
		if f.Take(changes) == nil && f.View().Revision >= to {
			return nil
		}
	}
	view, err := f.store.CatchUp(ctx, f.View(), to)
	if err != nil {
		return err
	}
	f.Advance(view)
	return nil
}

// Wake makes Run ask the platform now.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Accepted puts in force a change that was just accepted, and the view with it.
func (f *Follower) Accepted(ctx context.Context, view *View, change Change) {
	if f.Take([]Change{change}) == nil {
		return
	}
	if err := f.catchUp(ctx, view.Revision); err != nil {
		f.Advance(view)
	}
}

// Run asks the platform, at a rate that the fleet's size divides, until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(f.limits.Period)
	defer ticker.Stop()
	asks := true
	for {
		if asks {
			if err := f.Refresh(ctx); err != nil && ctx.Err() == nil {
				f.log.Warn("document not confirmed by the platform", "err", err)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-f.wake:
			asks = true
		case <-ticker.C:
			asks = f.turn()
		}
	}
}

// turn draws whether this process asks the platform in this period. One without a fresh view always does.
func (f *Follower) turn() bool {
	if !within(f.state.Load().confirmed, f.limits.Promise/2) {
		return f.members.Count() < int(f.limits.ReadsPerSecond) || rand.Float64() < f.share()*eagerness
	}
	return rand.Float64() < f.share()
}

// eagerness is how much more often a process asks the platform whose confirmation grows old.
const eagerness = 4

func (f *Follower) share() float64 {
	return f.limits.ReadsPerSecond * f.limits.Period.Seconds() / float64(max(1, f.members.Count()))
}
