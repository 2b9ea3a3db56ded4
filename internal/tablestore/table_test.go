package tablestore_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/standin"
	"rhubarbrudder/internal/tablestore"
)

// newTable returns a client of a stand-in for the table service.
func newTable(t *testing.T) (*tablestore.Table, *standin.Platform) {
	t.Helper()
	platform := standin.NewPlatform(1, 0)
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	return tablestore.NewTable(server.Client(), server.URL, "test", nil), platform
}

func putRow(sort string, version tablestore.Version) tablestore.Txn {
	return tablestore.Txn{
		Writes: []tablestore.Write{
			{
				Key: tablestore.Key{
					Partition: "Test",
					Sort:      sort,
				},
				Version: version,
				Data:    []byte(sort),
			},
		},
	}
}

func TestCommitTellsItsThreeFailuresApart(t *testing.T) {
	cases := map[string]struct {
		fault   standin.Fault
		version tablestore.Version
		want    error
		applied bool
	}{
		"applied": {
			applied: true,
		},
		"conflict": {
			version: 7,
			want:    tablestore.ErrConflict,
		},
		"outage": {
			fault: standin.Fault{
				Outage: true,
			},
			want: tablestore.ErrUnavailable,
		},
		"answer lost after the effect": {
			fault: standin.Fault{
				LoseNext: 1,
			},
			want:    tablestore.ErrUnknown,
			applied: true,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			table, platform := newTable(t)
			platform.Table.Faults.Set(tt.fault)
			err := table.Commit(context.Background(), putRow("a", tt.version))
			assert.Assert(t, errors.Is(err, tt.want), "got %v", err)
			assert.Equal(t, len(platform.Table.Rows("Test")) == 1, tt.applied)
		})
	}
}

func TestCommitToStoppedServerIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	url := server.URL
	server.Close()
	table := tablestore.NewTable(http.DefaultClient, url, "test", nil)
	err := table.Commit(context.Background(), putRow("a", 0))
	assert.Assert(t, errors.Is(err, tablestore.ErrUnavailable), "got %v", err)
}

func TestCommitAppliesAllOrNothing(t *testing.T) {
	table, platform := newTable(t)
	ctx := context.Background()
	assert.NilError(t, table.Commit(ctx, putRow("a", 0)))
	both := putRow("b", 0)
	both.Writes = append(both.Writes, putRow("a", 0).Writes...)
	err := table.Commit(ctx, both)
	assert.Assert(t, errors.Is(err, tablestore.ErrConflict), "got %v", err)
	assert.Equal(t, len(platform.Table.Rows("Test")), 1)
}

func TestAllReadsEveryPage(t *testing.T) {
	table, _ := newTable(t)
	ctx := context.Background()
	const rows = 2500
	for written := 0; written < rows; {
		txn := tablestore.Txn{}
		for ; len(txn.Writes) < tablestore.MaxWrites && written < rows; written++ {
			txn.Writes = append(txn.Writes, putRow(string(rune('a'+written/100))+string(rune('a'+written%100)), 0).Writes...)
		}
		assert.NilError(t, table.Commit(ctx, txn))
	}
	found, err := table.All(ctx, "Test")
	assert.NilError(t, err)
	assert.Equal(t, len(found), rows)
}
