package document

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"rhubarbrudder/internal/tablestore"
)

const (
	// acceptAttempts limits the attempts to commit a change despite concurrent changes and lost answers.
	acceptAttempts = 60
	// minBackoff and maxBackoff bound the random backoff between attempts.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// changeIDRetention is how long a repeated request for an accepted change is recognised.
	changeIDRetention = 30 * 24 * time.Hour
)

// Accept is AcceptOn for a document without a view.
func (s *Store) Accept(ctx context.Context, doc Document, change Change) (Document, Change, error) {
	view, accepted, err := s.AcceptOn(ctx, NewView(doc), change)
	return view.Document(), accepted, err
}

// AcceptOn validates the change against the newest document and commits it. The returned view includes the change.
// A change whose id has been accepted before is not applied again. If a change of another section is committed first,
// AcceptOn tries again; if one of the same section is, it returns ErrStale. It returns ErrUnknown only if the change
// may have been accepted.
func (s *Store) AcceptOn(ctx context.Context, view *View, change Change) (*View, Change, error) {
	if !slices.Contains(SectionNames(), change.Section) {
		return view, change, ErrInvalid
	}
	for attempt := range acceptAttempts {
		if err := backoff(ctx, attempt); err != nil {
			return view, change, errors.Join(ErrUnavailable, err)
		}
		var accepted Change
		var err error
		view, accepted, err = s.attempt(ctx, view, change)
		if err == nil || !errors.Is(err, tablestore.ErrConflict) {
			return view, accepted, err
		}
	}
	return view, change, ErrContended
}

// backoff waits for a random time whose upper bound grows with the attempt. It does not wait before the first attempt.
func backoff(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return ctx.Err()
	}
	limit := min(maxBackoff, minBackoff<<min(attempt, 10))
	timer := time.NewTimer(minBackoff + rand.N(limit))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// attempt makes one attempt to commit the change on top of the newest revision. It returns tablestore.ErrConflict if
// another change was committed first.
func (s *Store) attempt(ctx context.Context, view *View, change Change) (*View, Change, error) {
	head, version, err := s.Head(ctx)
	if err != nil {
		return view, change, unavailable(err)
	}
	view, err = s.CatchUp(ctx, view, head.Revision)
	if err != nil {
		return view, change, unavailable(err)
	}
	if view.Revision > head.Revision {
		// The read was stale.
		return view, change, tablestore.ErrConflict
	}
	next, err := prepare(view, &change)
	if err != nil {
		return s.earlierAcceptance(ctx, view, change, err)
	}
	err = s.commitWithRetry(ctx, next, version, change)
	if errors.Is(err, tablestore.ErrConflict) {
		return s.earlierAcceptance(ctx, view, change, err)
	}
	if err != nil {
		return view, change, storeError(err)
	}
	return next, change, nil
}

// unavailable marks the error of a read that precedes the write with ErrUnavailable: nothing was accepted.
func unavailable(err error) error {
	if errors.Is(err, ErrUnavailable) {
		return err
	}
	return errors.Join(ErrUnavailable, err)
}

// earlierAcceptance returns the earlier acceptance of the change's id, if there is one, and the reason for the
// refusal otherwise.
func (s *Store) earlierAcceptance(ctx context.Context, view *View, change Change, reason error) (*View, Change, error) {
	accepted, found, err := s.changeByID(ctx, change.ID)
	if err != nil {
		// Whether the id was accepted by an earlier request is not known.
		return view, change, errors.Join(ErrUnknown, err)
	}
	if !found {
		return view, change, reason
	}
	if accepted.Request != change.Request {
		return view, change, ErrReused
	}
	view, err = s.CatchUp(ctx, view, accepted.Revision)
	if err != nil {
		return view, accepted, nil
	}
	return view, accepted, nil
}

// prepare assigns the next revision to the change and returns the validated view that includes it.
func prepare(view *View, change *Change) (*View, error) {
	if view.doc.Versions[change.Section] != change.Base {
		return view, ErrStale
	}
	change.Revision = view.Revision + 1
	change.Accepted = time.Now().UTC()
	change.Before = view.previousEntries(*change)
	next, faults, err := view.With(*change)
	if err != nil {
		return view, err
	}
	if len(faults) > 0 {
		return view, errors.Join(ErrInvalid, faults)
	}
	return next, nil
}

