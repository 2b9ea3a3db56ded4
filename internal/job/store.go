package job

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/lease"
	"rhubarbrudder/internal/platform"
)

// Table is what the store needs of the table service.
type Table interface {
	Get(ctx context.Context, key platform.Key) (platform.Row, error)
	Page(ctx context.Context, partition, after string, limit int) ([]platform.Row, error)
	All(ctx context.Context, partition string) ([]platform.Row, error)
	Commit(ctx context.Context, txn platform.Txn) error
}

// Objects is what the store needs of the object store.
type Objects interface {
	Put(ctx context.Context, name platform.ObjectName, data []byte) error
	Get(ctx context.Context, name platform.ObjectName) ([]byte, error)
	Open(ctx context.Context, name platform.ObjectName) (io.ReadCloser, error)
	Delete(ctx context.Context, name platform.ObjectName) error
}

// Store keeps jobs in the platform.
type Store struct {
	table   Table
	objects Objects
}

// NewStore returns a store on the platform.
func NewStore(table Table, objects Objects) *Store {
	return &Store{
		table:   table,
		objects: objects,
	}
}

const (
	partitionFile   = "File"
	partitionJob    = "Job"
	partitionActive = "ActiveJob"
	partitionOwned  = "OrganisationJob/"
	partitionLot    = "Lot/"
)

func key(partition, sort string) platform.Key {
	return platform.Key{
		Partition: partition,
		Sort:      sort,
	}
}

// put returns the write of a row that is at the version.
func put(partition, sort string, version platform.Version, value any) (platform.Write, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return platform.Write{}, oops.In("job").Wrap(err)
	}
	return platform.Write{
		Key:     key(partition, sort),
		Version: version,
		Data:    data,
	}, nil
}

func (s *Store) get(ctx context.Context, partition, sort string, value any) (platform.Version, error) {
	row, err := s.table.Get(ctx, key(partition, sort))
	if err != nil {
		return 0, storeError(err)
	}
	if err := json.Unmarshal(row.Data, value); err != nil {
		return 0, oops.In("job").Wrap(err)
	}
	return row.Version, nil
}

// Objects returns the object store, for intakes.
func (s *Store) Objects() Objects {
	return s.objects
}

// PutFile stores the row of a file whose lots are stored.
func (s *Store) PutFile(ctx context.Context, file File) error {
	write, err := put(partitionFile, string(file.ID), 0, file)
	if err != nil {
		return err
	}
	listed, err := ownedFile(file)
	if err != nil {
		return err
	}
	return s.settle(ctx, platform.ClassCommit, []platform.Write{write, listed}, func() (bool, error) {
		_, err := s.File(ctx, file.Organisation, file.ID)
		return err == nil, err
	})
}

// settleAttempts bounds the repeats of a write whose outcome is unknown.
const settleAttempts = 5

// settle commits the writes. An unknown outcome is settled by repeating the same conditional writes;
// a conflict after that is ours if applied says so.
func (s *Store) settle(ctx context.Context, class platform.Class, writes []platform.Write, applied func() (bool, error)) error {
	unknown := false
	for range settleAttempts {
		err := s.table.Commit(ctx, platform.Txn{
			Class:  class,
			Writes: writes,
		})
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrUnknown):
			unknown = true
			continue
		case errors.Is(err, platform.ErrConflict) && unknown:
			ours, readErr := applied()
			if readErr != nil && !errors.Is(readErr, ErrNotFound) {
				return errors.Join(ErrUnknown, readErr)
			}
			if ours {
				return nil
			}
			return storeError(err)
		case errors.Is(err, platform.ErrUnavailable) && unknown:
			continue
		default:
			return storeError(err)
		}
	}
	return ErrUnknown
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

// Create stores a new job and returns it; if the job exists already, it returns that.
func (s *Store) Create(ctx context.Context, job Job) (Job, error) {
	found, err := s.existing(ctx, job)
	if !errors.Is(err, ErrNotFound) {
		return found, err
	}
	writes, err := createWrites(job)
	if err != nil {
		return Job{}, err
	}
	err = s.settle(ctx, platform.ClassCommit, writes, func() (bool, error) {
		_, err := s.existing(ctx, job)
		return err == nil, err
	})
	if errors.Is(err, ErrFenced) {
		return s.existing(ctx, job)
	}
	return job, err
}

