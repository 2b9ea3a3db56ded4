// Package fleet knows the VMs and processes of the system that are alive.
//
// Each process exchanges heartbeats with a few successors on a ring of all processes, whatever the fleet's size. One
// that several of its watchers find silent is lost; it comes back by raising its sequence number. Joining, leaving and
// suspicion travel with the heartbeats, and neighbours compare what they know from time to time.
package fleet

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbrudder/internal/tablestore"
)

// Lister reads the platform's VM list.
type Lister interface {
	VMs(ctx context.Context) ([]tablestore.VM, error)
}

// Caller calls a method of a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Ports are the net/rpc ports of each role.
type Ports map[Role]int

// Fleet follows the VM list and the heartbeats of its members.
type Fleet struct {
	self   Member
	ports  Ports
	lister Lister
	caller Caller
	log    *slog.Logger
	onList []func([]tablestore.VM)
	// kick makes the next heartbeat go out at once.
	kick   chan struct{}
	roster atomic.Pointer[roster]
	// version grows with each change of the roster.
	version atomic.Uint64

	mu       sync.Mutex
	sequence Sequence
	leaving  bool
	silence  time.Duration
	listed   []tablestore.VM
	unknown  []string
	records  map[ID]*record
	rumours  []*rumour
	// suspected are the members that someone finds silent.
	suspected map[ID]*record
	// probes are doubted members that sent a heartbeat, with their addresses.
	probes map[ID]string
	// answered is when a process of another VM last answered.
	answered time.Time
}

// New returns a fleet seen from the member self.
func New(self Member, ports Ports, lister Lister, caller Caller, log *slog.Logger) *Fleet {
	f := &Fleet{
		self:      self,
		ports:     ports,
		lister:    lister,
		caller:    caller,
		log:       log,
		kick:      make(chan struct{}, 1),
		silence:   defaultSilence,
		records:   map[ID]*record{},
		probes:    map[ID]string{},
		suspected: map[ID]*record{},
	}
	f.rebuild()
	return f
}

// Self returns the member this process is.
func (f *Fleet) Self() Member {
	return f.self
}

// OnList adds a function that is called with each reading of the VM list; it must come before Run.
func (f *Fleet) OnList(do func([]tablestore.VM)) {
	f.onList = append(f.onList, do)
}

// Refresh reads the VM list once.
func (f *Fleet) Refresh(ctx context.Context) error {
	vms, err := f.lister.VMs(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	if !slices.Equal(vms, f.listed) {
		f.listed = vms
		f.findUnknown()
	}
	f.prune()
	f.mu.Unlock()
	f.leavingVMs(vms)
	for _, do := range f.onList {
		do(vms)
	}
	return nil
}

// Run reads the VM list and exchanges heartbeats until ctx ends.
func (f *Fleet) Run(ctx context.Context, listPeriod, heartbeatPeriod time.Duration) error {
	f.mu.Lock()
	f.silence = suspectAfter * heartbeatPeriod
	f.mu.Unlock()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		f.follow(ctx, listPeriod)
	})
	for round := 0; ctx.Err() == nil; round++ {
		started := time.Now()
		f.beat(ctx, heartbeatPeriod)
		if round%compareRounds == 0 {
			group.Go(func() {
				f.compare(ctx)
			})
		}
		f.wait(ctx, heartbeatPeriod-time.Since(started))
	}
	return nil
}

// wait waits for the time, for a kick or for the end of ctx.
func (f *Fleet) wait(ctx context.Context, rest time.Duration) {
	if rest <= 0 {
		return
	}
	timer := time.NewTimer(rest)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.kick:
	case <-timer.C:
	}
}

// follow reads the VM list every period, in a loop of its own: a slow list must not delay heartbeats.
func (f *Fleet) follow(ctx context.Context, period time.Duration) {
	list := time.NewTicker(period)
	defer list.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-list.C:
			if err := f.Refresh(ctx); err != nil && ctx.Err() == nil {
				f.log.Warn("vm list unreadable", "err", err)
			}
		}
	}
}

// Leave marks this process as leaving; peers hear of it at once.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.spread(f.selfNews())
	f.rebuild()
	f.mu.Unlock()
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// Listed returns every process that the VM list lets expect.
func (f *Fleet) Listed() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.expected()
}

// expected needs the lock.
func (f *Fleet) expected() []Member {
	var members []Member
	for _, vm := range f.listed {
		if vm.Service != "" {
			continue
		}
		for role, port := range f.ports {
			members = append(members, Member{
				Role:          role,
				VM:            vm.Name,
				Incarnation:   vm.Incarnation,
				Address:       net.JoinHostPort(vm.Address, strconv.Itoa(port)),
				Region:        vm.Region,
				FailureDomain: vm.FailureDomain,
			})
		}
	}
	return members
}

// Alive returns the processes of a role that are neither lost nor leaving, this one among them, in order of their ids.
// The caller must not change it.
func (f *Fleet) Alive(role Role) []Member {
	return f.roster.Load().byRole[role]
}

// Version grows whenever the members alive change.
func (f *Fleet) Version() uint64 {
	return f.version.Load()
}

// Count returns how many processes the fleet has, this one among them.
func (f *Fleet) Count() int {
	return len(f.roster.Load().ring)
}

// Neighbours returns the addresses of the few peers that this process exchanges with: its successor on the ring, which
// keeps the graph whole, and others at places drawn by hashing, which keep it narrow and change with few members.
func (f *Fleet) Neighbours() []string {
	var addresses []string
	for _, p := range f.roster.Load().neighbours(f.self) {
		addresses = append(addresses, p.member.Address)
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, member := range f.Listed() {
		if member.Address != f.self.Address {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// Majority reports whether more than half of the listed VMs, this one among them, are alive, and whether another VM
// answered within the time.
func (f *Fleet) Majority(within time.Duration) bool {
	present := map[tablestore.VMName]bool{
		f.self.VM: true,
	}
	for _, entry := range f.roster.Load().ring {
		present[entry.member.VM] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	listed, heard := 0, 0
	for _, vm := range f.listed {
		if vm.Service != "" {
			continue
		}
		listed++
		if present[vm.Name] {
			heard++
		}
	}
	connected := listed == 1 || time.Since(f.answered) < within
	return 2*heard > listed && connected
}
