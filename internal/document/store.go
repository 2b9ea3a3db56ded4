package document

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/platform"
)

// Table is what the store needs of the table service.
type Table interface {
	Get(ctx context.Context, key platform.Key) (platform.Row, error)
	Page(ctx context.Context, partition, after string, limit int) ([]platform.Row, error)
	Commit(ctx context.Context, txn platform.Txn) error
}

// Objects is what the store needs of the object store.
type Objects interface {
	Get(ctx context.Context, name platform.ObjectName) ([]byte, error)
	Put(ctx context.Context, name platform.ObjectName, data []byte) error
}

// Store keeps the document in the platform.
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

// Head is the row that orders all changes.
type Head struct {
	Revision Revision
	Versions map[SectionName]SectionVersion
}

// snapshotRow says where the latest whole document is.
type snapshotRow struct {
	Revision Revision
	Object   platform.ObjectName
}

const (
	partitionDocument = "Document"
	partitionChange   = "DocumentChange"
	partitionChangeID = "DocumentChangeID"
	sortHead          = "Head"
	sortSnapshot      = "Snapshot"
)

// changesPerPage is how many changes are read at a time.
const changesPerPage = 200

// Head returns the newest revision and its row version, zero if there is none.
func (s *Store) Head(ctx context.Context) (Head, platform.Version, error) {
	row, err := s.table.Get(ctx, platform.Key{
		Partition: partitionDocument,
		Sort:      sortHead,
	})
	if errors.Is(err, platform.ErrNotFound) {
		return Head{
			Versions: map[SectionName]SectionVersion{},
		}, 0, nil
	}
	if err != nil {
		return Head{}, 0, storeError(err)
	}
	var head Head
	if err := json.Unmarshal(row.Data, &head); err != nil {
		return Head{}, 0, oops.In("document").Wrap(err)
	}
	return head, row.Version, nil
}

// Load returns the newest document: the latest snapshot and the changes after it.
func (s *Store) Load(ctx context.Context) (Document, error) {
	doc, err := s.snapshot(ctx)
	if err != nil {
		return Document{}, err
	}
	return s.CatchUp(ctx, doc)
}

func (s *Store) snapshot(ctx context.Context) (Document, error) {
	row, err := s.table.Get(ctx, platform.Key{
		Partition: partitionDocument,
		Sort:      sortSnapshot,
	})
	if errors.Is(err, platform.ErrNotFound) {
		return New(), nil
	}
	if err != nil {
		return Document{}, storeError(err)
	}
	var at snapshotRow
	if err := json.Unmarshal(row.Data, &at); err != nil {
		return Document{}, oops.In("document").Wrap(err)
	}
	data, err := s.objects.Get(ctx, at.Object)
	if err != nil {
		return Document{}, storeError(err)
	}
	var doc Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return Document{}, oops.In("document").Wrap(err)
	}
	return doc, nil
}

// CatchUp returns the document with every change accepted since its revision.
func (s *Store) CatchUp(ctx context.Context, doc Document) (Document, error) {
	for {
		changes, err := s.Changes(ctx, doc.Revision, changesPerPage)
		if err != nil {
			return doc, err
		}
		for _, change := range changes {
			doc, err = doc.Apply(change)
			if err != nil {
				return doc, err
			}
		}
		if len(changes) < changesPerPage {
			return doc, nil
		}
	}
}

// Changes returns up to limit changes after the revision, in order.
func (s *Store) Changes(ctx context.Context, after Revision, limit int) ([]Change, error) {
	rows, err := s.table.Page(ctx, partitionChange, revisionSort(after), limit)
	if err != nil {
		return nil, storeError(err)
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		var change Change
		if err := json.Unmarshal(row.Data, &change); err != nil {
			return nil, oops.In("document").Wrap(err)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func revisionSort(revision Revision) string {
	return fmt.Sprintf("%020d", revision)
}

// Accept checks the change against the newest document and commits it. The returned document includes it.
// A change whose id was accepted before is not applied again.
func (s *Store) Accept(ctx context.Context, doc Document, change Change) (Document, Change, error) {
	for {
		head, version, err := s.Head(ctx)
		if err != nil {
			return doc, change, err
		}
		doc, err = s.CatchUp(ctx, doc)
		if err != nil {
			return doc, change, err
		}
		accepted, found, err := s.byID(ctx, change.ID)
		if err != nil || found {
			return doc, accepted, err
		}
		if doc.Revision != head.Revision {
			continue
		}
		next, err := prepare(doc, &change)
		if err != nil {
			return doc, change, err
		}
		err = s.commit(ctx, next, version, change)
		if err == nil {
			return next, change, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			continue
		}
		return doc, change, storeError(err)
	}
}

// prepare gives the change its revision and returns the document with it, checked as a whole.
func prepare(doc Document, change *Change) (Document, error) {
	if doc.Versions[change.Section] != change.Base {
		return doc, ErrStale
	}
	change.Revision = doc.Revision + 1
	change.Accepted = time.Now().UTC()
	next, err := doc.Apply(*change)
	if err != nil {
		return doc, err
	}
	if faults := next.Validate(); len(faults) > 0 {
		return doc, errors.Join(ErrInvalid, faults)
	}
	return next, nil
}

func (s *Store) byID(ctx context.Context, id string) (Change, bool, error) {
	row, err := s.table.Get(ctx, platform.Key{
		Partition: partitionChangeID,
		Sort:      id,
	})
	if errors.Is(err, platform.ErrNotFound) {
		return Change{}, false, nil
	}
	if err != nil {
		return Change{}, false, storeError(err)
	}
	var revision Revision
	if err := json.Unmarshal(row.Data, &revision); err != nil {
		return Change{}, false, oops.In("document").Wrap(err)
	}
	changes, err := s.Changes(ctx, revision-1, 1)
	if err != nil || len(changes) == 0 {
		return Change{}, false, errors.Join(ErrUnavailable, err)
	}
	return changes[0], true, nil
}

func (s *Store) commit(ctx context.Context, next Document, version platform.Version, change Change) error {
	head, err := json.Marshal(Head{
		Revision: next.Revision,
		Versions: next.Versions,
	})
	if err != nil {
		return oops.In("document").Wrap(err)
	}
	body, err := json.Marshal(change)
	if err != nil {
		return oops.In("document").Wrap(err)
	}
	revision, err := json.Marshal(change.Revision)
	if err != nil {
		return oops.In("document").Wrap(err)
	}
	return s.table.Commit(ctx, platform.Txn{
		Class: platform.ClassCommit,
		Writes: []platform.Write{
			{
				Key: platform.Key{
					Partition: partitionDocument,
					Sort:      sortHead,
				},
				Version: version,
				Data:    head,
			},
			{
				Key: platform.Key{
					Partition: partitionChange,
					Sort:      revisionSort(change.Revision),
				},
				Data: body,
			},
			{
				Key: platform.Key{
					Partition: partitionChangeID,
					Sort:      change.ID,
				},
				Data: revision,
			},
		},
	})
}

func storeError(err error) error {
	switch {
	case errors.Is(err, platform.ErrUnknown):
		return errors.Join(ErrUnknown, err)
	case errors.Is(err, platform.ErrUnavailable):
		return errors.Join(ErrUnavailable, err)
	}
	return err
}
