package store

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// followWait is how long a call for changes waits in the store. It bounds how late a connection that went
	// silent is noticed, well inside the shortest bound on applying a configuration.
	followWait = time.Second
	// followGrace is how much longer than followWait the answer may take before the call is given up.
	followGrace = 600 * time.Millisecond
	// readTimeout bounds a whole read of a table; a slow store answers within it.
	readTimeout = 2 * time.Second
	// followPause separates attempts while the store is away; half of it is random so that VMs spread out.
	followPause = 200 * time.Millisecond
)

// Sink takes the rows of a table as they change; a row never arrives with an older revision than before.
type Sink interface {
	// Replace takes the whole table.
	Replace(rows []Row)
	// Change takes rows that changed.
	Change(rows []Row)
}

// Follower keeps a sink up to date with one part of a table.
type Follower struct {
	store Store
	table Table
	sink  Sink
	log   *slog.Logger
	seen  Revision
	// failedAt is when a call last failed, in nanoseconds since started; zero if none did.
	failedAt atomic.Int64
	lost     bool
	started  time.Time
}

// NewFollower returns a follower of a table's rows with an empty part.
func NewFollower(s Store, table Table, sink Sink, log *slog.Logger) *Follower {
	return &Follower{
		store:   s,
		table:   table,
		sink:    sink,
		log:     log,
		started: time.Now(),
	}
}

// SinceLoss returns how long ago the store last failed to answer; a very long time if it never did.
func (f *Follower) SinceLoss() time.Duration {
	at := f.failedAt.Load()
	if at == 0 {
		return math.MaxInt64
	}
	return time.Since(f.started) - time.Duration(at)
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	fresh := true
	for ctx.Err() == nil {
		err := f.step(ctx, fresh)
		fresh = err != nil
		if err == nil {
			f.regained()
			continue
		}
		if !errors.Is(err, ErrHistoryGone) {
			f.failed(ctx, err)
		}
	}
}

func (f *Follower) step(ctx context.Context, fresh bool) error {
	if fresh {
		return f.reread(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, followWait+followGrace)
	defer cancel()
	page, err := f.store.Changes(ctx, f.table, f.seen, followWait)
	if err != nil {
		return err
	}
	if page.Revision < f.seen {
		return ErrHistoryGone
	}
	f.seen = page.Revision
	if len(page.Rows) > 0 {
		f.sink.Change(page.Rows)
	}
	return nil
}

func (f *Follower) reread(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := ReadAll(ctx, f.store, Range{
		Table: f.table,
	})
	if err != nil {
		return err
	}
	if page.Revision < f.seen {
		return ErrUnavailable
	}
	f.seen = page.Revision
	f.sink.Replace(page.Rows)
	return nil
}

func (f *Follower) regained() {
	if f.lost {
		f.lost = false
		f.log.Info("store regained", "table", f.table, "revision", f.seen)
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	f.failedAt.Store(int64(time.Since(f.started)))
	if !f.lost && ctx.Err() == nil {
		f.lost = true
		f.log.Warn("store lost", "table", f.table, "revision", f.seen, "err", err)
	}
	pause := followPause/2 + rand.N(followPause/2)
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
