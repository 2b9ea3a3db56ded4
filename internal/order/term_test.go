package order

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/tablestore"
)

// rowTable is a table of one row.
type rowTable struct {
	row tablestore.Row
	// loseNext makes the next write apply but report an unknown outcome.
	loseNext bool
}

func (r *rowTable) Get(context.Context, tablestore.Key) (tablestore.Row, error) {
	if r.row.Version == 0 {
		return tablestore.Row{}, tablestore.ErrNotFound
	}
	return r.row, nil
}

func (r *rowTable) Commit(_ context.Context, txn tablestore.Txn) error {
	if txn.Writes[0].Version != r.row.Version {
		return tablestore.ErrConflict
	}
	r.row.Version++
	r.row.Data = txn.Writes[0].Data
	if r.loseNext {
		r.loseNext = false
		return tablestore.ErrUnknown
	}
	return nil
}

var testLimits = Limits{
	Term:         2 * time.Second,
	LongestOrder: time.Second,
}

// stepFor calls step every 250 ms for the given duration.
func stepFor(t *testing.T, stepped *term, duration time.Duration) {
	t.Helper()
	for range int(duration / (250 * time.Millisecond)) {
		_, _ = stepped.step(t.Context(), true)
		time.Sleep(250 * time.Millisecond)
	}
}

func TestTermIsTakenOverOnceItLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &rowTable{}
		first, second := newTerm(table, "s", "first", testLimits), newTerm(table, "s", "second", testLimits)
		stepFor(t, first, 5*time.Second)
		fence, earlierInProgress := first.fence()
		assert.NilError(t, first.check())
		assert.Equal(t, fence, Fence(1))
		assert.Assert(t, !earlierInProgress)
		table.loseNext = true
		for range 20 {
			stepFor(t, first, 500*time.Millisecond)
			stepFor(t, second, 250*time.Millisecond)
			assert.NilError(t, first.check())
			assert.ErrorIs(t, second.check(), ErrLapsed)
		}
		started := time.Now()
		for second.check() != nil {
			stepFor(t, second, 250*time.Millisecond)
		}
		assert.ErrorIs(t, first.check(), ErrLapsed)
		assert.Assert(t, time.Since(started) >= testLimits.Term)
		fence, earlierInProgress = second.fence()
		assert.Equal(t, fence, Fence(2))
		assert.Assert(t, earlierInProgress)
		stepFor(t, second, testLimits.Term+testLimits.LongestOrder)
		_, earlierInProgress = second.fence()
		assert.Assert(t, !earlierInProgress)
		stepFor(t, first, 250*time.Millisecond)
		assert.ErrorIs(t, first.check(), ErrLapsed)
		assert.NilError(t, second.release(t.Context()))
		stepFor(t, first, 250*time.Millisecond)
		fence, earlierInProgress = first.fence()
		assert.Equal(t, fence, Fence(3))
		assert.Assert(t, !earlierInProgress)
	})
}

// TestLapsedOrderIsNotWritten checks that send writes no order to the connection if the term has lapsed. The first order,
// sent before the lapse, is received.
func TestLapsedOrderIsNotWritten(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	lapsed := false
	sender := newSender(func() error {
		if lapsed {
			return ErrLapsed
		}
		return nil
	})
	target := endpoint.Endpoint{
		Address: strings.TrimPrefix(server.URL, "http://"),
	}
	assert.NilError(t, sender.send(t.Context(), target, Order{}))
	lapsed = true
	assert.ErrorIs(t, sender.send(t.Context(), target, Order{}), ErrLapsed)
	assert.Equal(t, received.Load(), int64(1))
}
