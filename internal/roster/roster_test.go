package roster

import (
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/store"
)

func vmRow(t *testing.T, vm VM, revision store.Revision) store.Row {
	t.Helper()
	value, err := json.Marshal(vm)
	assert.NilError(t, err)
	return store.Row{
		Address: store.Address{
			Table: Table,
			Key:   store.Key(vm.Name),
		},
		Value:    value,
		Revision: revision,
	}
}

func TestRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(VM{Name: "self", Address: "s", Cores: 0.1}, slog.New(slog.DiscardHandler))
		time.Sleep(youngFor + time.Second)
		r.Replace([]store.Row{
			vmRow(t, VM{Name: "large", Address: "l", Cores: 0.8}, 1),
			vmRow(t, VM{Name: "small", Address: "m", Cores: 0.2}, 2),
		})
		first := func() pool.VMName {
			return r.Ranked("service")[0].VM
		}
		// VMs that have just been listed rank last until youngFor has passed.
		assert.Equal(t, first(), pool.VMName("self"))
		time.Sleep(youngFor + time.Second)
		assert.Equal(t, first(), pool.VMName("large"))
		r.Change([]store.Row{vmRow(t, VM{Name: "large", Incarnation: "2", Address: "l", Cores: 0.8}, 3)})
		assert.Assert(t, first() != "large")
	})
}

// TestRowsMoveForward checks that an older row does not replace a newer one, that an invalid row is ignored and that
// Replace removes VMs that are not listed.
func TestRowsMoveForward(t *testing.T) {
	r := New(VM{Name: "self", Address: "s"}, slog.New(slog.DiscardHandler))
	r.Change([]store.Row{vmRow(t, VM{Name: "a", Incarnation: "2", Address: "x"}, 5)})
	r.Change([]store.Row{vmRow(t, VM{Name: "a", Incarnation: "1", Address: "x"}, 4)})
	got, known := r.Get("a")
	assert.Assert(t, known)
	assert.Equal(t, got.Incarnation, Incarnation("2"))
	r.Change([]store.Row{{Address: store.Address{Table: Table, Key: "b"}, Value: []byte("{"), Revision: 6}})
	_, known = r.Get("b")
	assert.Assert(t, !known)
	r.Replace(nil)
	assert.Equal(t, r.Size(), 1)
}
