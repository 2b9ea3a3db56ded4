// Package roster lists the VMs of the system. Each VM writes a row to the store once, when it starts. The row does not
// show whether the VM is still alive; other VMs find that out by calling it.
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

// Incarnation identifies one start of a VM's process.
type Incarnation string

// Table is the table with one row for each VM.
const Table store.Table = "vms"

// VM is a VM of the system.
type VM struct {
	Name        pool.VMName
	Incarnation Incarnation
	// Address is where peers call the VM.
	Address string
	// Cores is the processor time available to the VM, in cores.
	Cores float64
	// Started is when the VM's process started, or zero if the row does not tell.
	Started store.Clock
}

const (
	// registerTimeout is the time limit for one attempt to write this VM's row.
	registerTimeout = time.Second
	// registerPause is the maximum pause between attempts; half of it is random jitter.
	registerPause = 400 * time.Millisecond
	// smallCores is the number of cores below which a VM is steward of a pool only if there is no larger one.
	smallCores = 0.4
	// youngFor is how long after a VM was first seen it is steward of a pool only if there is no older one: it is still
	// loading the endpoints, and a VM that has just restarted is more likely to restart again.
	youngFor = 3 * time.Second
	// sameStart is the difference in age up to which VMs count as equally old. After a restart of all VMs, the steward
	// would otherwise change with each VM that reaches youngFor.
	sameStart = time.Second
)

// Roster is the set of known VMs.
type Roster struct {
	self VM
	log  *slog.Logger
	mu   sync.Mutex
	vms  map[pool.VMName]entry
	// loaded means that the table has been read at least once.
	loaded bool
	// started is when this VM's process started. The store's clock was clock at the time clockAt of this VM's clock, which is
	// zero if it is not known.
	started time.Time
	clock   store.Clock
	clockAt time.Time
	// selfListed means that this VM's row has been read, and unlisted holds a token when it has been removed since.
	selfListed bool
	unlisted   chan struct{}
}

type entry struct {
	vm       VM
	revision store.Revision
	// firstSeen is when this VM first read the row of the incarnation, or earlier, when the VM started, if it has told its
	// uptime or the row tells it.
	firstSeen time.Time
}

// New returns a roster that lists only this VM.
func New(self VM, log *slog.Logger) *Roster {
	now := time.Now()
	return &Roster{
		self:     self,
		log:      log,
		started:  now,
		unlisted: make(chan struct{}, 1),
		vms: map[pool.VMName]entry{
			self.Name: {
				vm:        self,
				firstSeen: now,
			},
		},
	}
}

// KeepRegistered writes this VM's row to the store, and again whenever it has been removed, until ctx ends.
func (r *Roster) KeepRegistered(ctx context.Context, s store.Store) {
	for ctx.Err() == nil {
		r.Register(ctx, s)
		select {
		case <-ctx.Done():
		case <-r.unlisted:
			r.log.Warn("row of this vm removed, writing it again", "vm", r.self.Name)
		}
	}
}

// Register writes this VM's row to the store, and retries until it succeeds or ctx ends.
func (r *Roster) Register(ctx context.Context, s store.Store) {
	for ctx.Err() == nil {
		err := r.tryRegister(ctx, s)
		if err == nil {
			r.log.Info("vm registered in the store", "vm", r.self.Name, "incarnation", r.self.Incarnation)
			return
		}
		// The key unknown reports whether the row may have been written nevertheless.
		r.log.Warn("vm not registered, retrying", "unknown", errors.Is(err, store.ErrUnknown), "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(registerPause/2 + rand.N(registerPause/2)):
		}
	}
}

// tryRegister makes one attempt to write this VM's row.
func (r *Roster) tryRegister(ctx context.Context, s store.Store) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	key := store.Key(r.self.Name)
	// Only the clock is needed.
	page, err := s.Read(ctx, store.Range{
		Table: Table,
		From:  key,
		To:    key + "\x00",
	})
	if err != nil {
		return err
	}
	self := r.self
	self.Started = r.setClock(page.Clock)
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	_, err = s.Commit(ctx, store.Transaction{
		Put: []store.Put{
			{
				Address: store.Address{
					Table: Table,
					Key:   key,
				},
				Value: value,
			},
		},
	})
	return err
}

// setClock sets the store's present clock and returns what it was when this VM started.
func (r *Roster) setClock(clock store.Clock) store.Clock {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = clock
	r.clockAt = time.Now()
	for name, known := range r.vms {
		if started := r.startOf(known.vm); name != r.self.Name && started.Before(known.firstSeen) {
			known.firstSeen = started
			r.vms[name] = known
		}
	}
	return clock - store.Clock(time.Since(r.started).Milliseconds())
}

