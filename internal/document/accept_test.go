package document

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/tablestore"
)

// countingTable counts commits; each loses its answer.
type countingTable struct {
	Table
	commits  int
	onCommit func()
}

func (c *countingTable) Commit(context.Context, tablestore.Txn) error {
	c.commits++
	c.onCommit()
	return tablestore.ErrUnknown
}

// TestOutcomeOfCommit checks that a change whose commit was never sent counts as not accepted. It used to be reported as
// unknown, so that the operator had to find out.
func TestOutcomeOfCommit(t *testing.T) {
	cases := map[string]struct {
		cancelled bool
		commits   int
		want      error
	}{
		"ended before the first attempt": {cancelled: true, want: ErrUnavailable},
		"ended after it":                 {commits: 1, want: ErrUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.cancelled {
				cancel()
			}
			table := &countingTable{
				onCommit: cancel,
			}
			s := NewStore(table, nil)
			err := s.commitWithRetry(ctx, NewView(New()), 0, Change{
				ID: "one",
			})
			assert.Equal(t, table.commits, c.commits)
			assert.ErrorIs(t, storeError(err), c.want)
		})
	}
}
