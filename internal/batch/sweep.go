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
	// closedTime is how long a job that completes or ends after the retention period is still kept, so that its caller can
	// read the last results.
	closedTime = time.Minute
	// maxSweepRows bounds the rows that a transaction removes, below the store's limit of 100.
	maxSweepRows = 90
)

// sweep removes the jobs that were submitted longer ago than the retention period and have not been open for closedTime. It returns
// the number of jobs removed.
func (mgr *Manager) sweep(ctx context.Context, retention time.Duration) (int, error) {
	page, err := store.ReadAll(ctx, mgr.ledger.store, store.Range{
		Table: tableJobs,
		Part:  part,
	})
	if err != nil {
		return 0, err
	}
	// The claims are read after the jobs, so that none of these jobs counts as closed that has just been accepted.
	claims, err := mgr.ledger.claims(ctx)
	if err != nil {
		return 0, err
	}
	mgr.noteClosed(page, claims)
	removed := 0
	for _, row := range page.Rows {
		id := JobID(row.Address.Key)
		closed, isClosed := mgr.closedSince[id]
		if !isClosed || elapsed(closed, page.Clock) < closedTime {
			continue
		}
		var m manifest
		if err := json.Unmarshal(row.Value, &m); err != nil {
			return removed, oops.In("batch").With("job", id).Wrap(err)
		}
		if elapsed(m.Submitted, page.Clock) <= retention+sweepGrace {
			continue
		}
		deleted, err := mgr.remove(ctx, id, m)
		if err != nil {
			return removed, err
		}
		if deleted {
			delete(mgr.closedSince, id)
			removed++
		}
	}
	return removed, nil
}

// noteClosed records which of the stored jobs are not open, and since when as far as this VM knows.
func (mgr *Manager) noteClosed(jobs, claims store.Page) {
	open := map[JobID]bool{}
	for _, row := range claims.Rows {
		open[ClaimKey(row.Address.Key).Job()] = true
	}
	closed := make(map[JobID]store.Clock, len(jobs.Rows))
	for _, row := range jobs.Rows {
		id := JobID(row.Address.Key)
		if open[id] {
			continue
		}
		closed[id] = jobs.Clock
		if since, known := mgr.closedSince[id]; known {
			closed[id] = since
		}
	}
	mgr.closedSince = closed
}

func elapsed(from, to store.Clock) time.Duration {
	return time.Duration(to-from) * time.Millisecond
}

// remove removes a job unless it is open. The manifest is removed last, so that the next sweep completes an interrupted
// removal.
func (mgr *Manager) remove(ctx context.Context, id JobID, m manifest) (bool, error) {
	_, revision, err := mgr.ledger.claim(ctx, claimKey(m.Organisation, id))
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
