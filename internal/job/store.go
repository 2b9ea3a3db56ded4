package job

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/tablestore"
)

// Table is the part of the table service that the store uses.
type Table interface {
	Get(ctx context.Context, key tablestore.Key) (tablestore.Row, error)
	Page(ctx context.Context, partition, after string, limit int) ([]tablestore.Row, error)
	All(ctx context.Context, partition string) ([]tablestore.Row, error)
	Commit(ctx context.Context, txn tablestore.Txn) error
}

// Objects is the part of the object store that the store uses.
type Objects interface {
	Put(ctx context.Context, name tablestore.ObjectName, data []byte) error
	Get(ctx context.Context, name tablestore.ObjectName) ([]byte, error)
	Open(ctx context.Context, name tablestore.ObjectName) (io.ReadCloser, error)
	Delete(ctx context.Context, name tablestore.ObjectName) error
}

// Store stores jobs in the platform's table and object store.
type Store struct {
	table   Table
	objects Objects
	// pause waits between retries and reports whether ctx is still alive.
	pause   func(ctx context.Context, length time.Duration) bool
	onEnded func(job Job)
}

// NewStore returns a store on the platform.
func NewStore(table Table, objects Objects) *Store {
	return &Store{
		table:   table,
		objects: objects,
		pause:   pause,
		onEnded: func(Job) {},
	}
}

// OnEnded sets a function that is called with each job that this store ends. It must be called before Finish.
func (s *Store) OnEnded(do func(job Job)) {
	s.onEnded = do
}

const (
	partitionFile     = "File"
	partitionJob      = "Job"
	partitionActive   = "ActiveJob"
	partitionOwnedJob = "OrganisationJob/"
	partitionLot      = "Lot/"
)

func key(partition, sort string) tablestore.Key {
	return tablestore.Key{
		Partition: partition,
		Sort:      sort,
	}
}

// put returns the write of a row, conditional on the row's current version.
func put(partition, sort string, version tablestore.Version, value any) (tablestore.Write, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return tablestore.Write{}, oops.In("job").Wrap(err)
	}
	return tablestore.Write{
		Key:     key(partition, sort),
		Version: version,
		Data:    data,
	}, nil
}

func (s *Store) get(ctx context.Context, partition, sort string, value any) (tablestore.Version, error) {
	row, err := s.table.Get(ctx, key(partition, sort))
	if err != nil {
		return 0, storeError(err)
	}
	if err := json.Unmarshal(row.Data, value); err != nil {
		return 0, oops.In("job").Wrap(err)
	}
	return row.Version, nil
}

// Objects returns the object store for use by an Intake.
func (s *Store) Objects() Objects {
	return s.objects
}

// PutFile stores the row of a file whose lots are stored.
func (s *Store) PutFile(ctx context.Context, file File) error {
	write, err := put(partitionFile, string(file.ID), 0, file)
	if err != nil {
		return err
	}
	listed, err := ownedFileWrite(file)
	if err != nil {
		return err
	}
	return s.settle(ctx, tablestore.ClassCommit, []tablestore.Write{write, listed}, func() (bool, error) {
		_, err := s.File(ctx, file.Organisation, file.ID)
		return err == nil, err
	})
}

// settleAttempts bounds the attempts of a write whose outcome is unknown.
const settleAttempts = 5

// settlePause is the base of the exponential backoff between the attempts.
const settlePause = 50 * time.Millisecond

// settle commits the writes. If the outcome is unknown, it repeats the same conditional writes. A conflict after that
// may be with this call's own write; applied then reports whether the writes took effect.
func (s *Store) settle(ctx context.Context, class tablestore.Class, writes []tablestore.Write, applied func() (bool, error)) error {
	unknown := false
	for attempt := range settleAttempts {
		if attempt > 0 && !s.pause(ctx, settlePause<<attempt) {
			return ErrUnknown
		}
		err := s.table.Commit(ctx, tablestore.Txn{
			Class:  class,
			Writes: writes,
		})
		switch {
		case err == nil:
			return nil
		case errors.Is(err, tablestore.ErrUnknown):
			unknown = true
			continue
		case errors.Is(err, tablestore.ErrConflict) && unknown:
			committed, readErr := applied()
			if readErr != nil && !errors.Is(readErr, ErrNotFound) {
				return errors.Join(ErrUnknown, readErr)
			}
			if committed {
				return nil
			}
			return storeError(err)
		case errors.Is(err, tablestore.ErrUnavailable) && unknown:
			continue
		default:
			return storeError(err)
		}
	}
	return ErrUnknown
}

// pause waits for the duration and reports whether ctx is still alive.
func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// File returns a file of the organisation.
func (s *Store) File(ctx context.Context, organisation document.OrganisationID, id FileID) (File, error) {
	var file File
	if _, err := s.get(ctx, partitionFile, string(id), &file); err != nil {
		return File{}, err
	}
	if file.Organisation != organisation || !file.Deleted.IsZero() {
		return File{}, ErrNotFound
	}
	return file, nil
}

