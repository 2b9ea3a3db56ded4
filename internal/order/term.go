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

// Table is what terms need of the table service.
type Table interface {
	Get(ctx context.Context, key tablestore.Key) (tablestore.Row, error)
	Commit(ctx context.Context, txn tablestore.Txn) error
}

// termRow is a term as stored; its version tells a renewal from none.
type termRow struct {
	Issuer string
	Fence  Fence
	// Released says that the issuer gave the term up and has no order under way.
	Released bool
}

const partitionTerm = "OrderTerm"

// term is one process's hold on, or watch of, the term of a service.
type term struct {
	table   Table
	service document.ServiceName
	issuer  string
	limits  Limits

	mu      sync.Mutex
	held    bool
	version tablestore.Version
	row     termRow
	// renewed is from before the last renewal was sent; settles is when orders of earlier issuers are carried out.
	renewed time.Time
	settles time.Time
	// seen and since are another's row version and since when it was seen; read is the last look.
	seen  tablestore.Version
	since time.Time
	read  time.Time
}

func newTerm(table Table, service document.ServiceName, issuer string, limits Limits) *term {
	return &term{
		table:   table,
		service: service,
		issuer:  issuer,
		limits:  limits,
	}
}

// renewals is how often a term is renewed while it lasts.
const renewals = 4

// check returns ErrLapsed if another process may hold the term. A tenth of it is left for clocks that differ in speed.
func (t *term) check() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.held || time.Since(t.renewed) >= t.limits.Term*9/10 {
		return ErrLapsed
	}
	return nil
}

// fence returns the term's fencing number and whether orders of earlier issuers may still be under way.
func (t *term) fence() (Fence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row.Fence, time.Now().Before(t.settles)
}

// step renews the term if it is held, or takes it over if it is free and wanted. It reports whether it is held.
func (t *term) step(ctx context.Context, wanted bool) (bool, error) {
	t.mu.Lock()
	held, renewed := t.held, t.renewed
	t.mu.Unlock()
	if held && time.Since(renewed) < t.limits.Term/renewals {
		return true, nil
	}
	if held {
		return t.renew(ctx)
	}
	if !wanted {
		t.read = time.Time{}
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
	// A renewal whose answer was lost is renewed anew at the next step.
	t.held = row.Issuer == t.issuer && row.Fence == t.row.Fence
	t.version = version
	return t.held, nil
}

// watch takes the term over once its row has not changed for a term while it was looked at.
func (t *term) watch(ctx context.Context) (bool, error) {
	now := time.Now()
	row, version, err := t.get(ctx)
	if err != nil {
		return false, err
	}
	gap := now.Sub(t.read) > t.limits.Term
	t.read = now
	if version > 0 && !row.Released {
		if gap || version != t.seen {
			t.seen, t.since = version, now
			return false, nil
		}
		if now.Sub(t.since) < t.limits.Term {
			return false, nil
		}
	}
	return t.takeOver(ctx, row, version)
}

func (t *term) takeOver(ctx context.Context, before termRow, version tablestore.Version) (bool, error) {
	started := time.Now()
	row := termRow{
		Issuer: t.issuer,
		Fence:  before.Fence + 1,
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
	t.settles = time.Time{}
	if version > 0 && !before.Released {
		t.settles = time.Now().Add(t.limits.Term + t.limits.LongestOrder)
	}
	return true, nil
}

// release gives the term up; no order may be under way.
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
