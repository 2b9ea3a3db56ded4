package document

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"rhubarbrudder/internal/tablestore"
)

// snapshotRow is the row that refers to the latest snapshot, an object that holds the whole document.
type snapshotRow struct {
	Revision Revision
	Object   tablestore.ObjectName
}

const (
	// snapshotInterval is the number of revisions between snapshots.
	snapshotInterval = 200
	// changeRetention is how long changes before a snapshot stay readable as history.
	changeRetention = 30 * 24 * time.Hour
	// sweepLimit is the maximum number of old changes that one snapshot removes. It exceeds snapshotInterval, so that
	// old changes do not accumulate.
	sweepLimit = 400
)

// Load returns the newest view, built from the latest snapshot and the changes after it.
func (s *Store) Load(ctx context.Context) (*View, error) {
	head, _, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	return s.CatchUp(ctx, NewView(New()), head.Revision)
}

// CatchUp returns the view brought forward to the revision or a later one.
func (s *Store) CatchUp(ctx context.Context, view *View, to Revision) (*View, error) {
	if view.Revision == 0 && to > snapshotInterval {
		return s.fromSnapshot(ctx, view, to)
	}
	for view.Revision < to {
		changes, err := s.Changes(ctx, view.Revision, changesPerPage)
		if err != nil {
			return view, err
		}
		next, _, err := view.With(changes...)
		if errors.Is(err, ErrGap) {
			return s.fromSnapshot(ctx, view, to)
		}
		if err != nil || len(changes) == 0 {
			return view, errors.Join(ErrUnavailable, ErrGap, err)
		}
		view = next
	}
	return view, nil
}

// fromSnapshot catches up from the latest snapshot, for views so old that the changes after them may have been swept.
func (s *Store) fromSnapshot(ctx context.Context, view *View, to Revision) (*View, error) {
	doc, err := s.readSnapshot(ctx)
	if err != nil {
		return view, err
	}
	if doc.Revision > view.Revision {
		view = NewView(doc)
	}
	for view.Revision < to {
		changes, err := s.Changes(ctx, view.Revision, changesPerPage)
		if err != nil {
			return view, err
		}
		next, _, err := view.With(changes...)
		if err != nil || len(changes) == 0 {
			return view, errors.Join(ErrUnavailable, ErrGap, err)
		}
		view = next
	}
	return view, nil
}

// snapshotAttempts limits the attempts to read a snapshot that is replaced, and its object deleted, during the read.
const snapshotAttempts = 3

func (s *Store) readSnapshot(ctx context.Context) (Document, error) {
	var err error
	for range snapshotAttempts {
		var latest snapshotRow
		latest, _, err = s.latestSnapshot(ctx)
		if err != nil || latest.Revision == 0 {
			return New(), err
		}
		var data []byte
		data, err = s.objects.Get(ctx, latest.Object)
		if errors.Is(err, tablestore.ErrNotFound) {
			continue
		}
		if err != nil {
			return Document{}, storeError(err)
		}
		var doc Document
		if err := json.Unmarshal(data, &doc); err != nil {
			return Document{}, oops.In("document").Wrap(err)
		}
		return doc, nil
	}
	return Document{}, errors.Join(ErrUnavailable, err)
}

func (s *Store) latestSnapshot(ctx context.Context) (snapshotRow, tablestore.Version, error) {
	row, err := s.table.Get(ctx, tablestore.Key{
		Partition: partitionDocument,
		Sort:      sortSnapshot,
	})
	if errors.Is(err, tablestore.ErrNotFound) {
		return snapshotRow{}, 0, nil
	}
	if err != nil {
		return snapshotRow{}, 0, storeError(err)
	}
	var latest snapshotRow
	if err := json.Unmarshal(row.Data, &latest); err != nil {
		return snapshotRow{}, 0, oops.In("document").Wrap(err)
	}
	return latest, row.Version, nil
}

// SnapshotDue reports whether a snapshot is due when the revision is accepted.
func SnapshotDue(revision Revision) bool {
	return revision%snapshotInterval == 0
}

// Snapshot stores a snapshot of the document, unless there is one of the same or a later revision, and then removes
// changes that are older than changeRetention.
func (s *Store) Snapshot(ctx context.Context, doc Document) error {
	previous, version, err := s.latestSnapshot(ctx)
	if err != nil || previous.Revision >= doc.Revision {
		return err
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return oops.In("document").Wrap(err)
	}
	name := tablestore.ObjectName(fmt.Sprintf("document/snapshot/%020d-%s", doc.Revision, uuid.NewString()))
	if err := s.objects.Put(ctx, name, data); err != nil {
		return storeError(err)
	}
	row, err := json.Marshal(snapshotRow{
		Revision: doc.Revision,
		Object:   name,
	})
	if err != nil {
		return oops.In("document").Wrap(err)
	}
	err = s.table.Commit(ctx, tablestore.Txn{
		Class: tablestore.ClassReport,
		Writes: []tablestore.Write{
			{
				Key: tablestore.Key{
					Partition: partitionDocument,
					Sort:      sortSnapshot,
				},
				Version: version,
				Data:    row,
			},
		},
	})
	if err != nil {
		// The commit may have been applied and the row may refer to the object, so the object is not deleted.
		return storeError(err)
	}
	if previous.Object != "" {
		_ = s.objects.Delete(ctx, previous.Object)
	}
	return s.sweep(ctx, doc.Revision, time.Now().Add(-changeRetention))
}

// sweep removes the changes below the given revision, that of a snapshot, that were accepted before the given time.
func (s *Store) sweep(ctx context.Context, upTo Revision, before time.Time) error {
	rows, err := s.table.Page(ctx, partitionChange, "", sweepLimit)
	if err != nil {
		return storeError(err)
	}
	var writes []tablestore.Write
	for _, row := range rows {
		change, err := s.change(ctx, row)
		if err != nil {
			return err
		}
		if change.Revision >= upTo || !change.Accepted.Before(before) {
			break
		}
		writes = append(writes, tablestore.Write{
			Key:     row.Key,
			Action:  tablestore.ActionDelete,
			Version: row.Version,
		})
	}
	for len(writes) > 0 {
		chunk := writes[:min(len(writes), tablestore.MaxWrites)]
		writes = writes[len(chunk):]
		err := s.table.Commit(ctx, tablestore.Txn{
			Class:  tablestore.ClassReport,
			Writes: chunk,
		})
		if err != nil {
			return storeError(err)
		}
	}
	return nil
}
