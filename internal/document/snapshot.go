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

// snapshotRow says where the latest whole document is.
type snapshotRow struct {
	Revision Revision
	Object   tablestore.ObjectName
}

const (
	// snapshotEvery is how many revisions lie between snapshots.
	snapshotEvery = 200
	// changesKept is how long changes before a snapshot stay readable as history.
	changesKept = 30 * 24 * time.Hour
	// sweepBatch is how many old changes one snapshot removes at most; it is above snapshotEvery.
	sweepBatch = 400
)

// Load returns the newest view: the latest snapshot and the changes after it.
func (s *Store) Load(ctx context.Context) (*View, error) {
	head, _, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	return s.CatchUp(ctx, NewView(New()), head.Revision)
}

// CatchUp returns the view at the revision or a later one.
func (s *Store) CatchUp(ctx context.Context, view *View, to Revision) (*View, error) {
	if view.Revision == 0 && to > snapshotEvery {
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

// fromSnapshot catches up from the latest snapshot, whose older changes may have been swept.
func (s *Store) fromSnapshot(ctx context.Context, view *View, to Revision) (*View, error) {
	doc, err := s.snapshot(ctx)
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

// snapshotReads is how often a snapshot is looked for that is replaced while it is read.
const snapshotReads = 3

func (s *Store) snapshot(ctx context.Context) (Document, error) {
	var err error
	for range snapshotReads {
		var at snapshotRow
		at, _, err = s.snapshotAt(ctx)
		if err != nil || at.Revision == 0 {
			return New(), err
		}
		var data []byte
		data, err = s.objects.Get(ctx, at.Object)
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

func (s *Store) snapshotAt(ctx context.Context) (snapshotRow, tablestore.Version, error) {
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
	var at snapshotRow
	if err := json.Unmarshal(row.Data, &at); err != nil {
		return snapshotRow{}, 0, oops.In("document").Wrap(err)
	}
	return at, row.Version, nil
}

// SnapshotDue reports whether the acceptance of the revision is the turn to write a snapshot.
func SnapshotDue(revision Revision) bool {
	return revision%snapshotEvery == 0
}

// Snapshot stores the whole document, unless a later one is stored, and then removes changes older than their retention.
func (s *Store) Snapshot(ctx context.Context, doc Document) error {
	before, version, err := s.snapshotAt(ctx)
	if err != nil || before.Revision >= doc.Revision {
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
		// The row may point to the object: it stays.
		return storeError(err)
	}
	if before.Object != "" {
		_ = s.objects.Delete(ctx, before.Object)
	}
	return s.sweep(ctx, doc.Revision, time.Now().Add(-changesKept))
}

// sweep removes changes up to the revision of a snapshot that were accepted before the time.
func (s *Store) sweep(ctx context.Context, upTo Revision, before time.Time) error {
	rows, err := s.table.Page(ctx, partitionChange, "", sweepBatch)
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
		some := writes[:min(len(writes), tablestore.MaxWrites)]
		writes = writes[len(some):]
		err := s.table.Commit(ctx, tablestore.Txn{
			Class:  tablestore.ClassReport,
			Writes: some,
		})
		if err != nil {
			return storeError(err)
		}
	}
	return nil
}
