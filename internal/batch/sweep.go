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
	// sweepPeriod is the time between sweeps; a sweep reads a few hundred bytes per stored job.
	sweepPeriod = 30 * time.Second
	// sweepGrace is added to the retention period for callers that read at the last moment.
	sweepGrace = 30 * time.Second
	// maxSweepRows bounds the rows that a transaction removes, below the store's limit of 100.
	maxSweepRows = 90
)

// sweep removes the jobs that are not open and were submitted longer ago than the retention period. It returns the
// number of jobs removed.
func (mgr *Manager) sweep(ctx context.Context, retention time.Duration) (int, error) {
	page, err := store.ReadAll(ctx, mgr.ledger.store, store.Range{
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
		if age <= retention+sweepGrace {
			continue
		}
		deleted, err := mgr.remove(ctx, JobID(row.Address.Key), m)
		if err != nil {
			return removed, err
		}
		if deleted {
			removed++
		}
	}
	return removed, nil
}

// remove removes a job unless it is open. The manifest is removed last, so that the next sweep completes an interrupted
// removal.
func (mgr *Manager) remove(ctx context.Context, id JobID, m manifest) (bool, error) {
	_, revision, err := mgr.ledger.claim(ctx, id)
	if err != nil || revision != 0 {
		return false, err
	}
	var rows []store.Address
	for n := range m.Chunks {
		rows = append(rows, address(tableItems, chunkKey(id, n)))
	}
	results, err := store.ReadAll(ctx, mgr.ledger.store, jobRange(tableResults, id, string(id)+"/"))
	if err != nil {
		return false, err
	}
	for _, row := range results.Rows {
		rows = append(rows, row.Address)
	}
	if m.Chunks == 0 {
		if err := mgr.ledger.store.DropObject(ctx, objectName(id)); err != nil && !errors.Is(err, store.ErrNotFound) {
			return false, err
		}
	}
	rows = append(rows, address(tableJobs, string(id)))
	for len(rows) > 0 {
		n := min(maxSweepRows, len(rows))
		if _, err := mgr.ledger.store.Commit(ctx, store.Transaction{Remove: rows[:n]}); err != nil {
			return false, err
		}
		rows = rows[n:]
	}
	mgr.uncacheManifest(id)
	return true, nil
}

func (mgr *Manager) uncacheManifest(id JobID) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	delete(mgr.manifests, id)
}
