package job

import (
	"bytes"
	"context"
	"io"
	"slices"
	"strings"

	"rhubarbrudder/internal/tablestore"
)

// fakePlatform is an in-memory table and object store with injected faults.
type fakePlatform struct {
	rows    map[tablestore.Key]tablestore.Row
	objects map[tablestore.ObjectName][]byte
	// outcome returns the outcome of the next write.
	outcome func() int
	// late has the writes that take effect after their writer received ErrUnknown.
	late []func()
}

// The outcomes of a write.
const (
	// outcomeApplied applies the write and reports its result.
	outcomeApplied = iota
	// outcomeAnswerLost applies the write and loses the answer.
	outcomeAnswerLost
	// outcomeWriteLost loses the write; the writer gets ErrUnknown.
	outcomeWriteLost
	// outcomeRefused refuses the write with ErrUnavailable.
	outcomeRefused
	// outcomeDelayed applies the write later; the writer gets ErrUnknown.
	outcomeDelayed
)

// applyLate applies the late write at the index.
func (f *fakePlatform) applyLate(at int) {
	apply := f.late[at]
	f.late = slices.Delete(f.late, at, at+1)
	apply()
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
	outcome := f.outcome()
	switch outcome {
	case outcomeRefused:
		return tablestore.ErrUnavailable
	case outcomeWriteLost:
		return tablestore.ErrUnknown
	case outcomeDelayed:
		f.late = append(f.late, func() { _ = f.apply(txn) })
		return tablestore.ErrUnknown
	}
	err := f.apply(txn)
	if outcome == outcomeAnswerLost {
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
	outcome := f.outcome()
	switch outcome {
	case outcomeRefused:
		return tablestore.ErrUnavailable
	case outcomeWriteLost:
		return tablestore.ErrUnknown
	case outcomeDelayed:
		f.late = append(f.late, func() { f.objects[name] = bytes.Clone(data) })
		return tablestore.ErrUnknown
	}
	f.objects[name] = bytes.Clone(data)
	if outcome == outcomeAnswerLost {
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
