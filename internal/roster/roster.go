// Package roster knows the VMs of the system. Each VM writes a row once, at its start; whether it lives is seen by
// calling it.
package roster

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

// Incarnation tells the starts of a VM's process apart.
type Incarnation string

// Table holds a row for each VM.
const Table store.Table = "vms"

// VM is a VM of the system.
type VM struct {
	Name        pool.VMName
	Incarnation Incarnation
	// Address is where peers call it.
	Address string
	// Cores is the processor time that it has, in cores.
	Cores float64
}

const (
	// enterTimeout bounds one attempt to write the own row.
	enterTimeout = time.Second
	// enterPause separates attempts; half of it is random.
	enterPause = 400 * time.Millisecond
	// smallCores is below how many cores a VM holds a pool only if no larger one is left.
	smallCores = 0.4
	// youngFor is for how long a VM that started holds a pool only if no older one is left: it still learns which
	// endpoints there are, and what restarts once may restart again.
	youngFor = 3 * time.Second
)

// Roster is the set of known VMs.
type Roster struct {
	self VM
	log  *slog.Logger
	mu   sync.Mutex
	vms  map[pool.VMName]entry
}

type entry struct {
	vm       VM
	revision store.Revision
	// since is when this incarnation was first seen here.
	since time.Time
}

// New returns a roster that knows this VM alone.
func New(self VM, log *slog.Logger) *Roster {
	return &Roster{
		self: self,
		log:  log,
		vms: map[pool.VMName]entry{
			self.Name: {
				vm:    self,
				since: time.Now(),
			},
		},
	}
}

// Enter writes this VM's row; it tries until it succeeds or ctx ends.
func (r *Roster) Enter(ctx context.Context, s store.Store) {
	value, err := json.Marshal(r.self)
	if err != nil {
		r.log.Error("vm not entered", "err", err)
		return
	}
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, enterTimeout)
		_, err := s.Commit(attempt, store.Transaction{
			Put: []store.Put{
				{
					Address: store.Address{
						Table: Table,
						Key:   store.Key(r.self.Name),
					},
					Value: value,
				},
			},
		})
		cancel()
		if err == nil {
			r.log.Info("vm entered", "vm", r.self.Name, "incarnation", r.self.Incarnation)
			return
		}
		r.log.Warn("vm not entered", "unknown", errors.Is(err, store.ErrUnknown), "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(enterPause/2 + rand.N(enterPause/2)):
		}
	}
}

// Replace takes the whole table.
func (r *Roster) Replace(rows []store.Row) {
	listed := map[pool.VMName]bool{r.self.Name: true}
	for _, row := range rows {
		listed[pool.VMName(row.Address.Key)] = true
	}
	r.mu.Lock()
	for name := range r.vms {
		if !listed[name] {
			delete(r.vms, name)
		}
	}
	r.mu.Unlock()
	r.Change(rows)
}

// Change takes rows that changed.
func (r *Roster) Change(rows []store.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		r.change(row)
	}
}

func (r *Roster) change(row store.Row) {
	name := pool.VMName(row.Address.Key)
	if name == r.self.Name || r.vms[name].revision > row.Revision {
		return
	}
	if row.Deleted {
		delete(r.vms, name)
		return
	}
	var vm VM
	if err := json.Unmarshal(row.Value, &vm); err != nil || vm.Address == "" {
		r.log.Warn("vm row not understood", "vm", name, "err", err)
		return
	}
	since := r.vms[name].since
	if r.vms[name].vm != vm {
		since = time.Now()
		r.log.Info("vm listed", "vm", name, "incarnation", vm.Incarnation, "address", vm.Address)
	}
	r.vms[name] = entry{
		vm:       vm,
		revision: row.Revision,
		since:    since,
	}
}

// lastness is how much a VM's means speak against its holding a pool.
func lastness(e entry) int {
	last := 0
	if time.Since(e.since) < youngFor {
		last = 2
	}
	if e.vm.Cores < smallCores {
		last++
	}
	return last
}

// Get returns a VM by its name.
func (r *Roster) Get(name pool.VMName) (VM, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.vms[name]
	return known.vm, ok
}

// Size returns how many VMs are known.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.vms)
}

// Ranked returns the VMs in the order in which they should hold the service's pool: large VMs
// that have run for a while first, spread by hash.
func (r *Roster) Ranked(service route.Service) []pool.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	type ranked struct {
		member pool.Member
		last   int
		hash   uint64
	}
	list := make([]ranked, 0, len(r.vms))
	for name, known := range r.vms {
		list = append(list, ranked{
			member: pool.Member{
				VM:      name,
				Address: known.vm.Address,
			},
			last: lastness(known),
			hash: xxhash.Sum64String(string(service) + "/" + string(name)),
		})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.last, b.last), cmp.Compare(a.hash, b.hash), cmp.Compare(a.member.VM, b.member.VM))
	})
	members := make([]pool.Member, 0, len(list))
	for _, each := range list {
		members = append(members, each.member)
	}
	return members
}

// All returns the known VMs.
func (r *Roster) All() []VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]VM, 0, len(r.vms))
	for _, known := range r.vms {
		all = append(all, known.vm)
	}
	return all
}