// startOf returns when a VM started, or the present time if its row does not tell or the store's clock is not known. A row
// that is older than this VM may be that of an earlier process, so it shows only that the VM is not younger than this one.
func (r *Roster) startOf(vm VM) time.Time {
	now := time.Now()
	if vm.Started == 0 || r.clockAt.IsZero() {
		return now
	}
	started := r.clockAt.Add(time.Duration(vm.Started-r.clock) * time.Millisecond)
	if started.Before(r.started) {
		return r.started
	}
	if started.After(now) {
		return now
	}
	return started
}

// Replace replaces the list with the VMs in rows, which are all rows of the table. This VM always stays listed.
func (r *Roster) Replace(rows []store.Row) {
	listed := map[pool.VMName]bool{r.self.Name: true}
	for _, row := range rows {
		listed[pool.VMName(row.Address.Key)] = true
	}
	r.mu.Lock()
	r.loaded = true
	selfRow := false
	for _, row := range rows {
		selfRow = selfRow || pool.VMName(row.Address.Key) == r.self.Name
	}
	r.noteSelf(selfRow)
	for name := range r.vms {
		if !listed[name] {
			delete(r.vms, name)
		}
	}
	r.mu.Unlock()
	r.Change(rows)
}

// Change applies changed rows. It ignores invalid rows and those older than the known ones.
func (r *Roster) Change(rows []store.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		r.change(row)
	}
}

// noteSelf records whether the table has this VM's row. The lock must be held.
func (r *Roster) noteSelf(listed bool) {
	if r.selfListed && !listed {
		select {
		case r.unlisted <- struct{}{}:
		default:
		}
	}
	r.selfListed = listed
}

func (r *Roster) change(row store.Row) {
	name := pool.VMName(row.Address.Key)
	if name == r.self.Name {
		r.noteSelf(!row.Deleted)
		return
	}
	if r.vms[name].revision > row.Revision {
		return
	}
	if row.Deleted {
		delete(r.vms, name)
		return
	}
	var vm VM
	if err := json.Unmarshal(row.Value, &vm); err != nil || vm.Address == "" {
		r.log.Warn("vm row invalid, ignored", "vm", name, "err", err)
		return
	}
	firstSeen := r.vms[name].firstSeen
	if r.vms[name].vm != vm {
		firstSeen = r.startOf(vm)
		r.log.Info("vm listed", "vm", name, "incarnation", vm.Incarnation, "address", vm.Address)
	}
	r.vms[name] = entry{
		vm:        vm,
		revision:  row.Revision,
		firstSeen: firstSeen,
	}
}

// ObserveUptime records that a VM has run for the time. A VM that has just started has only just read the rows of all others,
// which may be much older than itself.
func (r *Roster) ObserveUptime(name pool.VMName, uptime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.vms[name]
	started := time.Now().Add(-uptime)
	if !ok || !started.Before(known.firstSeen) {
		return
	}
	known.firstSeen = started
	r.vms[name] = known
}

// Loaded reports whether the table has been read at least once.
func (r *Roster) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// stewardPenalty returns the group of a VM, by which Ranked sorts first: 0 for normal, 1 for small, 2 for young VMs, and
// 3 for those that are both. Oldest is when the oldest VM was first seen.
func stewardPenalty(e entry, oldest time.Time) int {
	penalty := 0
	if time.Since(e.firstSeen) < youngFor && e.firstSeen.Sub(oldest) > sameStart {
		penalty = 2
	}
	if e.vm.Cores < smallCores {
		penalty++
	}
	return penalty
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

// Ranked returns the VMs in the order in which they are preferred as the steward of the service's pool: VMs that are
// large and have been known for youngFor come first. Among equals a hash decides, which spreads the pools over the VMs.
func (r *Roster) Ranked(service route.Service) []pool.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	type ranked struct {
		member  pool.Member
		penalty int
		hash    uint64
	}
	oldest := time.Now()
	for _, known := range r.vms {
		if known.firstSeen.Before(oldest) {
			oldest = known.firstSeen
		}
	}
	list := make([]ranked, 0, len(r.vms))
	for name, known := range r.vms {
		list = append(list, ranked{
			member: pool.Member{
				VM:      name,
				Address: known.vm.Address,
			},
			penalty: stewardPenalty(known, oldest),
			hash:    xxhash.Sum64String(string(service) + "/" + string(name)),
		})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.penalty, b.penalty), cmp.Compare(a.hash, b.hash), cmp.Compare(a.member.VM, b.member.VM))
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
