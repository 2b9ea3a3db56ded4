package job

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"

	"github.com/samber/oops"
)

// Items returns the items of a lot.
func (s *Store) Items(ctx context.Context, lot Lot) ([]Item, error) {
	data, err := s.objects.Get(ctx, lot.Input)
	if err != nil {
		return nil, storeError(err)
	}
	var items []Item
	for line := range bytes.Lines(data) {
		var item Item
		if err := json.Unmarshal(line, &item); err != nil {
			return nil, oops.In("job").Wrap(err)
		}
		items = append(items, item)
	}
	return items, nil
}

// Clone returns a copy that shares nothing that changes.
func (c Checkpoint) Clone() Checkpoint {
	return Checkpoint{
		Results:  maps.Clone(c.Results),
		Partial:  maps.Clone(c.Partial),
		Attempts: maps.Clone(c.Attempts),
		Started:  maps.Clone(c.Started),
	}
}
