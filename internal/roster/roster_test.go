package roster

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
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

// TestRankAfterRestartOfAll checks that the order of the VMs stays the same in the seconds after all of them have started
// and registered one after the other. It used to change with each VM that had been known for youngFor, and differed between
// VMs, so that several stewards granted the same slots.
func TestRankAfterRestartOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 30
		name := func(n int) pool.VMName { return pool.VMName(rune('a' + n)) }
		r := New(VM{Name: name(0), Address: "0", Cores: 0.8}, slog.New(slog.DiscardHandler))
		// The rows of the last start are still there.
		var rows []store.Row
		for n := range vms {
			rows = append(rows, vmRow(t, VM{Name: name(n), Incarnation: "1", Address: "x", Cores: 0.8}, store.Revision(n)))
		}
		time.Sleep(50 * time.Millisecond)
		r.Replace(rows)
		first := r.Ranked("service")[0].VM
		for n := 1; n < vms; n++ {
			time.Sleep(20 * time.Millisecond)
			r.Change([]store.Row{vmRow(t, VM{Name: name(n), Incarnation: "2", Address: "x", Cores: 0.8}, store.Revision(vms+n))})
			assert.Equal(t, r.Ranked("service")[0].VM, first)
		}
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, r.Ranked("service")[0].VM, first)
		}
		// A VM that restarts later alone is young.
		r.Change([]store.Row{vmRow(t, VM{Name: first, Incarnation: "3", Address: "x", Cores: 0.8}, 100)})
		if first != name(0) {
			assert.Assert(t, r.Ranked("service")[0].VM != first)
		}
	})
}

// fakeStore holds rows and has a clock that is not that of the VMs.
type fakeStore struct {
	store.Store
	started  time.Time
	revision store.Revision
	rows     map[store.Key]store.Row
	// written is called with each row that is written.
	written func(store.Row)
}

func (s *fakeStore) clock() store.Clock {
	return store.Clock(1_000_000 + time.Since(s.started).Milliseconds())
}

func (s *fakeStore) Read(context.Context, store.Range) (store.Page, error) {
	return store.Page{Clock: s.clock()}, nil
}

func (s *fakeStore) Commit(_ context.Context, txn store.Transaction) (store.Commit, error) {
	for _, expect := range txn.Expect {
		if s.rows[expect.Address.Key].Revision != expect.Revision {
			return store.Commit{}, store.ErrConflict
		}
	}
	for _, address := range txn.Remove {
		s.revision++
		delete(s.rows, address.Key)
		s.written(store.Row{
			Address:  address,
			Revision: s.revision,
			Deleted:  true,
		})
	}
	for _, put := range txn.Put {
		s.revision++
		row := store.Row{
			Address:  put.Address,
			Value:    put.Value,
			Revision: s.revision,
		}
		s.rows[put.Address.Key] = row
		s.written(row)
	}
	return store.Commit{Revision: s.revision, Clock: s.clock()}, nil
}

