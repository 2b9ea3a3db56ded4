// Package fleet knows the VMs and processes of the system that are alive.
package fleet

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrudder/internal/platform"
)

// Role says what a process does.
type Role string

const (
	// RoleGateway serves callers.
	RoleGateway Role = "Gateway"
	// RoleDispatcher runs batch jobs.
	RoleDispatcher Role = "Dispatcher"
	// RoleController serves operators.
	RoleController Role = "Controller"
)

// Roles lists the roles.
func Roles() []Role {
	return []Role{RoleGateway, RoleDispatcher, RoleController}
}

// Member is a process of the system.
type Member struct {
	Role          Role
	VM            platform.VMName
	Incarnation   string
	Address       string
	Region        platform.Region
	FailureDomain platform.FailureDomain
}

// ID names the member's incarnation.
func (m Member) ID() string {
	return string(m.Role) + "/" + string(m.VM) + "/" + m.Incarnation
}

// Lister reads the platform's VM list.
type Lister interface {
	VMs(ctx context.Context) ([]platform.VM, error)
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
	mu     sync.RWMutex
	listed []platform.VM
	alive  map[string]heartbeat
	leave  map[string]bool
	onList []func([]platform.VM)
	// version grows with each change of the members alive.
	version atomic.Uint64
}

type heartbeat struct {
	member Member
	heard  time.Time
}

// New returns a fleet seen from the member self.
func New(self Member, ports Ports, lister Lister, caller Caller, log *slog.Logger) *Fleet {
	return &Fleet{
		self:   self,
		ports:  ports,
		lister: lister,
		caller: caller,
		log:    log,
		alive:  map[string]heartbeat{},
		leave:  map[string]bool{},
	}
}

// Self returns the member this process is.
func (f *Fleet) Self() Member {
	return f.self
}

// OnList adds a function that is called with each reading of the VM list; it must come before Run.
func (f *Fleet) OnList(do func([]platform.VM)) {
	f.onList = append(f.onList, do)
}

// Refresh reads the VM list once.
func (f *Fleet) Refresh(ctx context.Context) error {
	vms, err := f.lister.VMs(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.listed = vms
	f.mu.Unlock()
	for _, do := range f.onList {
		do(vms)
	}
	return nil
}

// suspectAfter is how many periods without a heartbeat make a member dead.
const suspectAfter = 4

// Run reads the VM list and exchanges heartbeats until ctx ends.
func (f *Fleet) Run(ctx context.Context, listPeriod, heartbeatPeriod time.Duration) error {
	list := time.NewTicker(listPeriod)
	defer list.Stop()
	beat := time.NewTicker(heartbeatPeriod)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-list.C:
			if err := f.Refresh(ctx); err != nil && ctx.Err() == nil {
				f.log.Warn("vm list unreadable", "err", err)
			}
		case <-beat.C:
			f.beat(ctx, heartbeatPeriod)
		}
	}
}

// Beat is a heartbeat; it carries who is leaving.
type Beat struct {
	From    Member
	Leaving []string
}

// MethodBeat is the name of the heartbeat's method.
const MethodBeat = "Fleet.Beat"

func (f *Fleet) beat(ctx context.Context, period time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	var group sync.WaitGroup
	for _, member := range f.Listed() {
		if member.Address == f.self.Address {
			continue
		}
		group.Go(func() {
			var answer Beat
			err := f.caller.Call(ctx, member.Address, MethodBeat, f.ownBeat(), &answer)
			if err == nil {
				f.heard(answer)
			}
		})
	}
	group.Wait()
	f.expire(suspectAfter * period)
}

func (f *Fleet) ownBeat() Beat {
	f.mu.RLock()
	defer f.mu.RUnlock()
	beat := Beat{
		From: f.self,
	}
	for id := range f.leave {
		beat.Leaving = append(beat.Leaving, id)
	}
	return beat
}

func (f *Fleet) heard(beat Beat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.alive[beat.From.ID()]; !known {
		f.version.Add(1)
	}
	f.alive[beat.From.ID()] = heartbeat{
		member: beat.From,
		heard:  time.Now(),
	}
	for _, id := range beat.Leaving {
		if !f.leave[id] {
			f.version.Add(1)
		}
		f.leave[id] = true
	}
}

func (f *Fleet) expire(after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, beat := range f.alive {
		if time.Since(beat.heard) > after {
			f.log.Info("member lost", "member", id)
			delete(f.alive, id)
			f.version.Add(1)
		}
	}
}

// Leave marks this process as leaving; peers hear of it with the next heartbeat.
func (f *Fleet) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leave[f.self.ID()] = true
	f.version.Add(1)
}

// Listed returns every process that the VM list lets expect.
func (f *Fleet) Listed() []Member {
	f.mu.RLock()
	defer f.mu.RUnlock()
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

// Version grows whenever what Alive returns changes.
func (f *Fleet) Version() uint64 {
	return f.version.Load()
}

// Alive returns the processes of a role that were heard lately and do not leave, this one among them, in order of their ids.
func (f *Fleet) Alive(role Role) []Member {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var members []Member
	if f.self.Role == role && !f.leave[f.self.ID()] {
		members = append(members, f.self)
	}
	for id, beat := range f.alive {
		if beat.member.Role == role && !f.leave[id] {
			members = append(members, beat.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Compare(a.ID(), b.ID())
	})
	return members
}

// Owner returns the member with the highest rendezvous weight for the name, and whether there is any.
func Owner(members []Member, name string) (Member, bool) {
	var owner Member
	var highest uint64
	found := false
	for _, member := range members {
		weight := xxhash.Sum64String(member.ID() + "\x00" + name)
		if !found || weight > highest {
			owner, highest, found = member, weight, true
		}
	}
	return owner, found
}

// Service answers heartbeats over net/rpc.
type Service struct {
	fleet *Fleet
}

// NewService returns the service of a fleet, to be registered as "Fleet".
func NewService(fleet *Fleet) *Service {
	return &Service{
		fleet: fleet,
	}
}

// Beat takes a heartbeat and answers with one.
func (s *Service) Beat(args Beat, reply *Beat) error {
	s.fleet.heard(args)
	*reply = s.fleet.ownBeat()
	return nil
}
