// Package steward grants batch work the slots of endpoints that online requests leave idle.
//
// Each endpoint has one steward, chosen by rendezvous hashing over the dispatchers alive. Two stewards at once
// are harmless: each keeps the reserve free, and online requests make both yield.
package steward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/fleet"
)

// Directory lists the endpoints that take new work.
type Directory interface {
	Serving(service document.ServiceName) []endpoint.Endpoint
}

// Members lists the processes alive.
type Members interface {
	Self() fleet.Member
	Alive(role fleet.Role) []fleet.Member
}

// Document is the view in force.
type Document interface {
	View() *document.View
}

// Steward grants slots of the endpoints that this process is the steward of.
type Steward struct {
	directory Directory
	members   Members
	document  Document
	mu        sync.Mutex
	slots     map[endpoint.ID]*slots
	changed   chan struct{}
}

type slots struct {
	online map[string]onlineCount
	grants []*Grant
}

type onlineCount struct {
	count int
	heard time.Time
}

// New returns a steward.
func New(directory Directory, members Members, doc Document) *Steward {
	return &Steward{
		directory: directory,
		members:   members,
		document:  doc,
		slots:     map[endpoint.ID]*slots{},
		changed:   make(chan struct{}),
	}
}

// Grant is the right to run one batch item at an endpoint until its context ends.
type Grant struct {
	Endpoint endpoint.Endpoint
	steward  *Steward
	ctx      context.Context
	cancel   context.CancelFunc
}

// Context ends when the slot is needed for an online request.
func (g *Grant) Context() context.Context {
	return g.ctx
}

// Release gives the slot back.
func (g *Grant) Release() {
	g.cancel()
	g.steward.release(g)
}

// waitPeriod is how often a waiting Acquire looks again without having been woken.
const waitPeriod = 50 * time.Millisecond

// ownerPatience is how long Acquire waits for an endpoint of the service to become this process's.
const ownerPatience = time.Second

// Acquire waits for an idle slot of the service, if it can be at an endpoint that is not in avoid.
// ErrNotOwner means that other processes are the stewards of all the service's endpoints.
func (s *Steward) Acquire(ctx context.Context, service document.ServiceName, avoid map[endpoint.ID]bool) (*Grant, error) {
	owner := time.Now()
	for {
		grant, changed := s.try(ctx, service, avoid)
		if grant != nil {
			return grant, nil
		}
		if len(s.owned(service)) > 0 {
			owner = time.Now()
		}
		if time.Since(owner) > ownerPatience {
			return nil, ErrNotOwner
		}
		timer := time.NewTimer(waitPeriod)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (s *Steward) try(ctx context.Context, service document.ServiceName, avoid map[endpoint.ID]bool) (*Grant, <-chan struct{}) {
	settings, ok := s.document.View().Services[service]
	if !ok {
		return nil, s.wait()
	}
	owned := s.owned(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.ContainsFunc(owned, func(candidate endpoint.Endpoint) bool { return !avoid[candidate.ID] }) {
		avoid = nil
	}
	var best endpoint.Endpoint
	most := 0
	for _, candidate := range owned {
		free := settings.Slots - settings.ReserveSlots - s.used(candidate.ID)
		if free > most && !avoid[candidate.ID] {
			best, most = candidate, free
		}
	}
	if most == 0 {
		return nil, s.changed
	}
	return s.grant(ctx, best), nil
}

func (s *Steward) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Steward) owned(service document.ServiceName) []endpoint.Endpoint {
	dispatchers := s.members.Alive(fleet.RoleDispatcher)
	self := s.members.Self().ID()
	var owned []endpoint.Endpoint
	for _, candidate := range s.directory.Serving(service) {
		owner, ok := fleet.Owner(dispatchers, string(candidate.ID))
		if ok && owner.ID() == self {
			owned = append(owned, candidate)
		}
	}
	return owned
}

// Prefers reports whether the work of the name, for the service, is best done by this process:
// a name belongs to an endpoint, and so to that endpoint's steward, which alone can grant its slots.
func (s *Steward) Prefers(service document.ServiceName, name string) bool {
	var best endpoint.ID
	var highest uint64
	for _, candidate := range s.directory.Serving(service) {
		weight := xxhash.Sum64String(string(candidate.ID) + "\x00" + name)
		if best == "" || weight > highest {
			best, highest = candidate.ID, weight
		}
	}
	owner, ok := fleet.Owner(s.members.Alive(fleet.RoleDispatcher), string(best))
	return ok && owner.ID() == s.members.Self().ID()
}

func (s *Steward) of(id endpoint.ID) *slots {
	found := s.slots[id]
	if found == nil {
		found = &slots{
			online: map[string]onlineCount{},
		}
		s.slots[id] = found
	}
	return found
}

// onlineKept is how long a gateway's count is believed without a new report.
const onlineKept = 2 * time.Second

func (s *Steward) used(id endpoint.ID) int {
	found := s.of(id)
	used := len(found.grants)
	for _, online := range found.online {
		if time.Since(online.heard) < onlineKept {
			used += online.count
		}
	}
	return used
}

func (s *Steward) grant(ctx context.Context, target endpoint.Endpoint) *Grant {
	grant := &Grant{
		Endpoint: target,
		steward:  s,
	}
	grant.ctx, grant.cancel = context.WithCancel(ctx)
	found := s.of(target.ID)
	found.grants = append(found.grants, grant)
	return grant
}

func (s *Steward) release(grant *Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.of(grant.Endpoint.ID)
	for i, held := range found.grants {
		if held == grant {
			found.grants = append(found.grants[:i], found.grants[i+1:]...)
			break
		}
	}
	s.wake()
}

func (s *Steward) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Report tells a steward how many online requests a gateway has at endpoints.
type Report struct {
	From   string
	Online map[endpoint.ID]int
}

// MethodReport is the name of the method that takes reports.
const MethodReport = "Steward.Report"

// Take takes a report in and yields the youngest grants of endpoints that have too few free slots.
func (s *Steward) Take(report Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, count := range report.Online {
		s.of(id).online[report.From] = onlineCount{
			count: count,
			heard: time.Now(),
		}
		s.yield(id)
	}
	s.wake()
}

// Leave ends every grant at endpoints that are leaving.
func (s *Steward) Leave(ids []endpoint.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		for _, grant := range s.of(id).grants {
			grant.cancel()
		}
	}
	s.wake()
}

// yield cancels the youngest grants that stand in the way of online requests.
func (s *Steward) yield(id endpoint.ID) {
	limit := s.limit(id)
	found := s.of(id)
	excess := s.used(id) - limit
	for i := len(found.grants) - 1; i >= 0 && excess > 0; i-- {
		found.grants[i].cancel()
		excess--
	}
}

func (s *Steward) limit(id endpoint.ID) int {
	view := s.document.View()
	for name, service := range view.Services {
		for _, candidate := range s.directory.Serving(name) {
			if candidate.ID == id {
				return service.Slots - service.ReserveSlots
			}
		}
	}
	return 0
}

// Service takes reports over net/rpc; it is registered as "Steward".
type Service struct {
	steward *Steward
}

// NewService returns the service of a steward.
func NewService(steward *Steward) *Service {
	return &Service{
		steward: steward,
	}
}

// Report takes a gateway's report.
func (s *Service) Report(args Report, _ *struct{}) error {
	s.steward.Take(args)
	return nil
}