// Create stores a new job and returns it. If the job already exists, it returns the stored one, or ErrKeyReused if that
// was created by another request.
func (s *Store) Create(ctx context.Context, job Job) (Job, error) {
	found, err := s.existing(ctx, job)
	if !errors.Is(err, ErrNotFound) {
		return found, err
	}
	writes, err := createWrites(job)
	if err != nil {
		return Job{}, err
	}
	err = s.settle(ctx, tablestore.ClassCommit, writes, func() (bool, error) {
		_, err := s.existing(ctx, job)
		return err == nil, err
	})
	if errors.Is(err, ErrFenced) {
		return s.existing(ctx, job)
	}
	return job, err
}

func createWrites(job Job) ([]tablestore.Write, error) {
	row, err := put(partitionJob, string(job.ID), 0, job)
	if err != nil {
		return nil, err
	}
	active, err := put(partitionActive, string(job.ID), 0, activeOf(job))
	if err != nil {
		return nil, err
	}
	owned, err := put(partitionOwnedJob+string(job.Organisation), string(job.ID), 0, job.Created)
	if err != nil {
		return nil, err
	}
	return []tablestore.Write{row, active, owned}, nil
}

func activeOf(job Job) Active {
	return Active{
		Job:          job.ID,
		Organisation: job.Organisation,
		Service:      job.Service,
		File:         job.File,
		Lots:         job.Lots,
		Items:        job.Items,
		Due:          job.Due,
		Created:      job.Created,
		Cancelled:    !job.Cancelled.IsZero(),
		Once:         job.Once,
	}
}

func (s *Store) existing(ctx context.Context, job Job) (Job, error) {
	found, err := s.Job(ctx, job.Organisation, job.ID)
	if err != nil {
		return Job{}, err
	}
	if found.BodyHash != job.BodyHash {
		return Job{}, ErrKeyReused
	}
	return found, nil
}

// Job returns a job of the organisation.
func (s *Store) Job(ctx context.Context, organisation document.OrganisationID, id ID) (Job, error) {
	job, _, err := s.jobRow(ctx, id)
	if err != nil {
		return Job{}, err
	}
	if job.Organisation != organisation {
		return Job{}, ErrNotFound
	}
	return job, nil
}

func (s *Store) jobRow(ctx context.Context, id ID) (Job, tablestore.Version, error) {
	var job Job
	version, err := s.get(ctx, partitionJob, string(id), &job)
	return job, version, err
}

// JobsOf returns up to limit jobs of the organisation in the order of their IDs, beginning after the given ID.
func (s *Store) JobsOf(ctx context.Context, organisation document.OrganisationID, after ID, limit int) ([]Job, error) {
	rows, err := s.table.Page(ctx, partitionOwnedJob+string(organisation), string(after), limit)
	if err != nil {
		return nil, storeError(err)
	}
	jobs := make([]Job, 0, len(rows))
	for _, row := range rows {
		job, err := s.Job(ctx, organisation, ID(row.Key.Sort))
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, job)
	}
	return jobs, nil
}

// ActiveRow is an active job with the version of its row, which a claim checks so that it fails if the job has changed.
type ActiveRow struct {
	Active
	Version tablestore.Version
}

// Active returns all jobs that have not ended.
func (s *Store) Active(ctx context.Context) ([]ActiveRow, error) {
	rows, err := s.table.All(ctx, partitionActive)
	if err != nil {
		return nil, storeError(err)
	}
	jobs := make([]ActiveRow, 0, len(rows))
	for _, row := range rows {
		active := ActiveRow{
			Version: row.Version,
		}
		if err := json.Unmarshal(row.Data, &active.Active); err != nil {
			return nil, oops.In("job").Wrap(err)
		}
		jobs = append(jobs, active)
	}
	return jobs, nil
}

// Cancel marks a job as cancelled. Claims that are based on its earlier active row fail from then on. Cancelling a job
// that is cancelled or has ended changes nothing.
func (s *Store) Cancel(ctx context.Context, organisation document.OrganisationID, id ID) (Job, error) {
	for {
		job, version, err := s.jobRow(ctx, id)
		if err != nil {
			return Job{}, err
		}
		if job.Organisation != organisation {
			return Job{}, ErrNotFound
		}
		if job.State != StateRunning {
			return job, nil
		}
		job.State = StateCancelling
		job.Cancelled = time.Now().UTC()
		err = s.commitState(ctx, job, version)
		if !errors.Is(err, ErrFenced) {
			return job, err
		}
	}
}

// commitState writes the job's row and, in the same transaction, its active row, which it deletes if the job has ended.
func (s *Store) commitState(ctx context.Context, job Job, version tablestore.Version) error {
	row, err := put(partitionJob, string(job.ID), version, job)
	if err != nil {
		return err
	}
	active, err := put(partitionActive, string(job.ID), version, activeOf(job))
	if err != nil {
		return err
	}
	if job.State.Ended() {
		active.Action = tablestore.ActionDelete
	}
	return s.settle(ctx, tablestore.ClassCommit, []tablestore.Write{row, active}, func() (bool, error) {
		stored, _, err := s.jobRow(ctx, job.ID)
		return stored.State == job.State && stored.Cancelled.Equal(job.Cancelled), err
	})
}
