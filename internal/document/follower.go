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

// Source provides the document to a follower.
type Source interface {
	Head(ctx context.Context) (Head, tablestore.Version, error)
	CatchUp(ctx context.Context, view *View, to Revision) (*View, error)
	Changes(ctx context.Context, after Revision, limit int) ([]Change, error)
}

// Members describes the other processes of the fleet to a follower.
type Members interface {
	// Neighbours returns the addresses of the few peers that this process exchanges changes with.
	Neighbours() []string
	// Count returns the number of processes in the fleet.
	Count() int
	// Majority reports whether more than half of the listed VMs, including this one, are alive. Unless this VM is the
	// only one listed, a process of another VM must also have answered this process within the given time.
	Majority(within time.Duration) bool
}

// Limits are the intervals and rates of a follower.
type Limits struct {
	// Period is the time between checks for a newer revision.
	Period time.Duration
	// PropagationLimit is the time within which an accepted change is in force in every process that takes new work.
	PropagationLimit time.Duration
	// ReadsPerSecond limits the reads of the revision from the platform by all processes together.
	ReadsPerSecond float64
}

// DefaultLimits returns the limits for the given time between checks.
func DefaultLimits(period time.Duration) Limits {
	return Limits{
		Period:           period,
		PropagationLimit: 8 * time.Second,
		ReadsPerSecond:   400,
	}
}

// Follower maintains the view in force in a process. The revision of the view never decreases.
//
// A view is confirmed as of a moment if it contains every change accepted before that moment. The moment is read from
// this process's own monotonic clock before the request is sent, so that a process that was frozen finds its view
// unconfirmed.
type Follower struct {
	source    Source
	members   Members
	limits    Limits
	log       *slog.Logger
	state     atomic.Pointer[followerState]
	mu        sync.Mutex
	recent    recentChanges
	outage    atomic.Bool
	wake      chan struct{}
	onAdvance []func()
}

// followerState is the view in force and what is known about its age. It is immutable.
type followerState struct {
	view *View
	// since is when the current version of each section came into force.
	since map[SectionName]time.Time
	// confirmed is the latest moment as of which the view is known to have been the newest.
	confirmed time.Time
	// agreed is the latest moment as of which a peer had no newer view.
	agreed time.Time
}

// NewFollower returns a follower with an empty document.
func NewFollower(source Source, members Members, limits Limits, log *slog.Logger) *Follower {
	f := &Follower{
		source:  source,
		members: members,
		limits:  limits,
		log:     log,
		wake:    make(chan struct{}, 1),
	}
	f.state.Store(&followerState{
		view:  NewView(New()),
		since: map[SectionName]time.Time{},
	})
	return f
}

// OnAdvance registers a function that is called after a newer view has come into force. It must be called before Run.
func (f *Follower) OnAdvance(callback func()) {
	f.onAdvance = append(f.onAdvance, callback)
}

// View returns the view in force.
func (f *Follower) View() *View {
	return f.state.Load().view
}

// Fresh returns the view in force and whether new work may be accepted under it. That is the case if the view was
// confirmed within the propagation limit. It is also the case while the platform is down, because no change can be
// accepted then, provided that a majority of the VMs is connected and a peer, if there is one, had no newer view
// within the limit.
func (f *Follower) Fresh() (*View, bool) {
	state := f.state.Load()
	if within(state.confirmed, f.limits.PropagationLimit) {
		return state.view, true
	}
	alone := f.members.Count() <= 1 && state.view.Revision > 0
	agreed := alone || within(state.agreed, f.limits.PropagationLimit)
	return state.view, agreed && f.outage.Load() && f.members.Majority(f.limits.PropagationLimit)
}

func within(moment time.Time, limit time.Duration) bool {
	return !moment.IsZero() && time.Since(moment) < limit
}

// Advance puts a newer view in force and ignores an older one.
func (f *Follower) Advance(view *View) {
	f.mu.Lock()
	advanced := f.advance(view, nil)
	f.mu.Unlock()
	f.notify(advanced)
}

// Apply applies the changes that follow the view in force and ignores older ones. It returns ErrGap if changes in
// between are missing.
func (f *Follower) Apply(changes []Change) error {
	f.mu.Lock()
	advanced, err := f.apply(changes)
	f.mu.Unlock()
	f.notify(advanced)
	return err
}

func (f *Follower) apply(changes []Change) (bool, error) {
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

func (f *Follower) notify(advanced bool) {
	if !advanced {
		return
	}
	for _, do := range f.onAdvance {
		do()
	}
}

// advance puts a newer view in force and reports whether it did. The changes are those that lead from the view in force
// to the new one, or nil if they are not known. The caller must hold f.mu.
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

// Refresh reads the newest revision from the platform and puts it in force.
func (f *Follower) Refresh(ctx context.Context) error {
	started := time.Now()
	head, _, err := f.source.Head(ctx)
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
		changes, err := f.source.Changes(ctx, view.Revision, changesPerPage)
		if err != nil {
			return err
		}
		if f.Apply(changes) == nil && f.View().Revision >= to {
			return nil
		}
	}
	view, err := f.source.CatchUp(ctx, f.View(), to)
	if err != nil {
		return err
	}
	f.Advance(view)
	return nil
}

// Wake makes Run query the platform at once.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Accepted applies a change that this process has just accepted. The view includes the change; it is put in force if the
// changes between the view in force and this one can't be applied or read.
func (f *Follower) Accepted(ctx context.Context, view *View, change Change) {
	if f.Apply([]Change{change}) == nil {
		return
	}
	if err := f.catchUp(ctx, view.Revision); err != nil {
		f.Advance(view)
	}
}

// Run queries the platform until ctx ends. All processes of the fleet share the limit on reads.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(f.limits.Period)
	defer ticker.Stop()
	due := true
	for {
		if due {
			if err := f.Refresh(ctx); err != nil && ctx.Err() == nil {
				f.log.Warn("document not confirmed by the platform", "err", err)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-f.wake:
			due = true
		case <-ticker.C:
			due = f.queryDue()
		}
	}
}

// queryDue decides at random whether this process queries the platform in this period. A process whose last
// confirmation is older than half the propagation limit queries more often. It queries in every period if the fleet has
// fewer processes than the reads that Limits.ReadsPerSecond allows in one second.
func (f *Follower) queryDue() bool {
	if !within(f.state.Load().confirmed, f.limits.PropagationLimit/2) {
		return f.members.Count() < int(f.limits.ReadsPerSecond) || rand.Float64() < f.queryProbability()*staleQueryFactor
	}
	return rand.Float64() < f.queryProbability()
}

// staleQueryFactor is how many times more often a process queries the platform when its confirmation is getting old.
const staleQueryFactor = 4

// queryProbability returns the probability with which a process queries the platform in a period.
func (f *Follower) queryProbability() float64 {
	return f.limits.ReadsPerSecond * f.limits.Period.Seconds() / float64(max(1, f.members.Count()))
}
