package job

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"rhubarbrudder/internal/tablestore"
)

// Complete stores a lot's results and marks the lot as done. ErrFenced means that the claim is lost and nothing was
// committed.
func (s *Store) Complete(ctx context.Context, id ID, lot LotRow, results []Result) error {
	done, err := s.storeResults(ctx, id, lot, results)
	if err != nil {
		return err
	}
	if _, err = s.update(ctx, id, done); err != nil {
		return err
	}
	s.dropProgress(ctx, id, lot.Lot)
	return nil
}

// dropProgress deletes the checkpoint objects of a lot that is done. If that fails, the Sweeper deletes them with the
// job.
func (s *Store) dropProgress(ctx context.Context, id ID, lot Lot) {
	_ = s.objects.Delete(ctx, liveCheckpoint(id, lot))
	if lot.Checkpoint != "" {
		_ = s.objects.Delete(ctx, lot.Checkpoint)
	}
}

// Split stores a lot's results and marks it as done. In the same transaction it makes the rest of the items a new lot,
// the remainder, which it returns. The remainder is claimed by the same session if keep is set, and free otherwise.
func (s *Store) Split(ctx context.Context, id ID, lot LotRow, results []Result, rest Checkpoint, keep bool) (LotRow, error) {
	done, err := s.storeResults(ctx, id, lot, results)
	if err != nil {
		return LotRow{}, err
	}
	remainder := LotRow{
		Lot: Lot{
			ID:        RemainderLot(lot.ID),
			State:     LotFree,
			Session:   lot.Session,
			Claim:     1,
			Remainder: lot.Remainder + 1,
			Input:     lot.Input,
		},
	}
	if keep {
		remainder.State = LotClaimed
	}
	remainder.Checkpoint, err = s.putProgress(ctx, id, lot.Lot, "remainder", rest)
	if err != nil {
		return LotRow{}, err
	}
	write, err := put(partitionLot+string(id), string(remainder.ID), 0, remainder.Lot)
	if err != nil {
		return LotRow{}, err
	}
	if _, err = s.update(ctx, id, done, write); err != nil {
		return LotRow{}, err
	}
	s.dropProgress(ctx, id, lot.Lot)
	remainder.Version = 1
	return remainder, nil
}

// uniqueKind returns an object name suffix that is unique to one attempt of a write. An attempt whose outcome is
// unknown may have been committed, and a later one may store other results, so the two must not share an object.
func uniqueKind(kind string) string {
	return kind + "-" + uuid.NewString()
}

// storeResults stores a lot's results as objects and returns the lot marked as done. The lot's row is not written yet.
func (s *Store) storeResults(ctx context.Context, id ID, lot LotRow, results []Result) (LotRow, error) {
	var output, failed bytes.Buffer
	for _, result := range results {
		into := &output
		lot.Counts.Completed++
		if result.Failed() {
			into = &failed
			lot.Counts.Completed--
			lot.Counts.Failed++
		}
		line, err := json.Marshal(result)
		if err != nil {
			return lot, oops.In("job").Wrap(err)
		}
		into.Write(line)
		into.WriteByte('\n')
	}
	var err error
	lot.Results, err = s.putResults(ctx, id, lot, "output", output.Bytes())
	if err != nil {
		return lot, err
	}
	lot.Errors, err = s.putResults(ctx, id, lot, "error", failed.Bytes())
	lot.State = LotDone
	return lot, err
}

func (s *Store) putResults(ctx context.Context, id ID, lot LotRow, kind string, data []byte) (name tablestore.ObjectName, err error) {
	if len(data) == 0 {
		return "", nil
	}
	name = ResultObject(id, lot.ID, lot.Session, lot.Claim, uniqueKind(kind))
	return name, putObject(ctx, s.objects, name, data)
}

// Finish ends a job if all its lots are done, or if it was cancelled and no lot may have results that are not stored
// yet. It reports whether the job has ended.
func (s *Store) Finish(ctx context.Context, id ID) (bool, error) {
	job, version, err := s.jobRow(ctx, id)
	if err != nil {
		return false, err
	}
	if job.State.Ended() {
		return true, nil
	}
	lots, err := s.Lots(ctx, id)
	if err != nil {
		return false, err
	}
	tally := TallyOf(lots)
	switch {
	case !tally.IsJobDone(job.Lots, len(lots), job.State == StateCancelling):
		return false, nil
	case job.State == StateCancelling:
		job.State = StateCancelled
	default:
		job.State = StateCompleted
	}
	job.Counts = tally.Counts
	job.Ended = time.Now().UTC()
	err = s.commitState(ctx, job, version)
	if errors.Is(err, ErrFenced) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	s.onEnded(job)
	return true, nil
}

// Tally is a summary of a job's lots.
type Tally struct {
	Counts Counts
	// Done counts the lots whose results are stored, and Input the lots of the input that have rows.
	Done  int
	Input int
	// MayHaveUnstoredResults reports whether a lot may have results that are not stored yet.
	MayHaveUnstoredResults bool
}

// TallyOf returns the summary of the lots.
func TallyOf(lots []LotRow) Tally {
	var tally Tally
	for _, lot := range lots {
		if lot.Remainder == 0 {
			tally.Input++
		}
		tally.MayHaveUnstoredResults = tally.MayHaveUnstoredResults || lot.MayHaveUnstoredResults()
		if lot.State != LotDone {
			continue
		}
		tally.Done++
		tally.Counts.Completed += lot.Counts.Completed
		tally.Counts.Failed += lot.Counts.Failed
	}
	return tally
}

// MayHaveUnstoredResults reports whether the lot may have results that are not stored yet.
func (l Lot) MayHaveUnstoredResults() bool {
	return l.State == LotClaimed || l.State == LotFree && l.Checkpoint != ""
}

// IsJobDone reports whether a job has nothing left to do. input is the number of lots of its input, and rows is the
// number of its lots that have a row, remainders included.
func (t Tally) IsJobDone(input, rows int, cancelled bool) bool {
	if cancelled {
		return !t.MayHaveUnstoredResults
	}
	return t.Done == rows && t.Input == input
}
