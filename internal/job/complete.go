package job

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/platform"
)

// Complete stores a lot's results and marks it as done; ErrFenced means that the claim is lost and nothing was stored.
func (s *Store) Complete(ctx context.Context, id ID, lot LotRow, results []Result) error {
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
			return oops.In("job").Wrap(err)
		}
		into.Write(line)
		into.WriteByte('\n')
	}
	var err error
	lot.Results, err = s.putResults(ctx, id, lot, "output", output.Bytes())
	if err != nil {
		return err
	}
	lot.Errors, err = s.putResults(ctx, id, lot, "error", failed.Bytes())
	if err != nil {
		return err
	}
	lot.State = LotDone
	_, err = s.update(ctx, id, lot)
	return err
}

func (s *Store) putResults(ctx context.Context, id ID, lot LotRow, kind string, data []byte) (name platform.ObjectName, err error) {
	if len(data) == 0 {
		return "", nil
	}
	name = ResultObject(id, lot.ID, lot.Session, lot.Claim, kind)
	return name, putObject(ctx, s.objects, name, data)
}

// Finish ends a job all of whose lots are done, or that was cancelled and of which no lot is held.
// It reports whether the job has ended.
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
	counts, done, held := Tally(lots)
	switch {
	case job.State == StateRunning && done == len(lots) && len(lots) >= job.Lots:
		job.State = StateCompleted
	case job.State == StateCancelling && !held:
		job.State = StateCancelled
	default:
		return false, nil
	}
	job.Counts = counts
	job.Ended = time.Now().UTC()
	err = s.commitState(ctx, job, version)
	if errors.Is(err, ErrFenced) {
		return false, nil
	}
	return err == nil, err
}

// Tally returns the counts of the lots, how many are done, and whether any is held.
func Tally(lots []LotRow) (counts Counts, done int, held bool) {
	for _, lot := range lots {
		held = held || lot.State == LotClaimed
		if lot.State != LotDone {
			continue
		}
		done++
		counts.Completed += lot.Counts.Completed
		counts.Failed += lot.Counts.Failed
	}
	return counts, done, held
}
