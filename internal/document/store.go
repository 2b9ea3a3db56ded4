package document

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/samber/oops"

	"rhubarbrudder/internal/tablestore"
)

// Table is the part of the table service that the store uses.
type Table interface {
	Get(ctx context.Context, key tablestore.Key) (tablestore.Row, error)
	Page(ctx context.Context, partition, after string, limit int) ([]tablestore.Row, error)
	Commit(ctx context.Context, txn tablestore.Txn) error
}

// Objects is the part of the object store that the store uses.
type Objects interface {
	Get(ctx context.Context, name tablestore.ObjectName) ([]byte, error)
	Put(ctx context.Context, name tablestore.ObjectName, data []byte) error
	Delete(ctx context.Context, name tablestore.ObjectName) error
}

// Store reads and writes the document in the platform's table service and object store.
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

// Head is the data of the row that every change updates, which puts all changes in one order.
type Head struct {
	Revision Revision
	Versions map[SectionName]SectionVersion
}

const (
	partitionDocument = "Document"
	partitionChange   = "DocumentChange"
	partitionChangeID = "DocumentChangeID"
	sortHead          = "Head"
	sortSnapshot      = "Snapshot"
)

// changesPerPage is the number of changes read at a time.
const changesPerPage = 200

// Head returns the newest revision and the version of its row; both are zero if there is none.
func (s *Store) Head(ctx context.Context) (Head, tablestore.Version, error) {
	row, err := s.table.Get(ctx, tablestore.Key{
		Partition: partitionDocument,
		Sort:      sortHead,
	})
	if errors.Is(err, tablestore.ErrNotFound) {
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

// Changes returns up to limit changes after the revision, in order.
func (s *Store) Changes(ctx context.Context, after Revision, limit int) ([]Change, error) {
	rows, err := s.table.Page(ctx, partitionChange, revisionSortKey(after), limit)
	if err != nil {
		return nil, storeError(err)
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		change, err := s.change(ctx, row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// changeRow is the data of the row of a change. A large change is in an object of its own.
type changeRow struct {
	Change *Change               `json:",omitempty"`
	Object tablestore.ObjectName `json:",omitempty"`
}

func (s *Store) change(ctx context.Context, row tablestore.Row) (Change, error) {
	var stored changeRow
	if err := json.Unmarshal(row.Data, &stored); err != nil {
		return Change{}, oops.In("document").Wrap(err)
	}
	if stored.Change != nil {
		return *stored.Change, nil
	}
	data, err := s.objects.Get(ctx, stored.Object)
	if err != nil {
		return Change{}, storeError(err)
	}
	var change Change
	if err := json.Unmarshal(data, &change); err != nil {
		return Change{}, oops.In("document").Wrap(err)
	}
	return change, nil
}

func revisionSortKey(revision Revision) string {
	return fmt.Sprintf("%020d", revision)
}

func storeError(err error) error {
	switch {
	case errors.Is(err, tablestore.ErrUnknown):
		return errors.Join(ErrUnknown, err)
	case errors.Is(err, tablestore.ErrUnavailable):
		return errors.Join(ErrUnavailable, err)
	}
	return err
}
