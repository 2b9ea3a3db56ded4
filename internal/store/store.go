// Package store says what the system needs of a durable transactional store; each protocol has an implementation.
package store

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrConflict means that an expectation did not hold; nothing was applied.
	ErrConflict = errors.New("store: conflict")
	// ErrUnavailable means that the store did not take the call; nothing was applied.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that no answer arrived; a write may have been applied, or may be later.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrInvalid means that the store rejected the call as malformed; nothing was applied.
	ErrInvalid = errors.New("store: invalid call")
	// ErrHistoryGone means that the changes asked for are no longer kept; the table must be read again.
	ErrHistoryGone = errors.New("store: history gone")
)

type (
	// Table names a table; a table's rows lie in parts.
	Table string
	// Part names a part of a table; its rows are ordered by key.
	Part string
	// Key names a row of a part.
	Key string
)

// Revision orders the transactions of the store; zero stands for a row that does not exist.
type Revision int64

// Clock is a reading of the store's steady clock in milliseconds. It is comparable between VMs, unlike theirs.
type Clock int64

// Address locates a row.
type Address struct {
	Table Table
	Part  Part
	Key   Key
}

// Row is a row as read.
type Row struct {
	Address  Address
	Value    []byte
	Revision Revision
	// Deleted marks a row that a change removed.
	Deleted bool
}

// Expectation is the revision that a row must have for a transaction to apply.
type Expectation struct {
	Address  Address
	Revision Revision
}

// Put is a row to write.
type Put struct {
	Address Address
	Value   []byte
}

// Transaction is applied whole or not at all; all its rows lie in one part.
type Transaction struct {
	Expect []Expectation
	Put    []Put
	Remove []Address
}

// Commit is the result of a transaction that was applied.
type Commit struct {
	Revision Revision
	Clock    Clock
}

// Range selects rows of a part with From <= key < To; an empty To sets no bound, a Limit of 0 takes the store's own.
type Range struct {
	Table Table
	Part  Part
	From  Key
	To    Key
	Limit int
}

// Page is a set of rows as of Revision, the store's newest when it was read.
type Page struct {
	Rows     []Row
	More     bool
	Revision Revision
	Clock    Clock
}

// Store is a transactional store of rows, with objects for what is larger than a row.
type Store interface {
	// Commit applies the transaction. ErrConflict and ErrUnavailable mean that nothing was applied; after
	// ErrUnknown it may have been, or may be while its expectations hold.
	Commit(ctx context.Context, txn Transaction) (Commit, error)
	// Read returns rows as of one moment.
	Read(ctx context.Context, r Range) (Page, error)
	// Changes returns the rows of a table that changed after a revision; it waits up to the given time for one.
	Changes(ctx context.Context, table Table, after Revision, wait time.Duration) (Page, error)
	// PutObject stores an object under a name that was never used; ErrConflict means that it exists.
	PutObject(ctx context.Context, name string, data []byte) error
	// Object returns an object, or ErrNotFound.
	Object(ctx context.Context, name string) ([]byte, error)
	// DropObject removes an object; one that does not exist is no error.
	DropObject(ctx context.Context, name string) error
}

// ReadAll returns all rows of a range, which may take several reads.
func ReadAll(ctx context.Context, s Store, r Range) (Page, error) {
	var all Page
	for {
		page, err := s.Read(ctx, r)
		if err != nil {
			return Page{}, err
		}
		if all.Revision == 0 {
			// Changes that follow the first page must be seen again after the last.
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