// TestRankAfterStartWithoutStore guards against several stewards after all VMs have started while the store was away: each VM
// reads the rows of the others long after its own start.
func TestRankAfterStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 20
		loaded := map[*Roster]bool{}
		s := &fakeStore{
			started: time.Now(),
			rows:    map[store.Key]store.Row{},
		}
		s.written = func(row store.Row) {
			for r := range loaded {
				r.Change([]store.Row{row})
			}
		}
		for n := range vms {
			name := pool.VMName(rune('a' + n))
			row := vmRow(t, VM{Name: name, Incarnation: "1", Address: "x", Cores: 0.8}, 0)
			s.rows[row.Address.Key] = row
		}
		random := rand.New(rand.NewPCG(1, 0))
		var rosters []*Roster
		for n := range vms {
			time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			rosters = append(rosters, New(VM{Name: pool.VMName(rune('a' + n)), Incarnation: "2", Address: "x", Cores: 0.8}, slog.New(slog.DiscardHandler)))
		}
		time.Sleep(6 * time.Second)
		for _, n := range random.Perm(vms) {
			time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
			rosters[n].Replace(slices.Collect(maps.Values(s.rows)))
			loaded[rosters[n]] = true
			rosters[n].Register(t.Context(), s)
		}
		for range 500 {
			for _, r := range rosters[1:] {
				assert.Equal(t, r.Ranked("service")[0].VM, rosters[0].Ranked("service")[0].VM)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// TestRankOfRestartedVM checks that a VM that has just started ranks itself last once another one has told its uptime.
func TestRankOfRestartedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []pool.VMName{"a", "b", "c"}
		self := names[0]
		all := New(VM{Name: self, Address: "x", Cores: 0.8}, slog.New(slog.DiscardHandler))
		var rows []store.Row
		for n, name := range names {
			rows = append(rows, vmRow(t, VM{Name: name, Address: "x", Cores: 0.8}, store.Revision(n)))
		}
		all.Replace(rows)
		first := all.Ranked("service")[0].VM
		r := New(VM{Name: first, Incarnation: "2", Address: "x", Cores: 0.8}, slog.New(slog.DiscardHandler))
		r.Replace(rows)
		assert.Equal(t, r.Ranked("service")[0].VM, first)
		other := r.Ranked("service")[1].VM
		r.ObserveUptime(other, time.Hour)
		assert.Equal(t, r.Ranked("service")[0].VM, other)
		// A shorter uptime, as in the reply of a process that has been replaced since, does not make it young.
		r.ObserveUptime(other, time.Millisecond)
		assert.Equal(t, r.Ranked("service")[0].VM, other)
		time.Sleep(youngFor)
		assert.Equal(t, r.Ranked("service")[0].VM, first)
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

// fixedPeers are Peers of which some use this VM as a steward and some answer.
type fixedPeers struct {
	present map[pool.VMName]bool
	answers map[pool.VMName]bool
}

func (p fixedPeers) Present() map[pool.VMName]bool { return p.present }

func (p fixedPeers) Answers(_ context.Context, vm VM) bool { return p.answers[vm.Name] }

// TestSweep guards against rows of VMs that no longer exist, of which elections ask more and more, and against the removal of VMs
// that exist.
func TestSweep(t *testing.T) {
	tests := map[string]struct {
		present []pool.VMName
		answers []pool.VMName
		// restarted means that the VM b writes its row again in time.
		restarted bool
		after     time.Duration
		removed   bool
	}{
		"gone":                         {present: []pool.VMName{"c"}, after: absentTime + 2*sweepPeriod, removed: true},
		"gone for a short time":        {present: []pool.VMName{"c"}, after: absentTime},
		"present":                      {present: []pool.VMName{"b", "c"}, after: 3 * absentTime},
		"uses another steward":         {present: []pool.VMName{"c"}, answers: []pool.VMName{"b"}, after: 3 * absentTime},
		"this VM is no steward":        {after: 3 * absentTime},
		"this VM reaches no other one": {present: []pool.VMName{"a"}, after: 3 * absentTime},
		"started again in the instant": {present: []pool.VMName{"c"}, restarted: true, after: absentTime + 2*sweepPeriod},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := New(VM{Name: "a", Address: "a"}, slog.New(slog.DiscardHandler))
				s := &fakeStore{
					started: time.Now(),
					rows:    map[store.Key]store.Row{},
				}
				s.written = func(row store.Row) { r.Change([]store.Row{row}) }
				for _, vm := range []pool.VMName{"b", "c"} {
					_, err := s.Commit(t.Context(), store.Transaction{Put: []store.Put{{
						Address: store.Address{Table: Table, Key: store.Key(vm)},
						Value:   vmRow(t, VM{Name: vm, Incarnation: "1", Address: string(vm)}, 0).Value,
					}}})
					assert.NilError(t, err)
				}
				if test.restarted {
					// The roster has not heard of it yet.
					row := s.rows["b"]
					row.Revision = 99
					s.rows["b"] = row
				}
				peers := fixedPeers{
					present: map[pool.VMName]bool{},
					answers: map[pool.VMName]bool{},
				}
				for _, vm := range test.present {
					peers.present[vm] = true
				}
				for _, vm := range test.answers {
					peers.answers[vm] = true
				}
				ctx, cancel := context.WithCancel(t.Context())
				go r.Sweep(ctx, s, peers)
				time.Sleep(test.after)
				cancel()
				_, listed := s.rows["b"]
				assert.Equal(t, listed, !test.removed)
				_, known := r.Get("b")
				assert.Equal(t, known, !test.removed)
				assert.Equal(t, len(s.rows), map[bool]int{true: 1, false: 2}[test.removed])
			})
		})
	}
}

// TestRemovedVMRegistersAgain checks that a VM whose row is removed, or missing from the whole table, writes it again, and that it
// writes it once otherwise.
func TestRemovedVMRegistersAgain(t *testing.T) {
	tests := map[string]struct {
		remove func(r *Roster)
		writes int
	}{
		"not removed":        {remove: func(*Roster) {}, writes: 1},
		"removed":            {remove: func(r *Roster) { r.Change([]store.Row{{Address: store.Address{Key: "a"}, Deleted: true, Revision: 9}}) }, writes: 2},
		"not in the table":   {remove: func(r *Roster) { r.Replace(nil) }, writes: 2},
		"another is removed": {remove: func(r *Roster) { r.Change([]store.Row{{Address: store.Address{Key: "b"}, Deleted: true, Revision: 9}}) }, writes: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := New(VM{Name: "a", Address: "a"}, slog.New(slog.DiscardHandler))
				writes := 0
				s := &fakeStore{
					started: time.Now(),
					rows:    map[store.Key]store.Row{},
				}
				s.written = func(row store.Row) {
					writes++
					r.Change([]store.Row{row})
				}
				// The table is read before the VM has written its row.
				r.Replace(nil)
				ctx, cancel := context.WithCancel(t.Context())
				go r.KeepRegistered(ctx, s)
				time.Sleep(time.Second)
				test.remove(r)
				time.Sleep(time.Second)
				cancel()
				assert.Equal(t, writes, test.writes)
			})
		})
	}
}
