// Package fleet tracks which VMs and processes of the system are alive.
//
// Each process sends heartbeats to a few of its successors on a ring of all processes; their number does not depend on
// the fleet's size. A member is suspected when it does not answer. It is considered lost when several of its watchers,
// its nearest predecessors on the ring, suspect it, and alive again once it raises its own sequence number. Updates
// about members that join, leave or are suspected are carried by the heartbeats, and neighbours compare their records
// from time to time.
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

// Ports holds the net/rpc port of each role.
type Ports map[Role]int

// Fleet tracks the members by the VM list and by heartbeats.
type Fleet struct {
	self   Member
	ports  Ports
	lister Lister
	caller Caller
	log    *slog.Logger
	// onList holds the functions to call with each reading of the VM list.
	onList []func([]tablestore.VM)
	// wake makes the next round of heartbeats start at once.
	wake   chan struct{}
	roster atomic.Pointer[roster]
	// version is incremented with each change of the roster.
	version atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// sequence and leaving are this process's own state, which its updates carry to peers.
	sequence Sequence
	leaving  bool
	// silenceTimeout is how long ago a suspected member must have last answered this process to be considered lost.
	silenceTimeout time.Duration
	// listed is the last reading of the VM list.
	listed []tablestore.VM
	// unknown holds the listed addresses at which no member is known to be alive.
	unknown []string
	// records holds the other members, including those that were lost lately.
	records map[ID]*record
	// queue holds the updates to be sent with heartbeats.
	queue []*queuedUpdate
	// suspected holds the members that at least one watcher suspects.
	suspected map[ID]*record
	// probes holds the addresses of suspected or lost members that have sent a heartbeat.
	probes map[ID]string
	// lastRemoteAnswer is when a process of another VM last answered.
	lastRemoteAnswer time.Time
}

// New returns the fleet as seen by the member self.
func New(self Member, ports Ports, lister Lister, caller Caller, log *slog.Logger) *Fleet {
	f := &Fleet{
		self:           self,
		ports:          ports,
		lister:         lister,
		caller:         caller,
		log:            log,
		wake:           make(chan struct{}, 1),
		silenceTimeout: defaultSilenceTimeout,
		records:        map[ID]*record{},
		probes:         map[ID]string{},
		suspected:      map[ID]*record{},
	}
	f.rebuild()
	return f
}

// Self returns the member that this process is.
func (f *Fleet) Self() Member {
	return f.self
}

// OnList registers a function that is called with each reading of the VM list. It must be called before Run.
func (f *Fleet) OnList(callback func([]tablestore.VM)) {
	f.onList = append(f.onList, callback)
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
	f.markLeavingVMs(vms)
	for _, callback := range f.onList {
		callback(vms)
	}
	return nil
}

// Run reads the VM list and exchanges heartbeats until ctx ends.
func (f *Fleet) Run(ctx context.Context, listPeriod, heartbeatPeriod time.Duration) error {
	f.mu.Lock()
	f.silenceTimeout = suspectAfter * heartbeatPeriod
	f.mu.Unlock()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		f.pollList(ctx, listPeriod)
	})
	for round := 0; ctx.Err() == nil; round++ {
		started := time.Now()
		f.sendHeartbeats(ctx, heartbeatPeriod)
		if round%compareRounds == 0 {
			group.Go(func() {
				f.compare(ctx)
			})
		}
		f.wait(ctx, heartbeatPeriod-time.Since(started))
	}
	return nil
}

// wait waits for the rest of the period, or until the fleet is woken or ctx ends.
func (f *Fleet) wait(ctx context.Context, rest time.Duration) {
	if rest <= 0 {
		return
	}
	timer := time.NewTimer(rest)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

// pollList reads the VM list every period. It runs in a loop of its own, so that a slow list does not delay heartbeats.
func (f *Fleet) pollList(ctx context.Context, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := f.Refresh(ctx); err != nil && ctx.Err() == nil {
				f.log.Warn("vm list unreadable", "err", err)
			}
		}
	}
}

// Leave marks this process as leaving and starts a round of heartbeats that tells peers at once.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.enqueue(f.selfUpdate())
	f.rebuild()
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Listed returns every process that is expected to run according to the VM list.
func (f *Fleet) Listed() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.expected()
}

// expected returns the processes that are expected to run according to the VM list. The caller must hold f.mu.
func (f *Fleet) expected() []Member {
	var members []Member
	for _, vm := range f.listed {
		// A VM with a service is an endpoint, not a VM of this system.
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

// Alive returns the processes of a role that are neither lost nor leaving, including this one, sorted by id.
// The caller must not modify the slice.
func (f *Fleet) Alive(role Role) []Member {
	return f.roster.Load().byRole[role]
}

// Version returns a number that grows whenever the members alive change.
func (f *Fleet) Version() uint64 {
	return f.version.Load()
}

// Count returns the number of processes in the fleet, including this one.
func (f *Fleet) Count() int {
	return len(f.roster.Load().ring)
}

// Neighbours returns the addresses of the few peers that this process exchanges updates with. One is its successor on
// the ring, which keeps the graph of neighbours connected. The others are members at positions derived by hashing,
// which keep the graph's diameter small and change little when members join or leave. While no other member is known,
// Neighbours returns the address of every other listed process.
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

// Majority reports whether more than half of the listed VMs, including this one, are alive. If other VMs are listed,
// one of them must also have answered within the given time.
func (f *Fleet) Majority(within time.Duration) bool {
	present := map[tablestore.VMName]bool{
		f.self.VM: true,
	}
	for _, entry := range f.roster.Load().ring {
		present[entry.member.VM] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	listed, alive := 0, 0
	for _, vm := range f.listed {
		if vm.Service != "" {
			continue
		}
		listed++
		if present[vm.Name] {
			alive++
		}
	}
	connected := listed == 1 || time.Since(f.lastRemoteAnswer) < within
	return 2*alive > listed && connected
}
