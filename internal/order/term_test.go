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

// stepFor steps the term regularly for the given duration.
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
		fence, unsettled := first.fence()
		assert.NilError(t, first.check())
		assert.Equal(t, fence, Fence(1))
		assert.Assert(t, !unsettled)
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
		fence, unsettled = second.fence()
		assert.Equal(t, fence, Fence(2))
		assert.Assert(t, unsettled)
		stepFor(t, second, testLimits.Term+testLimits.LongestOrder)
		_, unsettled = second.fence()
		assert.Assert(t, !unsettled)
		stepFor(t, first, 250*time.Millisecond)
		assert.ErrorIs(t, first.check(), ErrLapsed)
		assert.NilError(t, second.release(t.Context()))
		stepFor(t, first, 250*time.Millisecond)
		fence, unsettled = first.fence()
		assert.Equal(t, fence, Fence(3))
		assert.Assert(t, !unsettled)
	})
}

// TestLapsedOrderIsNotWritten lets the term lapse between the decision to send and the write to the connection.
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
