package document

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Follower keeps the view in force in a process; it only moves forward.
type Follower struct {
	store  *Store
	period time.Duration
	log    *slog.Logger
	view   atomic.Pointer[View]
	mu     sync.Mutex
	seen   atomic.Int64
}

// NewFollower returns a follower that checks for a new revision every period.
func NewFollower(store *Store, period time.Duration, log *slog.Logger) *Follower {
	f := &Follower{
		store:  store,
		period: period,
		log:    log,
	}
	f.view.Store(NewView(New()))
	return f
}

// View returns the view in force.
func (f *Follower) View() *View {
	return f.view.Load()
}

// Advance puts a newer document in force; an older one is passed over.
func (f *Follower) Advance(doc Document) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if doc.Revision <= f.View().Revision {
		return
	}
	f.view.Store(NewView(doc))
	f.log.Info("document in force", "revision", doc.Revision)
}

// Refresh loads what was accepted since and puts it in force.
func (f *Follower) Refresh(ctx context.Context) error {
	started := time.Now()
	doc := f.View().Document()
	var err error
	if doc.Revision == 0 {
		doc, err = f.store.Load(ctx)
	} else {
		doc, err = f.store.CatchUp(ctx, doc)
	}
	if err != nil {
		return err
	}
	f.Advance(doc)
	f.seen.Store(started.UnixNano())
	return nil
}

// Run refreshes every period until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(f.period)
	defer ticker.Stop()
	for {
		if err := f.Refresh(ctx); err != nil && ctx.Err() == nil {
			f.log.Warn("document refresh failed", "err", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
