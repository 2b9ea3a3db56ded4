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
	// acceptAttempts bounds how often a change is tried against other changes and lost answers.
	acceptAttempts = 60
	// shortestPause and longestPause bound the random pause between attempts.
	shortestPause = 2 * time.Millisecond
	longestPause  = 250 * time.Millisecond
	// changeIDKept is how long a resend of an accepted change is known.
	changeIDKept = 30 * 24 * time.Hour
)

// Accept is AcceptOn for a document without a view.
func (s *Store) Accept(ctx context.Context, doc Document, change Change) (Document, Change, error) {
	view, accepted, err := s.AcceptOn(ctx, NewView(doc), change)
	return view.Document(), accepted, err
}

// AcceptOn checks the change against the newest document and commits it. The returned view includes it.
// A change whose id was accepted before is not applied again. Changes of other sections that come first make it
// try again; one of the same section makes it ErrStale. ErrUnknown is returned only if the change may be accepted.
func (s *Store) AcceptOn(ctx context.Context, view *View, change Change) (*View, Change, error) {
	if !slices.Contains(SectionNames(), change.Section) {
		return view, change, ErrInvalid
	}
	for attempt := range acceptAttempts {
		if err := pause(ctx, attempt); err != nil {
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

// pause waits a random time that grows with the attempt.
func pause(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return ctx.Err()
	}
	longest := min(longestPause, shortestPause<<min(attempt, 10))
	timer := time.NewTimer(shortestPause + rand.N(longest))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// attempt commits the change after the newest revision; tablestore.ErrConflict means that another change came first.
func (s *Store) attempt(ctx context.Context, view *View, change Change) (*View, Change, error) {
	head, version, err := s.Head(ctx)
	if err != nil {
		return view, change, notAccepted(err)
	}
	view, err = s.CatchUp(ctx, view, head.Revision)
	if err != nil {
		return view, change, notAccepted(err)
	}
	if view.Revision > head.Revision {
		// The read was stale.
		return view, change, tablestore.ErrConflict
	}
	next, err := prepare(view, &change)
	if err != nil {
		return s.refused(ctx, view, change, err)
	}
	err = s.commitSurely(ctx, next, version, change)
	if errors.Is(err, tablestore.ErrConflict) {
		return s.refused(ctx, view, change, err)
	}
	if err != nil {
		return view, change, storeError(err)
	}
	return next, change, nil
}

// notAccepted turns the error of a read before anything was written.
func notAccepted(err error) error {
	if errors.Is(err, ErrUnavailable) {
		return err
	}
	return errors.Join(ErrUnavailable, err)
}

// refused returns the earlier acceptance of the change's id, if there is one, or the reason for the refusal.
func (s *Store) refused(ctx context.Context, view *View, change Change, reason error) (*View, Change, error) {
	accepted, found, err := s.byID(ctx, change.ID)
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

// prepare gives the change its revision and returns the view with it, checked.
func prepare(view *View, change *Change) (*View, error) {
	if view.doc.Versions[change.Section] != change.Base {
		return view, ErrStale
	}
	change.Revision = view.Revision + 1
	change.Accepted = time.Now().UTC()
	change.Before = view.before(*change)
	next, faults, err := view.With(*change)
	if err != nil {
		return view, err
	}
	if len(faults) > 0 {
		return view, errors.Join(ErrInvalid, faults)
	}
	return next, nil
}

// before returns the entries that the change sets or removes, as they are.
func (v *View) before(change Change) map[EntryName]json.RawMessage {
	before := map[EntryName]json.RawMessage{}
	for name := range change.names() {
		if raw := v.raw(change.Section, name); raw != nil {
			before[name] = raw
		}
	}
	return before
}

// commitSurely commits and, when the answer is lost, sends the same transaction again: the head's version lets it
// apply once at most, and a conflict says that it never will any more, so that the id can be read.
func (s *Store) commitSurely(ctx context.Context, next *View, version tablestore.Version, change Change) error {
	txn, err := s.transaction(ctx, next, version, change)
	if err != nil {
		return err
	}
	unknown := false
	for attempt := range acceptAttempts {
		if wait := pause(ctx, attempt); wait != nil {
			return errors.Join(tablestore.ErrUnknown, wait)
		}
		err = s.table.Commit(ctx, txn)
		if err == nil || errors.Is(err, tablestore.ErrConflict) {
			return err
		}
		if errors.Is(err, tablestore.ErrUnknown) {
			unknown = true
			continue
		}
		if !unknown {
			return err
		}
	}
	return errors.Join(tablestore.ErrUnknown, err)
}

// idRow is the row that tells a change's id from an unused one.
type idRow struct {
	Revision Revision
}

func (s *Store) byID(ctx context.Context, id string) (Change, bool, error) {
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
	var known idRow
	if err := json.Unmarshal(row.Data, &known); err != nil {
		return Change{}, false, oops.In("document").Wrap(err)
	}
	row, err = s.table.Get(ctx, tablestore.Key{
		Partition: partitionChange,
		Sort:      revisionSort(known.Revision),
	})
	if err != nil {
		return Change{}, false, storeError(err)
	}
	change, err := s.change(ctx, row)
	return change, err == nil, err
}

// transaction writes the head, the change and its id together.
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
					Sort:      revisionSort(change.Revision),
				},
				Data: body,
			},
			{
				Key: tablestore.Key{
					Partition: partitionChangeID,
					Sort:      change.ID,
				},
				Data:    id,
				Expires: time.Now().Add(changeIDKept),
			},
		},
	}, nil
}

// changeBody returns the change's row; a change too large for a row goes into an object first.
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
