package batch

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/store"
)

const (
	// sweepPeriod separates sweeps; a sweep reads a few hundred bytes for each job that is kept.
	sweepPeriod = 30 * time.Second
	// sweepGrace is how much longer than promised a job is kept, for callers that read at the last moment.
	sweepGrace = 30 * time.Second
	// maxSweepRows bounds the rows that a transaction removes, below the store's 100.
	maxSweepRows = 90
)

// sweep removes the jobs that were submitted longer ago than they must be kept and are not open any more. It returns how
// many it removed.
func (k *Keeper) sweep(ctx context.Context, keep time.Duration) (int, error) {
	page, err := store.ReadAll(ctx, k.ledger.store, store.Range{
		Table: tableJobs,
		Part:  part,
	})
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, row := range page.Rows {
		var m manifest
		if err := json.Unmarshal(row.Value, &m); err != nil {
			return removed, oops.In("batch").With("job", row.Address.Key).Wrap(err)
		}
		age := time.Duration(page.Clock-m.Submitted) * time.Millisecond
		if age <= keep+sweepGrace {
			continue
		}
		gone, err := k.remove(ctx, JobID(row.Address.Key), m)
		if err != nil {
			return removed, err
		}
		if gone {
			removed++
		}
	}
	return removed, nil
}

// remove removes a job that is not open; its manifest goes last, so that a sweep that was cut short is taken up again.
func (k *Keeper) remove(ctx context.Context, id JobID, m manifest) (bool, error) {
	_, revision, err := k.ledger.claim(ctx, id)
	if err != nil || revision != 0 {
		return false, err
	}
	var rows []store.Address
	for n := range m.Chunks {
		rows = append(rows, address(tableItems, chunkKey(id, n)))
	}
	results, err := store.ReadAll(ctx, k.ledger.store, keysOf(tableResults, id, string(id)+"/"))
	if err != nil {
		return false, err
	}
	for _, row := range results.Rows {
		rows = append(rows, row.Address)
	}
	if m.Chunks == 0 {
		if err := k.ledger.store.DropObject(ctx, objectName(id)); err != nil && !errors.Is(err, store.ErrNotFound) {
			return false, err
		}
	}
	rows = append(rows, address(tableJobs, string(id)))
	for len(rows) > 0 {
		n := min(maxSweepRows, len(rows))
		if _, err := k.ledger.store.Commit(ctx, store.Transaction{Remove: rows[:n]}); err != nil {
			return false, err
		}
		rows = rows[n:]
	}
	k.forget(id)
	return true, nil
}

func (k *Keeper) forget(id JobID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.manifests, id)
}
