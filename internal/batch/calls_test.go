package batch

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/store"
)

// recordingStore records the calls to a store as text, values included.
type recordingStore struct {
	*memoryStore
	mu    sync.Mutex
	calls []string
}

func (r *recordingStore) Commit(ctx context.Context, txn store.Transaction) (store.Commit, error) {
	var call strings.Builder
	call.WriteString("commit\n")
	for _, expect := range txn.Expect {
		fmt.Fprintf(&call, "  expect %s %s %q %d\n", expect.Address.Table, expect.Address.Part, expect.Address.Key, expect.Revision)
	}
	for _, put := range txn.Put {
		value := fmt.Sprintf("%q", put.Value)
		if put.Address.Table == tableItems {
			// The encoding holds numbers of types, which depend on what the process has encoded before.
			value = fmt.Sprintf("%d bytes", len(put.Value))
		}
		fmt.Fprintf(&call, "  put %s %s %q %s\n", put.Address.Table, put.Address.Part, put.Address.Key, value)
	}
	for _, address := range txn.Remove {
		fmt.Fprintf(&call, "  remove %s %s %q\n", address.Table, address.Part, address.Key)
	}
	r.record(call.String())
	return r.memoryStore.Commit(ctx, txn)
}

func (r *recordingStore) Read(ctx context.Context, rows store.Range) (store.Page, error) {
	r.record(fmt.Sprintf("read %s %s %q %q %d\n", rows.Table, rows.Part, rows.From, rows.To, rows.Limit))
	return r.memoryStore.Read(ctx, rows)
}

func (r *recordingStore) record(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
}

// mark separates the calls of the steps of a test.
func (r *recordingStore) mark(step string) {
	r.record("# " + step + "\n")
}

func (r *recordingStore) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.calls, "")
}

// TestCallsWithoutOrganisations guards against changes for organisations that cost a deployment without them anything: its calls to
// the store and their bytes are those that were recorded before there were organisations (commit 2c3b71e).
func TestCallsWithoutOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m := newMemoryStore()
		recorded := &recordingStore{
			memoryStore: m,
		}
		a := newManager(t, m, "a")
		b := newManager(t, m, "b")
		a.ledger.store = recorded
		b.ledger.store = recorded
		rt := *jobRoute
		rt.TokenCap = 10_000
		recorded.mark("accept far from the cap")
		assert.NilError(t, a.Accept(ctx, submission("far", 2, 50), &rt))
		recorded.mark("accept near the cap")
		assert.NilError(t, a.Accept(ctx, submission("near", 2, 2000), &rt))
		recorded.mark("accept near the cap again")
		assert.NilError(t, a.Accept(ctx, submission("next", 2, 2000), &rt))
		recorded.mark("refuse")
		assert.ErrorIs(t, a.Accept(ctx, submission("full", 2, 2000), &rt), ErrFull)
		recorded.mark("accept without a cap")
		rt.TokenCap = 0
		assert.NilError(t, a.Accept(ctx, submission("free", 1, 2000), &rt))
		recorded.mark("complete")
		j := owned(t, a, "far")
		for n := range 2 {
			j.results <- Result{
				Item:   ItemID(fmt.Sprintf("far-%d", n)),
				State:  StateSucceeded,
				Output: "output",
			}
			time.Sleep(50 * time.Millisecond)
		}
		recorded.mark("end")
		assert.NilError(t, a.End(ctx, forward.Caller{}, "near"))
		recorded.mark("adopt")
		assert.NilError(t, b.Adopt(ctx, AdoptArgs{Job: "next"}))
		time.Sleep(50 * time.Millisecond)
		recorded.mark("sweep")
		m.advance(store.Clock((2 * time.Minute).Milliseconds()))
		for range 2 {
			_, err := a.sweep(ctx, time.Second)
			assert.NilError(t, err)
			m.advance(store.Clock((2 * time.Minute).Milliseconds()))
		}
		want, err := os.ReadFile("testdata/calls.txt")
		assert.NilError(t, err)
		assert.Equal(t, recorded.text(), string(want))
	})
}
