package order

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/tablestore"
)

// Table is the part of the table service that terms use.
type Table interface {
	Get(ctx context.Context, key tablestore.Key) (tablestore.Row, error)
	Commit(ctx context.Context, txn tablestore.Txn) error
}

// termRow is the data of a term's row. Each renewal raises the version of the row.
type termRow struct {
	Issuer string
	Fence  Fence
	// Released says that the issuer released the term and has no order in progress.
	Released bool
}

const partitionTerm = "OrderTerm"

// term is the term of a service as held or watched by one process.
type term struct {
	table   Table
	service document.ServiceName
	issuer  string
	limits  Limits

	mu sync.Mutex
	// held reports whether this process holds the term as far as it knows. check also requires a recent renewal.
	held bool
	// version is that of the row when this process last wrote it or, after a failed renewal, read it. row is what it last
	// wrote.
	version tablestore.Version
	row     termRow
	// renewed is the time just before the last successful write of the row was sent.
	renewed time.Time
	// settlesAt is when all orders of earlier issuers have been carried out.
	settlesAt time.Time
	// watchedVersion is the last version read of a row held by another process, and watchedSince when it was first
	// read.
	watchedVersion tablestore.Version
	watchedSince   time.Time
	// lastRead is when the row was last read while it was watched.
	lastRead time.Time
}

func newTerm(table Table, service document.ServiceName, issuer string, limits Limits) *term {
	return &term{
		table:   table,
		service: service,
		issuer:  issuer,
		limits:  limits,
	}
}

// renewalsPerTerm is the number of renewals in the time of one term.
const renewalsPerTerm = 4

// check returns ErrLapsed if another process may hold the term. A tenth of the term is a margin for clocks that run at
// different speeds.
func (t *term) check() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.held || time.Since(t.renewed) >= t.limits.Term*9/10 {
		return ErrLapsed
	}
	return nil
}

// fence returns the term's fencing token and whether orders of earlier issuers may still be in progress.
func (t *term) fence() (Fence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row.Fence, time.Now().Before(t.settlesAt)
}

// step renews the term if it is held and due for renewal, or takes it over if it is free and wanted. It reports whether
// the term is held.
func (t *term) step(ctx context.Context, wanted bool) (bool, error) {
	t.mu.Lock()
	held, renewed := t.held, t.renewed
	t.mu.Unlock()
	if held && time.Since(renewed) < t.limits.Term/renewalsPerTerm {
		return true, nil
	}
	if held {
		return t.renew(ctx)
	}
	if !wanted {
		t.lastRead = time.Time{}
		return false, nil
	}
	return t.watch(ctx)
}

func (t *term) renew(ctx context.Context) (bool, error) {
	started := time.Now()
	err := t.write(ctx, t.version, t.row)
	if err == nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.version++
		t.renewed = started
		return true, nil
	}
	row, version, readErr := t.get(ctx)
	if readErr != nil {
		return t.check() == nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// If only the answer to the renewal was lost, the term is still held and is renewed again at the next step.
	t.held = row.Issuer == t.issuer && row.Fence == t.row.Fence
	t.version = version
	return t.held, nil
}

// watch takes the term over once its row has been watched for a whole term without a change.
func (t *term) watch(ctx context.Context) (bool, error) {
	now := time.Now()
	row, version, err := t.get(ctx)
	if err != nil {
		return false, err
	}
	interrupted := now.Sub(t.lastRead) > t.limits.Term
	t.lastRead = now
	if version > 0 && !row.Released {
		if interrupted || version != t.watchedVersion {
			t.watchedVersion, t.watchedSince = version, now
			return false, nil
		}
		if now.Sub(t.watchedSince) < t.limits.Term {
			return false, nil
		}
	}
	return t.takeOver(ctx, row, version)
}

func (t *term) takeOver(ctx context.Context, previous termRow, version tablestore.Version) (bool, error) {
	started := time.Now()
	row := termRow{
		Issuer: t.issuer,
		Fence:  previous.Fence + 1,
	}
	if err := t.write(ctx, version, row); err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = true
	t.version = version + 1
	t.row = row
	t.renewed = started
	t.settlesAt = time.Time{}
	if version > 0 && !previous.Released {
		t.settlesAt = time.Now().Add(t.limits.Term + t.limits.LongestOrder)
	}
	return true, nil
}

// release releases the term. No order may be in progress.
func (t *term) release(ctx context.Context) error {
	if t.check() != nil {
		return nil
	}
	row := t.row
	row.Released = true
	t.mu.Lock()
	t.held = false
	t.mu.Unlock()
	return t.write(ctx, t.version, row)
}

func (t *term) get(ctx context.Context) (termRow, tablestore.Version, error) {
	row, err := t.table.Get(ctx, t.key())
	if errors.Is(err, tablestore.ErrNotFound) {
		return termRow{}, 0, nil
	}
	if err != nil {
		return termRow{}, 0, err
	}
	var stored termRow
	err = json.Unmarshal(row.Data, &stored)
	return stored, row.Version, err
}

func (t *term) write(ctx context.Context, version tablestore.Version, row termRow) error {
	data, err := json.Marshal(row)
	if err != nil {
		return err
	}
	return t.table.Commit(ctx, tablestore.Txn{
		Class: tablestore.ClassSession,
		Writes: []tablestore.Write{
			{
				Key:     t.key(),
				Version: version,
				Data:    data,
			},
		},
	})
}

func (t *term) key() tablestore.Key {
	return tablestore.Key{
		Partition: partitionTerm,
		Sort:      string(t.service),
	}
}