func createWrites(job Job) ([]platform.Write, error) {
	row, err := put(partitionJob, string(job.ID), 0, job)
	if err != nil {
		return nil, err
	}
	active, err := put(partitionActive, string(job.ID), 0, activeOf(job))
	if err != nil {
		return nil, err
	}
	owned, err := put(partitionOwned+string(job.Organisation), string(job.ID), 0, job.Created)
	if err != nil {
		return nil, err
	}
	return []platform.Write{row, active, owned}, nil
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

func (s *Store) jobRow(ctx context.Context, id ID) (Job, platform.Version, error) {
	var job Job
	version, err := s.get(ctx, partitionJob, string(id), &job)
	return job, version, err
}

// JobsOf returns up to limit jobs of the organisation in order of their ids, after the given one.
func (s *Store) JobsOf(ctx context.Context, organisation document.OrganisationID, after ID, limit int) ([]Job, error) {
	rows, err := s.table.Page(ctx, partitionOwned+string(organisation), string(after), limit)
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

// ActiveRow is an active job and the version of its row, which claims check.
type ActiveRow struct {
	Active
	Version platform.Version
}

// Active returns every job that has not ended.
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

// Cancel marks a job as cancelled: from then on no lot of it can be claimed. Cancelling twice changes nothing.
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

// commitState writes the job's row and its active row together, or drops the latter if the job has ended.
func (s *Store) commitState(ctx context.Context, job Job, version platform.Version) error {
	row, err := put(partitionJob, string(job.ID), version, job)
	if err != nil {
		return err
	}
	active, err := put(partitionActive, string(job.ID), version, activeOf(job))
	if err != nil {
		return err
	}
	if job.State.Ended() {
		active.Action = platform.ActionDelete
	}
	return s.settle(ctx, platform.ClassCommit, []platform.Write{row, active}, func() (bool, error) {
		stored, _, err := s.jobRow(ctx, job.ID)
		return stored.State == job.State && stored.Cancelled.Equal(job.Cancelled), err
	})
}

// LotRow is a lot and the version of its row, which fences it.
type LotRow struct {
	Lot
	Version platform.Version
}

// Lots returns the lots of a job that have rows, in order.
func (s *Store) Lots(ctx context.Context, id ID) ([]LotRow, error) {
	rows, err := s.table.All(ctx, partitionLot+string(id))
	if err != nil {
		return nil, storeError(err)
	}
	lots := make([]LotRow, 0, len(rows))
	for _, row := range rows {
		lot := LotRow{
			Version: row.Version,
		}
		if err := json.Unmarshal(row.Data, &lot.Lot); err != nil {
			return nil, oops.In("job").Wrap(err)
		}
		lots = append(lots, lot)
	}
	return lots, nil
}

// Claim takes a lot for the session, unless the job changed since active was read or the lot's row since lot was.
// A lot without a row has version zero.
func (s *Store) Claim(ctx context.Context, active ActiveRow, lot LotRow, session lease.SessionID) (LotRow, error) {
	lot.State = LotClaimed
	lot.Session = session
	lot.Claim++
	write, err := put(partitionLot+string(active.Job), string(lot.ID), lot.Version, lot.Lot)
	if err != nil {
		return LotRow{}, err
	}
	check := platform.Write{
		Key:     key(partitionActive, string(active.Job)),
		Action:  platform.ActionCheck,
		Version: active.Version,
	}
	err = s.settle(ctx, platform.ClassClaim, []platform.Write{write, check}, func() (bool, error) {
		return s.holds(ctx, active.Job, lot.Lot)
	})
	lot.Version++
	return lot, err
}

// holds reports whether the stored lot is still in the given claim's hands.
func (s *Store) holds(ctx context.Context, id ID, lot Lot) (bool, error) {
	var stored Lot
	_, err := s.get(ctx, partitionLot+string(id), string(lot.ID), &stored)
	return stored.Session == lot.Session && stored.Claim == lot.Claim, err
}

// Save stores progress of a claimed lot and returns the lot with its new version. ErrFenced means that the claim is lost.
func (s *Store) Save(ctx context.Context, id ID, lot LotRow, progress Checkpoint) (LotRow, error) {
	data, err := json.Marshal(progress)
	if err != nil {
		return lot, oops.In("job").Wrap(err)
	}
	lot.Checkpoint = ResultObject(id, lot.ID, lot.Session, lot.Claim, "checkpoint-"+time.Now().UTC().Format("150405.000000"))
	if err := putObject(ctx, s.objects, lot.Checkpoint, data); err != nil {
		return lot, err
	}
	return s.update(ctx, id, lot)
}

// update writes the row of a lot that this process holds.
func (s *Store) update(ctx context.Context, id ID, lot LotRow, more ...platform.Write) (LotRow, error) {
	write, err := put(partitionLot+string(id), string(lot.ID), lot.Version, lot.Lot)
	if err != nil {
		return lot, err
	}
	err = s.settle(ctx, platform.ClassCommit, append([]platform.Write{write}, more...), func() (bool, error) {
		var stored Lot
		_, err := s.get(ctx, partitionLot+string(id), string(lot.ID), &stored)
		return stored == lot.Lot, err
	})
	if err == nil {
		lot.Version++
	}
	return lot, err
}

// Progress returns the progress of a lot's earlier claims.
func (s *Store) Progress(ctx context.Context, lot Lot) (Checkpoint, error) {
	progress := NewCheckpoint()
	if lot.Checkpoint == "" {
		return progress, nil
	}
	data, err := s.objects.Get(ctx, lot.Checkpoint)
	if err != nil {
		return progress, storeError(err)
	}
	if err := json.Unmarshal(data, &progress); err != nil {
		return progress, oops.In("job").Wrap(err)
	}
	return progress, nil
}
