package store

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
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
	// maxRemoved bounds the removed rows that are kept, some hundred bytes each; a day's departures are fewer.
	maxRemoved = 4096
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

// Follower keeps a sink up to date with the rows of a table whose part is empty. While the store is away, it takes what
// other VMs have seen.
type Follower struct {
	store   Store
	table   Table
	sink    Sink
	log     *slog.Logger
	started time.Time

	mu   sync.Mutex
	rows map[Key]Row
	seen Revision
	// removed holds the rows that were removed after floor; what was removed before is not known any more.
	removed map[Key]Row
	floor   Revision
	// loaded says that the table was read once.
	loaded bool
	lost   bool
	// failedAt is when a call last failed, in nanoseconds since started; zero if none did. The sink asks for it while
	// the lock is held.
	failedAt atomic.Int64
}

// NewFollower returns a follower of a table.
func NewFollower(s Store, table Table, sink Sink, log *slog.Logger) *Follower {
	return &Follower{
		store:   s,
		table:   table,
		sink:    sink,
		log:     log,
		started: time.Now(),
		rows:    map[Key]Row{},
		removed: map[Key]Row{},
	}
}

// Table returns the table.
func (f *Follower) Table() Table {
	return f.table
}

// SinceLoss returns how long ago the store last failed to answer; a very long time if it never did.
func (f *Follower) SinceLoss() time.Duration {
	at := f.failedAt.Load()
	if at == 0 {
		return math.MaxInt64
	}
	return time.Since(f.started) - time.Duration(at)
}

// Blind says that the table can't be read from the store now, or never was.
func (f *Follower) Blind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost || !f.loaded
}

// Seen returns the revision as of which the table is known.
func (f *Follower) Seen() Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

// Update is what one VM tells another one of a table.
type Update struct {
	// Rows are those that changed after After until Revision, or all.
	Rows     []Row
	After    Revision
	Revision Revision
	Whole    bool
}

// Since returns what changed after a revision, or the whole table if that is not known.
func (f *Follower) Since(after Revision) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	update := Update{
		After:    after,
		Revision: f.seen,
		Whole:    after < f.floor,
	}
	for _, row := range f.rows {
		if update.Whole || row.Revision > after {
			update.Rows = append(update.Rows, row)
		}
	}
	for _, row := range f.removed {
		if !update.Whole && row.Revision > after {
			update.Rows = append(update.Rows, row)
		}
	}
	return update
}

// Offer takes what another VM knows of the table, unless this one has seen more, or other changes, meanwhile.
func (f *Follower) Offer(update Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if update.Revision <= f.seen || !update.Whole && update.After != f.seen {
		return
	}
	if len(update.Rows) > 0 {
		f.log.Info("table taken from a peer", "table", f.table, "revision", update.Revision, "rows", len(update.Rows), "whole", update.Whole)
	}
	if update.Whole {
		f.replace(Page{
			Rows:     update.Rows,
			Revision: update.Revision,
		})
		return
	}
	f.seen = update.Revision
	f.change(update.Rows)
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	fresh := true
	for ctx.Err() == nil {
		err := f.step(ctx, fresh)
		// After an outage the changes since are read, and the whole table only if they are not kept any more.
		fresh = errors.Is(err, ErrHistoryGone) || err != nil && fresh
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
	f.mu.Lock()
	after := f.seen
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, followWait+followGrace)
	defer cancel()
	page, err := f.store.Changes(ctx, f.table, after, followWait)
	if err != nil {
		return err
	}
	if page.Revision < after {
		return ErrHistoryGone
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen != after {
		// A peer's table was taken meanwhile.
		return nil
	}
	f.seen = page.Revision
	f.change(page.Rows)
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
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Revision < f.seen {
		return ErrUnavailable
	}
	f.loaded = true
	f.replace(page)
	return nil
}

// replace takes a whole table; the lock is held.
func (f *Follower) replace(page Page) {
	f.seen = page.Revision
	f.rows = make(map[Key]Row, len(page.Rows))
	for _, row := range page.Rows {
		f.rows[row.Address.Key] = row
	}
	f.removed = map[Key]Row{}
	f.floor = page.Revision
	f.sink.Replace(page.Rows)
}

// change takes rows that changed; the lock is held.
func (f *Follower) change(rows []Row) {
	if len(rows) == 0 {
		return
	}
	for _, row := range rows {
		if row.Deleted {
			delete(f.rows, row.Address.Key)
			f.removed[row.Address.Key] = row
			continue
		}
		delete(f.removed, row.Address.Key)
		f.rows[row.Address.Key] = row
	}
	if len(f.removed) > maxRemoved {
		f.removed = map[Key]Row{}
		f.floor = f.seen
	}
	f.sink.Change(rows)
}

func (f *Follower) regained() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		f.lost = false
		f.log.Info("store regained", "table", f.table, "revision", f.seen)
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	f.failedAt.Store(int64(time.Since(f.started)))
	f.mu.Lock()
	if !f.lost && ctx.Err() == nil {
		f.lost = true
		f.log.Warn("store lost", "table", f.table, "revision", f.seen, "err", err)
	}
	f.mu.Unlock()
	pause := followPause/2 + rand.N(followPause/2)
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
