package job

import (
	"bytes"
	"context"
	"io"
	"slices"
	"strings"

	"rhubarbrudder/internal/tablestore"
)

// fakePlatform is a table and an object store in memory whose answers are lost as its fate says.
type fakePlatform struct {
	rows    map[tablestore.Key]tablestore.Row
	objects map[tablestore.ObjectName][]byte
	// fate says for the next calls whether they succeed, apply without an answer, get lost, are refused, or come late.
	fate func() int
	// late are writes that take effect after their writer gave up.
	late []func()
}

const (
	fateGood = iota
	fateApplied
	fateLost
	fateRefused
	fateLate
)

// arrive lets a late write take effect.
func (f *fakePlatform) arrive(at int) {
	take := f.late[at]
	f.late = slices.Delete(f.late, at, at+1)
	take()
}

func (f *fakePlatform) Get(_ context.Context, key tablestore.Key) (tablestore.Row, error) {
	row, ok := f.rows[key]
	if !ok {
		return row, tablestore.ErrNotFound
	}
	return row, nil
}

func (f *fakePlatform) Page(ctx context.Context, partition, after string, limit int) ([]tablestore.Row, error) {
	rows, err := f.All(ctx, partition)
	rows = slices.DeleteFunc(rows, func(row tablestore.Row) bool { return row.Key.Sort <= after })
	return rows[:min(limit, len(rows))], err
}

func (f *fakePlatform) All(_ context.Context, partition string) ([]tablestore.Row, error) {
	var rows []tablestore.Row
	for key, row := range f.rows {
		if key.Partition == partition {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	return rows, nil
}

func (f *fakePlatform) Commit(_ context.Context, txn tablestore.Txn) error {
	fate := f.fate()
	switch fate {
	case fateRefused:
		return tablestore.ErrUnavailable
	case fateLost:
		return tablestore.ErrUnknown
	case fateLate:
		f.late = append(f.late, func() { _ = f.apply(txn) })
		return tablestore.ErrUnknown
	}
	err := f.apply(txn)
	if fate == fateApplied {
		return tablestore.ErrUnknown
	}
	return err
}

func (f *fakePlatform) apply(txn tablestore.Txn) error {
	for _, write := range txn.Writes {
		if f.rows[write.Key].Version != write.Version {
			return tablestore.ErrConflict
		}
	}
	for _, write := range txn.Writes {
		switch write.Action {
		case tablestore.ActionPut:
			f.rows[write.Key] = tablestore.Row{
				Key:     write.Key,
				Version: write.Version + 1,
				Data:    write.Data,
			}
		case tablestore.ActionDelete:
			delete(f.rows, write.Key)
		case tablestore.ActionCheck:
		}
	}
	return nil
}

// fakeObjects is the object store of a fake platform.
type fakeObjects struct {
	*fakePlatform
}

func (f fakeObjects) Put(_ context.Context, name tablestore.ObjectName, data []byte) error {
	fate := f.fate()
	switch fate {
	case fateRefused:
		return tablestore.ErrUnavailable
	case fateLost:
		return tablestore.ErrUnknown
	case fateLate:
		f.late = append(f.late, func() { f.objects[name] = bytes.Clone(data) })
		return tablestore.ErrUnknown
	}
	f.objects[name] = bytes.Clone(data)
	if fate == fateApplied {
		return tablestore.ErrUnknown
	}
	return nil
}

func (f fakeObjects) Get(_ context.Context, name tablestore.ObjectName) ([]byte, error) {
	data, ok := f.objects[name]
	if !ok {
		return nil, tablestore.ErrNotFound
	}
	return data, nil
}

func (f fakeObjects) Open(ctx context.Context, name tablestore.ObjectName) (io.ReadCloser, error) {
	data, err := f.Get(ctx, name)
	return io.NopCloser(bytes.NewReader(data)), err
}

func (f fakeObjects) Delete(_ context.Context, name tablestore.ObjectName) error {
	delete(f.objects, name)
	return nil
}
