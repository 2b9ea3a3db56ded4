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

// Lister lists objects by prefix.
type Lister interface {
	Page(ctx context.Context, prefix, after tablestore.ObjectName, limit int) ([]tablestore.ObjectInfo, error)
}

// Sweeper deletes jobs with their results past their retention, result objects of ended jobs that no lot references, and
// the input objects of files whose upload was never accepted.
type Sweeper struct {
	store  *Store
	lister Lister
	// owns reports whether this process is responsible for the job or file with the ID.
	owns func(name string) bool
	// retention returns how long results stay readable after a job has ended.
	retention func() time.Duration
	log       *slog.Logger
}

// NewSweeper returns a sweeper.
func NewSweeper(store *Store, lister Lister, owns func(name string) bool, retention func() time.Duration, log *slog.Logger) *Sweeper {
	return &Sweeper{
		store:     store,
		lister:    lister,
		owns:      owns,
		retention: retention,
		log:       log,
	}
}

const (
	// sweepPeriod is the pause between two sweeps.
	sweepPeriod = time.Hour
	// orphanAge is the age from which unreferenced objects are deleted. The age of an input object counts from its last
	// modification, that of a result object from the end of its job.
	orphanAge = 24 * time.Hour
	// sweepPage is the number of rows or objects that are read at a time.
	sweepPage = 500
)

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	for s.store.pause(ctx, sweepPeriod) {
		if err := s.Sweep(ctx, time.Now()); err != nil && ctx.Err() == nil {
			s.log.Warn("sweep aborted; the next one resumes it", "err", err)
		}
	}
	return nil
}

// Sweep deletes everything that has expired or is orphaned at the given time.
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
			if !job.State.Ended() || !s.owns(string(job.ID)) {
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

// sweepJob deletes an ended job that is past its retention. It deletes the objects before the rows, so that the next
// sweep resumes one that was aborted. Of a job that is within its retention but ended at least orphanAge ago, it deletes
// only the result objects that its lots do not reference.
func (s *Sweeper) sweepJob(ctx context.Context, job Job, version tablestore.Version, now time.Time) error {
	expired := now.Sub(job.Ended) > s.retention()
	if !expired && now.Sub(job.Ended) < orphanAge {
		return nil
	}
	lots, err := s.store.Lots(ctx, job.ID)
	if err != nil {
		return err
	}
	referenced := map[tablestore.ObjectName]bool{}
	for _, lot := range lots {
		referenced[lot.Results] = !expired
		referenced[lot.Errors] = !expired
	}
	removed, err := s.deleteObjects(ctx, tablestore.ObjectName("result/"+string(job.ID)+"/"), func(info tablestore.ObjectInfo) bool {
		return !referenced[info.Name]
	})
	if err != nil || !expired {
		return err
	}
	s.log.Info("expired job deleted", "job", job.ID, "lots", len(lots), "objects", removed)
	return s.deleteRows(ctx, job, version, lots)
}

// deleteRows deletes an expired job's rows. The job's own row comes last, so that the next sweep finds the job again if
// this one is aborted.
func (s *Sweeper) deleteRows(ctx context.Context, job Job, version tablestore.Version, lots []LotRow) error {
	for len(lots) > 0 {
		var writes []tablestore.Write
		for _, lot := range lots[:min(len(lots), tablestore.MaxWrites)] {
			writes = append(writes, deleteWrite(partitionLot+string(job.ID), string(lot.ID), lot.Version))
		}
		lots = lots[len(writes):]
		if err := s.delete(ctx, writes); err != nil {
			return err
		}
	}
	return s.delete(ctx, []tablestore.Write{
		deleteWrite(partitionJob, string(job.ID), version),
		// This row is written once and never updated, so its version is 1.
		deleteWrite(partitionOwnedJob+string(job.Organisation), string(job.ID), 1),
	})
}

func deleteWrite(partition, sort string, version tablestore.Version) tablestore.Write {
	return tablestore.Write{
		Key:     key(partition, sort),
		Action:  tablestore.ActionDelete,
		Version: version,
	}
}

// delete commits deletions. If the answer is lost, the next sweep deletes what is left.
func (s *Sweeper) delete(ctx context.Context, writes []tablestore.Write) error {
	return storeError(s.store.table.Commit(ctx, tablestore.Txn{
		// ClassReport is the class of all writes that can wait.
		Class:  tablestore.ClassReport,
		Writes: writes,
	}))
}

// deleteObjects deletes the objects with the prefix for which shouldDelete returns true, and returns their number.
func (s *Sweeper) deleteObjects(ctx context.Context, prefix tablestore.ObjectName, shouldDelete func(tablestore.ObjectInfo) bool) (int, error) {
	removed := 0
	after := tablestore.ObjectName("")
	for {
		infos, err := s.lister.Page(ctx, prefix, after, sweepPage)
		if err != nil {
			return removed, storeError(err)
		}
		for _, info := range infos {
			if !shouldDelete(info) {
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

// sweepFiles deletes the input objects of files whose upload was never accepted, which have no file row.
func (s *Sweeper) sweepFiles(ctx context.Context, now time.Time) error {
	accepted := map[string]bool{}
	var lookupErr error
	_, err := s.deleteObjects(ctx, inputPrefix, func(info tablestore.ObjectInfo) bool {
		id, _, _ := strings.Cut(strings.TrimPrefix(string(info.Name), inputPrefix), "/")
		if now.Sub(info.Modified) < orphanAge || !s.owns(id) || lookupErr != nil {
			return false
		}
		exists, cached := accepted[id]
		if !cached {
			_, err := s.store.table.Get(ctx, key(partitionFile, id))
			exists = err == nil
			if err != nil && !errors.Is(err, tablestore.ErrNotFound) {
				lookupErr = storeError(err)
				return false
			}
			accepted[id] = exists
		}
		return !exists
	})
	return errors.Join(err, lookupErr)
}
