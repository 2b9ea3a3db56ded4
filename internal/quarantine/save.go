package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"rhubarbrudder/internal/store"
)

const (
	// savePeriod is how often entries that are not saved yet are tried again, and expired ones removed.
	savePeriod = time.Second
	// saveTimeout is the time limit for one write.
	saveTimeout = time.Second
)

// Run saves the entries that the table does not hold yet and removes those kept for longer than the retention, until ctx
// ends. It does so only while responsible returns true, so that a single VM writes.
func (l *List) Run(ctx context.Context, s store.Store, responsible func() bool) {
	for ctx.Err() == nil {
		if responsible() {
			for _, w := range l.writes() {
				l.commit(ctx, s, w)
			}
		}
		select {
		case <-ctx.Done():
		case <-l.wake:
		case <-time.After(savePeriod):
		}
	}
}

// write is a row to write, or to remove if it has no value.
type write struct {
	entry Entry
	txn   store.Transaction
}

// writes returns a write for each entry that is not saved and for each that is no longer needed. They expect the
// rows as this VM knows them, so that a write which takes effect late replaces no later one.
func (l *List) writes() []write {
	l.mu.Lock()
	defer l.mu.Unlock()
	var writes []write
	for _, known := range l.entries {
		expired := time.Since(known.Until) > retention
		removable := expired && known.revision > 0
		if !known.unsaved && !removable {
			continue
		}
		address := store.Address{
			Table: Table,
			Key:   rowKey(known.Entry),
		}
		txn := store.Transaction{
			Expect: []store.Expectation{
				{
					Address:  address,
					Revision: known.revision,
				},
			},
		}
		if expired {
			txn.Remove = []store.Address{address}
		} else {
			value, err := json.Marshal(known.Entry)
			if err != nil {
				l.log.Error("quarantine entry not saved", "part", known.Part, "err", err)
				continue
			}
			txn.Put = []store.Put{
				{
					Address: address,
					Value:   value,
				},
			}
		}
		writes = append(writes, write{
			entry: known.Entry,
			txn:   txn,
		})
	}
	return writes
}

// commit makes one attempt at a write. The state of the row after an attempt that failed is known from its next change.
func (l *List) commit(ctx context.Context, s store.Store, w write) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	commit, err := s.Commit(ctx, w.txn)
	if err != nil {
		l.log.Warn("quarantine entry not saved, retrying", "service", w.entry.Service, "part", w.entry.Part, "unknown", errors.Is(err, store.ErrUnknown), "err", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.entries[w.entry.key()]
	switch {
	case known == nil || known.Entry != w.entry:
	case len(w.txn.Remove) > 0:
		delete(l.entries, w.entry.key())
	default:
		known.revision = max(known.revision, commit.Revision)
		known.unsaved = false
	}
	l.log.Info("quarantine entry saved", "service", w.entry.Service, "part", w.entry.Part, "number", w.entry.Number, "revision", commit.Revision)
}