// previousEntries returns the current values of the entries that the change sets or removes.
func (v *View) previousEntries(change Change) map[EntryName]json.RawMessage {
	previous := map[EntryName]json.RawMessage{}
	for name := range change.names() {
		if raw := v.raw(change.Section, name); raw != nil {
			previous[name] = raw
		}
	}
	return previous
}

// commitWithRetry commits the change and, if the answer is lost, sends the same transaction again. Because of the
// head's row version, the transaction applies at most once. A conflict means that it can no longer apply, so that a
// read of the change's id then tells whether it has been applied.
func (s *Store) commitWithRetry(ctx context.Context, next *View, version tablestore.Version, change Change) error {
	txn, err := s.transaction(ctx, next, version, change)
	if err != nil {
		return err
	}
	outcomeUnknown := false
	for attempt := range acceptAttempts {
		if waitErr := backoff(ctx, attempt); waitErr != nil && outcomeUnknown {
			return errors.Join(tablestore.ErrUnknown, waitErr)
		} else if waitErr != nil {
			// Nothing was sent.
			return errors.Join(tablestore.ErrUnavailable, waitErr)
		}
		err = s.table.Commit(ctx, txn)
		if err == nil || errors.Is(err, tablestore.ErrConflict) {
			return err
		}
		if errors.Is(err, tablestore.ErrUnknown) {
			outcomeUnknown = true
			continue
		}
		if !outcomeUnknown {
			return err
		}
	}
	return errors.Join(tablestore.ErrUnknown, err)
}

// idRow is the row that records a change's id as used.
type idRow struct {
	Revision Revision
}

func (s *Store) changeByID(ctx context.Context, id string) (Change, bool, error) {
	row, err := s.table.Get(ctx, tablestore.Key{
		Partition: partitionChangeID,
		Sort:      id,
	})
	if errors.Is(err, tablestore.ErrNotFound) {
		return Change{}, false, nil
	}
	if err != nil {
		return Change{}, false, storeError(err)
	}
	var used idRow
	if err := json.Unmarshal(row.Data, &used); err != nil {
		return Change{}, false, oops.In("document").Wrap(err)
	}
	row, err = s.table.Get(ctx, tablestore.Key{
		Partition: partitionChange,
		Sort:      revisionSortKey(used.Revision),
	})
	if err != nil {
		return Change{}, false, storeError(err)
	}
	change, err := s.change(ctx, row)
	return change, err == nil, err
}

// transaction returns the transaction that writes the head, the change and its id.
func (s *Store) transaction(ctx context.Context, next *View, version tablestore.Version, change Change) (tablestore.Txn, error) {
	body, err := s.changeBody(ctx, change)
	if err != nil {
		return tablestore.Txn{}, err
	}
	head, err := json.Marshal(Head{
		Revision: next.Revision,
		Versions: next.doc.Versions,
	})
	if err != nil {
		return tablestore.Txn{}, oops.In("document").Wrap(err)
	}
	id, err := json.Marshal(idRow{
		Revision: change.Revision,
	})
	if err != nil {
		return tablestore.Txn{}, oops.In("document").Wrap(err)
	}
	return tablestore.Txn{
		Class: tablestore.ClassCommit,
		Writes: []tablestore.Write{
			{
				Key: tablestore.Key{
					Partition: partitionDocument,
					Sort:      sortHead,
				},
				Version: version,
				Data:    head,
			},
			{
				Key: tablestore.Key{
					Partition: partitionChange,
					Sort:      revisionSortKey(change.Revision),
				},
				Data: body,
			},
			{
				Key: tablestore.Key{
					Partition: partitionChangeID,
					Sort:      change.ID,
				},
				Data:    id,
				Expires: time.Now().Add(changeIDRetention),
			},
		},
	}, nil
}

// changeBody returns the data of the change's row. A change that is too large for a row is stored as an object first,
// and the row refers to the object.
func (s *Store) changeBody(ctx context.Context, change Change) ([]byte, error) {
	body, err := json.Marshal(changeRow{
		Change: &change,
	})
	if err != nil {
		return nil, oops.In("document").Wrap(err)
	}
	if len(body) <= tablestore.MaxRowBytes {
		return body, nil
	}
	data, err := json.Marshal(change)
	if err != nil {
		return nil, oops.In("document").Wrap(err)
	}
	name := tablestore.ObjectName("document/change/" + uuid.NewString())
	if err := s.objects.Put(ctx, name, data); err != nil {
		return nil, errors.Join(tablestore.ErrUnavailable, err)
	}
	return json.Marshal(changeRow{
		Object: name,
	})
}
