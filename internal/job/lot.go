package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/samber/oops"

	"rhubarbrudder/internal/lease"
	"rhubarbrudder/internal/tablestore"
)

// LotRow is a lot with the version of its row, which serves as its fencing token.
type LotRow struct {
	Lot
	Version tablestore.Version
}

// Lots returns the lots of a job that have rows, in the order of their IDs.
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

// Claim claims a lot for the session. It returns ErrFenced if the job's active row or the lot's row has changed since
// active and lot were read. A lot without a row has version zero.
func (s *Store) Claim(ctx context.Context, active ActiveRow, lot LotRow, session lease.SessionID) (LotRow, error) {
	if err := s.recoverCheckpoint(ctx, active.Job, &lot.Lot); err != nil {
		return LotRow{}, err
	}
	lot.State = LotClaimed
	lot.Session = session
	lot.Claim++
	write, err := put(partitionLot+string(active.Job), string(lot.ID), lot.Version, lot.Lot)
	if err != nil {
		return LotRow{}, err
	}
	check := tablestore.Write{
		Key:     key(partitionActive, string(active.Job)),
		Action:  tablestore.ActionCheck,
		Version: active.Version,
	}
	err = s.settle(ctx, tablestore.ClassClaim, []tablestore.Write{write, check}, func() (bool, error) {
		return s.claimHolds(ctx, active.Job, lot.Lot)
	})
	lot.Version++
	return lot, err
}

// recoverCheckpoint sets the checkpoint of a lot that is taken over to the progress object of its last claim, if there
// is one.
func (s *Store) recoverCheckpoint(ctx context.Context, id ID, lot *Lot) error {
	if lot.State != LotClaimed {
		return nil
	}
	name := liveCheckpoint(id, *lot)
	_, err := s.objects.Get(ctx, name)
	if errors.Is(err, tablestore.ErrNotFound) {
		return nil
	}
	if err == nil {
		lot.Checkpoint = name
	}
	return storeError(err)
}

// liveCheckpoint returns the name of the object with the progress of a current claim, which each checkpoint overwrites.
func liveCheckpoint(id ID, lot Lot) tablestore.ObjectName {
	return ResultObject(id, lot.ID, lot.Session, lot.Claim, "checkpoint")
}

// Checkpoint stores the progress of a claimed lot without writing its row. Since that is not fenced, it is only for
// items that may run again, for which lost progress costs nothing but repeated work.
func (s *Store) Checkpoint(ctx context.Context, id ID, lot LotRow, progress Checkpoint) error {
	data, err := json.Marshal(progress)
	if err != nil {
		return oops.In("job").Wrap(err)
	}
	return putObject(ctx, s.objects, liveCheckpoint(id, lot.Lot), data)
}

// claimHolds reports whether the given claim still holds the stored lot.
func (s *Store) claimHolds(ctx context.Context, id ID, lot Lot) (bool, error) {
	stored, _, err := s.lotRow(ctx, id, lot.ID)
	return stored.Session == lot.Session && stored.Claim == lot.Claim, err
}

// Progress returns the progress that earlier claims of a lot stored.
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

// Save stores the progress of a claimed lot as a new object, names it in the lot's row and returns the lot with its new
// version. ErrFenced means that the claim is lost. The previous checkpoint object is deleted.
func (s *Store) Save(ctx context.Context, id ID, lot LotRow, progress Checkpoint) (LotRow, error) {
	before := lot
	var err error
	lot.Checkpoint, err = s.putProgress(ctx, id, lot.Lot, "checkpoint", progress)
	if err != nil {
		return before, err
	}
	saved, err := s.update(ctx, id, lot)
	if err != nil {
		return before, err
	}
	if before.Checkpoint != "" {
		// If this fails, the Sweeper deletes the checkpoint with the job.
		_ = s.objects.Delete(ctx, before.Checkpoint)
	}
	return saved, nil
}

// Free stores the progress like Save and frees the lot, so that any process may claim it. If hop is set, the preferred
// process is chosen anew.
func (s *Store) Free(ctx context.Context, id ID, lot LotRow, progress Checkpoint, hop bool) error {
	lot.State = LotFree
	if hop {
		lot.Hops++
	}
	_, err := s.Save(ctx, id, lot, progress)
	return err
}

func (s *Store) putProgress(ctx context.Context, id ID, lot Lot, kind string, progress Checkpoint) (tablestore.ObjectName, error) {
	data, err := json.Marshal(progress)
	if err != nil {
		return "", oops.In("job").Wrap(err)
	}
	name := ResultObject(id, lot.ID, lot.Session, lot.Claim, uniqueKind(kind))
	return name, putObject(ctx, s.objects, name, data)
}

// update writes the row of a lot that this process holds, in one transaction with more writes. A conflict may be with
// an earlier write of the same claim whose answer was lost, so update reads the row back and retries if the claim still
// holds the lot.
func (s *Store) update(ctx context.Context, id ID, lot LotRow, more ...tablestore.Write) (LotRow, error) {
	for range settleAttempts {
		write, err := put(partitionLot+string(id), string(lot.ID), lot.Version, lot.Lot)
		if err != nil {
			return lot, err
		}
		err = s.settle(ctx, tablestore.ClassCommit, append([]tablestore.Write{write}, more...), func() (bool, error) {
			stored, _, err := s.lotRow(ctx, id, lot.ID)
			return stored == lot.Lot, err
		})
		if err == nil {
			lot.Version++
			return lot, nil
		}
		if !errors.Is(err, ErrFenced) {
			return lot, err
		}
		stored, version, readErr := s.lotRow(ctx, id, lot.ID)
		switch {
		case readErr != nil:
			return lot, errors.Join(ErrUnknown, readErr)
		case stored == lot.Lot:
			lot.Version = version
			return lot, nil
		case stored.Session != lot.Session || stored.Claim != lot.Claim || stored.State != LotClaimed:
			return lot, err
		}
		lot.Version = version
	}
	return lot, ErrUnknown
}

func (s *Store) lotRow(ctx context.Context, id ID, lot LotID) (Lot, tablestore.Version, error) {
	var stored Lot
	version, err := s.get(ctx, partitionLot+string(id), string(lot), &stored)
	return stored, version, err
}

// PlacementKey returns the name by which the preferred process for the lot is chosen. It changes with each hop, so that
// the process is chosen anew.
func (l Lot) PlacementKey(id ID) string {
	if l.Hops == 0 {
		return string(id) + string(l.ID)
	}
	return fmt.Sprintf("%s%s/%d", id, l.ID, l.Hops)
}
