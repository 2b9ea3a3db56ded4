package job

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/samber/oops"

	"rhubarbrudder/internal/endpoint"
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

// Clone returns a copy that shares no mutable data with the original.
func (c Checkpoint) Clone() Checkpoint {
	return Checkpoint{
		Only:     c.Only,
		Results:  maps.Clone(c.Results),
		Partial:  maps.Clone(c.Partial),
		Attempts: maps.Clone(c.Attempts),
		Avoid:    cloneAvoid(c.Avoid),
		Started:  maps.Clone(c.Started),
	}
}

func cloneAvoid(avoid map[int][]endpoint.ID) map[int][]endpoint.ID {
	clone := make(map[int][]endpoint.ID, len(avoid))
	for index, ids := range avoid {
		clone[index] = slices.Clone(ids)
	}
	return clone
}

// Indexes returns the indexes of the lot's items in its input object, which has the given number of items.
func (c Checkpoint) Indexes(items int) []int {
	if c.Only != nil {
		return c.Only
	}
	all := make([]int, items)
	for index := range all {
		all[index] = index
	}
	return all
}

// ForRemainder returns the progress of a remainder, a lot that is split off with the given items. It has no results yet.
func (c Checkpoint) ForRemainder(indexes []int) Checkpoint {
	rest := NewCheckpoint()
	rest.Only = indexes
	for _, index := range indexes {
		if partial, ok := c.Partial[index]; ok {
			rest.Partial[index] = partial
		}
		if attempts, ok := c.Attempts[index]; ok {
			rest.Attempts[index] = attempts
		}
		if avoid, ok := c.Avoid[index]; ok {
			rest.Avoid[index] = slices.Clone(avoid)
		}
		if c.Started[index] {
			rest.Started[index] = true
		}
	}
	return rest
}
