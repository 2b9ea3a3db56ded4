package job

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/tablestore"
)

// Lister lists objects by their prefix.
type Lister interface {
	Page(ctx context.Context, prefix, after tablestore.ObjectName, limit int) ([]tablestore.ObjectInfo, error)
}

// Sweeper removes what nothing refers to any more: results of jobs past their retention, objects that claims left
// behind, and lots of uploads that were never accepted.
type Sweeper struct {
	store  *Store
	lister Lister
	// mine reports whether this process sweeps what has the name.
	mine func(name string) bool
	// retention is how long results stay readable after a job ended.
	retention func() time.Duration
	log       *slog.Logger
}

// NewSweeper returns a sweeper.
func NewSweeper(store *Store, lister Lister, mine func(name string) bool, retention func() time.Duration, log *slog.Logger) *Sweeper {
	return &Sweeper{
		store:     store,
		lister:    lister,
		mine:      mine,
		retention: retention,
		log:       log,
	}
}

const (
	// sweepPeriod is the pause between two sweeps.
	sweepPeriod = time.Hour
	// orphanAge is the age from which an object that nothing refers to is removed.
	orphanAge = 24 * time.Hour
	// sweepPage is how many rows or objects are read at a time.
	sweepPage = 500
)

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	for s.store.pause(ctx, sweepPeriod) {
		if err := s.Sweep(ctx, time.Now()); err != nil && ctx.Err() == nil {
			s.log.Warn("sweep broken off", "err", err)
		}
	}
	return nil
}

// Sweep removes what may go at the time.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) error {
	if err := s.sweepJobs(ctx, now); err != nil {
		return err
	}
	return s.sweepFiles(ctx, now)
}

func (s *Sweeper) sweepJobs(ctx context.Context, now time.Time) error {
	after := ""
	for {
		rows, err := s.store.table.Page(ctx, partitionJob, after, sweepPage)
		if err != nil {
			return storeError(err)
		}
		for _, row := range rows {
			var job Job
			if err := json.Unmarshal(row.Data, &job); err != nil {
				return oops.In("job").Wrap(err)
			}
			if !job.State.Ended() || !s.mine(string(job.ID)) {
				continue
			}
			if err := s.sweepJob(ctx, job, row.Version, now); err != nil {
				return err
			}
		}
		if len(rows) < sweepPage {
			return nil
		}
		after = rows[len(rows)-1].Key.Sort
	}
}

// sweepJob removes an ended job past its retention, objects first, so that a sweep that breaks off is taken up again;
// of a younger one, only the objects that its lots don't name.
func (s *Sweeper) sweepJob(ctx context.Context, job Job, version tablestore.Version, now time.Time) error {
	expired := now.Sub(job.Ended) > s.retention()
	if !expired && now.Sub(job.Ended) < orphanAge {
		return nil
	}
	lots, err := s.store.Lots(ctx, job.ID)
	if err != nil {
		return err
	}
	kept := map[tablestore.ObjectName]bool{}
	for _, lot := range lots {
		kept[lot.Results] = !expired
		kept[lot.Errors] = !expired
	}
	removed, err := s.remove(ctx, tablestore.ObjectName("result/"+string(job.ID)+"/"), func(info tablestore.ObjectInfo) bool {
		return !kept[info.Name]
	})
	if err != nil || !expired {
		return err
	}
	s.log.Info("job swept", "job", job.ID, "lots", len(lots), "objects", removed)
	return s.forget(ctx, job, version, lots)
}

// forget deletes an expired job's rows, its own last.
func (s *Sweeper) forget(ctx context.Context, job Job, version tablestore.Version, lots []LotRow) error {
	for len(lots) > 0 {
		var writes []tablestore.Write
		for _, lot := range lots[:min(len(lots), tablestore.MaxWrites)] {
			writes = append(writes, deletion(partitionLot+string(job.ID), string(lot.ID), lot.Version))
		}
		lots = lots[len(writes):]
		if err := s.delete(ctx, writes); err != nil {
			return err
		}
	}
	return s.delete(ctx, []tablestore.Write{
		deletion(partitionJob, string(job.ID), version),
		deletion(partitionOwned+string(job.Organisation), string(job.ID), 1),
	})
}

func deletion(partition, sort string, version tablestore.Version) tablestore.Write {
	return tablestore.Write{
		Key:     key(partition, sort),
		Action:  tablestore.ActionDelete,
		Version: version,
	}
}

// delete commits deletions; if the answer is lost, the next sweep finds out.
func (s *Sweeper) delete(ctx context.Context, writes []tablestore.Write) error {
	return storeError(s.store.table.Commit(ctx, tablestore.Txn{
		Class:  tablestore.ClassReport,
		Writes: writes,
	}))
}

// remove deletes the objects with the prefix that may go and returns how many.
func (s *Sweeper) remove(ctx context.Context, prefix tablestore.ObjectName, mayGo func(tablestore.ObjectInfo) bool) (int, error) {
	removed := 0
	after := tablestore.ObjectName("")
	for {
		infos, err := s.lister.Page(ctx, prefix, after, sweepPage)
		if err != nil {
			return removed, storeError(err)
		}
		for _, info := range infos {
			if !mayGo(info) {
				continue
			}
			if err := s.store.objects.Delete(ctx, info.Name); err != nil {
				return removed, storeError(err)
			}
			removed++
		}
		if len(infos) < sweepPage {
			return removed, nil
		}
		after = infos[len(infos)-1].Name
	}
}

const inputPrefix = "file/"

// sweepFiles removes the lots of uploads that were never accepted.
func (s *Sweeper) sweepFiles(ctx context.Context, now time.Time) error {
	accepted := map[string]bool{}
	var failed error
	_, err := s.remove(ctx, inputPrefix, func(info tablestore.ObjectInfo) bool {
		id, _, _ := strings.Cut(strings.TrimPrefix(string(info.Name), inputPrefix), "/")
		if now.Sub(info.Modified) < orphanAge || !s.mine(id) || failed != nil {
			return false
		}
		known, asked := accepted[id]
		if !asked {
			_, err := s.store.table.Get(ctx, key(partitionFile, id))
			known = err == nil
			if err != nil && !errors.Is(err, tablestore.ErrNotFound) {
				failed = storeError(err)
				return false
			}
			accepted[id] = known
		}
		return !known
	})
	return errors.Join(err, failed)
}
