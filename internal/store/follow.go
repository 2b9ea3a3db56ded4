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
	// followWait is how long the store holds a call for changes open. It bounds the time until a dead connection is
	// detected, which must be well below the shortest time within which a VM must apply a new configuration.
	followWait = time.Second
	// followMargin is how much longer than followWait the answer may take before the call times out.
	followMargin = 600 * time.Millisecond
	// readTimeout bounds a read of the whole table; a slow store answers within this time.
	readTimeout = 2 * time.Second
	// readRetry is how long a read may take before another one begins beside it. A store that was unreachable answers only
	// the reads that began after its return.
	readRetry = 500 * time.Millisecond
	// maxRemoved bounds the number of removed rows that are remembered; each takes a few hundred bytes. It exceeds the
	// number of rows removed in a day.
	maxRemoved = 4096
	// followPause is the maximum pause between attempts while the store is unavailable. Half of it is random, which
	// spreads the attempts of the VMs.
	followPause = 200 * time.Millisecond
)

// Sink receives the rows of a table as they change. It never receives an older revision of a row after a newer one.
type Sink interface {
	// Replace replaces all rows.
	Replace(rows []Row)
	// Change applies changes of single rows, including removals.
	Change(rows []Row)
}

// Follower keeps a sink up to date with the rows of a table that have an empty part. While the store is unavailable, it
// accepts updates from other VMs.
type Follower struct {
	store   Store
	table   Table
	sink    Sink
	log     *slog.Logger
	started time.Time
	// pace returns the least time between the beginnings of two polls; nil means none.
	pace func() time.Duration

	mu   sync.Mutex
	rows map[Key]Row
	// revision is the newest revision of the store that rows reflects.
	revision Revision
	// removed holds the rows that were removed after removedSince; earlier removals are not known.
	removed      map[Key]Row
	removedSince Revision
	// loaded means that the table has been read from the store at least once.
	loaded bool
	// unavailable means that the store did not answer the last call.
	unavailable bool
	// confirmed is the latest time at which rows is known to have been what the store held; zero if none is known.
	confirmed time.Time
	// failedAt is when a call last failed, in nanoseconds since started; zero if none has. It is atomic because the
	// sink reads it, through SinceFailure, while the lock is held.
	failedAt atomic.Int64
}

// NewFollower returns a Follower of a table.
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

// Table returns the name of the table.
func (f *Follower) Table() Table {
	return f.table
}

// SinceFailure returns the time since the store last failed to answer, or math.MaxInt64 if it never has.
func (f *Follower) SinceFailure() time.Duration {
	at := f.failedAt.Load()
	if at == 0 {
		return math.MaxInt64
	}
	return time.Since(f.started) - time.Duration(at)
}

// Disconnected reports whether the store is unavailable or the table has not been read from it yet.
func (f *Follower) Disconnected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unavailable || !f.loaded
}

// Revision returns the newest revision of the store that the follower's rows reflect.
func (f *Follower) Revision() Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// SinceConfirmed returns how long ago the follower's rows were what the store held, by this VM's own reads or those of the VMs
// that sent updates. It returns false if that is not known.
func (f *Follower) SinceConfirmed() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmed), !f.confirmed.IsZero()
}

// confirm records that the rows were what the store held at a time. The lock must be held.
func (f *Follower) confirm(at time.Time) {
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	reload := true
	for ctx.Err() == nil {
		began := time.Now()
		err := f.poll(ctx, reload)
		// After an outage, only the changes made since then are read, unless the store no longer keeps them.
		reload = errors.Is(err, ErrHistoryGone) || err != nil && reload
		if err == nil {
			f.markAvailable()
			f.awaitPace(ctx, began)
			continue
		}
		if !errors.Is(err, ErrHistoryGone) {
			f.markUnavailable(ctx, err)
		}
	}
}

// poll reads the whole table if reload is set, and otherwise waits for changes and applies them.
func (f *Follower) poll(ctx context.Context, reload bool) error {
	if reload {
		return f.readTable(ctx)
	}
	f.mu.Lock()
	after := f.revision
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, followWait+followMargin)
	defer cancel()
	asked := time.Now()
	page, err := f.store.Changes(ctx, f.table, after, followWait)
	if err != nil {
		return err
	}
	confirmed := asked
	if len(page.Rows) == 0 && time.Since(asked) >= followWait {
		// The store waited for a change as long as it was asked to.
		confirmed = asked.Add(followWait)
	}
	if page.Revision < after {
		return ErrHistoryGone
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision != after {
		// An update from another VM was applied in the meantime.
		return nil
	}
	f.revision = page.Revision
	f.change(page.Rows)
	f.confirm(confirmed)
	return nil
}

func (f *Follower) readTable(ctx context.Context) error {
	asked := time.Now()
	page, err := f.readRepeatedly(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Revision < f.revision {
		return ErrUnavailable
	}
	f.loaded = true
	f.replace(page)
	f.confirm(asked)
	return nil
}

// readRepeatedly reads the whole table. It begins another read when none has got a page for readRetry, and returns the first result,
// or the error of the last read if all fail.
func (f *Follower) readRepeatedly(ctx context.Context) (Page, error) {
	type result struct {
		page Page
		err  error
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	results := make(chan result, readTimeout/readRetry+1)
	got := make(chan struct{}, 1)
	pending := 0
	read := func() {
		pending++
		go func() {
			page, err := readAll(ctx, Range{
				Table: f.table,
			}, func(ctx context.Context, r Range) (Page, error) {
				return f.readPage(ctx, r, got)
			})
			results <- result{
				page: page,
				err:  err,
			}
		}()
	}
	retry := time.NewTimer(readRetry)
	defer retry.Stop()
	read()
	for {
		select {
		case r := <-results:
			pending--
			if r.err == nil || pending == 0 {
				return r.page, r.err
			}
		case <-got:
			retry.Reset(readRetry)
		case <-retry.C:
			if ctx.Err() == nil {
				read()
				retry.Reset(readRetry)
			}
		}
	}
}

// readPage reads a page and adds a token to got. A page after the first that the store rejects is read again: a store that is short
// of reads would otherwise have to serve the pages before it once more.
func (f *Follower) readPage(ctx context.Context, r Range, got chan<- struct{}) (Page, error) {
	for {
		page, err := f.store.Read(ctx, r)
		if err == nil {
			select {
			case got <- struct{}{}:
			default:
			}
		}
		if err == nil || r.From == "" || !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
			return page, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(followPause/4 + rand.N(followPause/4)):
		}
	}
}

// replace replaces the whole table. The lock must be held.
func (f *Follower) replace(page Page) {
	f.revision = page.Revision
	f.rows = make(map[Key]Row, len(page.Rows))
	for _, row := range page.Rows {
		f.rows[row.Address.Key] = row
	}
	f.removed = map[Key]Row{}
	f.removedSince = page.Revision
	f.sink.Replace(page.Rows)
}

// change applies changes of rows. The lock must be held.
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
		f.removedSince = f.revision
	}
	f.sink.Change(rows)
}

func (f *Follower) markAvailable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		f.unavailable = false
		f.log.Info("store regained", "table", f.table, "revision", f.revision)
	}
}

func (f *Follower) markUnavailable(ctx context.Context, err error) {
	f.failedAt.Store(int64(time.Since(f.started)))
	f.mu.Lock()
	if !f.unavailable && ctx.Err() == nil {
		f.unavailable = true
		f.log.Warn("store lost", "table", f.table, "revision", f.revision, "err", err)
	}
	f.mu.Unlock()
	pause := followPause/2 + rand.N(followPause/2)
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
