// Package store defines the interface of the durable transactional store that the system relies on; the implementations
// are elsewhere, one per protocol. It also keeps local copies of tables up to date and reaches the store through other
// VMs while the store does not answer this VM.
package store

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrConflict means that an expectation was not met; nothing was applied.
	ErrConflict = errors.New("store: conflict")
	// ErrUnavailable means that the store did not accept the call; nothing was applied.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that no answer arrived; a write may have been applied or may still be applied later.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrInvalid means that the store rejected the call as malformed; nothing was applied.
	ErrInvalid = errors.New("store: invalid call")
	// ErrHistoryGone means that the store no longer keeps the requested changes; the whole table must be read again.
	ErrHistoryGone = errors.New("store: history gone")
)

type (
	// Table names a table; the rows of a table are divided into parts.
	Table string
	// Part names a part of a table; its rows are ordered by key.
	Part string
	// Key names a row of a part.
	Key string
)

// Revision is the sequence number of a transaction; zero is the revision of a row that does not exist.
type Revision int64

// Clock is a reading of the store's monotonic clock in milliseconds. It is comparable between VMs, unlike their own
// clocks.
type Clock int64

// Address locates a row.
type Address struct {
	Table Table
	Part  Part
	Key   Key
}

// Row is a row that was read.
type Row struct {
	Address  Address
	Value    []byte
	Revision Revision
	// Deleted marks a change that removed the row.
	Deleted bool
}

// Expectation is a precondition of a transaction: the revision that a row must have.
type Expectation struct {
	Address  Address
	Revision Revision
}

// Put is a row to write.
type Put struct {
	Address Address
	Value   []byte
}

// Transaction is applied atomically; all its rows must be in one part.
type Transaction struct {
	Expect []Expectation
	Put    []Put
	Remove []Address
}

// Commit is the result of an applied transaction.
type Commit struct {
	Revision Revision
	Clock    Clock
}

// Range selects the rows of a part with From <= key < To. An empty To means no upper bound, a Limit of 0 the store's
// default.
type Range struct {
	Table Table
	Part  Part
	From  Key
	To    Key
	Limit int
	// Partial means that rows that have arrived suffice if the rest of the answer does not: the page has More set then, and its
	// revision and clock may be zero.
	Partial bool
}

// Page is a set of rows as of Revision, the newest one of the store at the time of the read.
type Page struct {
	Rows     []Row
	More     bool
	Revision Revision
	Clock    Clock
}

// Store is a transactional store of rows, and of objects for data that exceeds the size of a row.
type Store interface {
	// Commit applies the transaction. ErrConflict and ErrUnavailable mean that nothing was applied. After ErrUnknown
	// it may have been applied, or may still be applied as long as its expectations hold.
	Commit(ctx context.Context, txn Transaction) (Commit, error)
	// Read returns a consistent snapshot of the rows.
	Read(ctx context.Context, r Range) (Page, error)
	// Changes returns the rows of a table that changed after a revision. It waits up to the given time for a change.
	Changes(ctx context.Context, table Table, after Revision, wait time.Duration) (Page, error)
	// PutObject stores an object under a name that has never been used; ErrConflict means that the object exists.
	PutObject(ctx context.Context, name string, data []byte) error
	// Object returns an object, or ErrNotFound.
	Object(ctx context.Context, name string) ([]byte, error)
	// DropObject removes an object; it is not an error if the object does not exist.
	DropObject(ctx context.Context, name string) error
}

// ReadAll returns all rows of a range, with several reads if necessary. The revision is that of the first read.
func ReadAll(ctx context.Context, s Store, r Range) (Page, error) {
	return readAll(ctx, r, s.Read)
}

// readAll is ReadAll with a function that reads a page.
func readAll(ctx context.Context, r Range, read func(context.Context, Range) (Page, error)) (Page, error) {
	var all Page
	for {
		page, err := read(ctx, r)
		if err != nil {
			return Page{}, err
		}
		if all.Revision == 0 {
			// The first revision is kept so that Changes also returns what changed between the reads.
			all.Revision = page.Revision
		}
		all.Clock = page.Clock
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		r.From = page.Rows[len(page.Rows)-1].Address.Key + "\x00"
	}
}
