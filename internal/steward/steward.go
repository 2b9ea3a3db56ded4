// Package steward grants batch work the slots of endpoints that online requests leave idle.
//
// Each endpoint has one steward, a dispatcher process that alone grants the endpoint's slots. It is chosen by
// rendezvous hashing over the live dispatchers. Two stewards at once are harmless: each sees the other's work in the
// engine's load, keeps the reserve free and yields to online requests. To yield is to revoke grants, the latest first.
package steward

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/explain"
)

// Document returns the current view of the configuration document.
type Document interface {
	View() *document.View
}

// Loads requests the load of an endpoint.
type Loads interface {
	Load(ctx context.Context, target endpoint.Endpoint) (endpoint.Load, error)
}

// Steward grants slots of the endpoints that this process is the steward of.
type Steward struct {
	directory Directory
	document  Document
	loads     Loads
	notes     *explain.Recorder
	ownership *ownership
	mu        sync.Mutex
	accounts  map[endpoint.ID]*account
	// waiting holds the waiters of each service, in the order of their arrival.
	waiting map[document.ServiceName][]*waiter
	// unowned holds the services with waiters of which this process is the steward of no endpoint, and since when.
	unowned map[document.ServiceName]time.Time
	// lastCheck is when the process was last known to run; detectPause compares it with the current time.
	lastCheck time.Time
}

// New returns a steward; notes may be nil.
func New(directory Directory, members Members, doc Document, loads Loads, notes *explain.Recorder) *Steward {
	return &Steward{
		directory: directory,
		document:  doc,
		loads:     loads,
		notes:     notes,
		ownership: newOwnership(directory, members),
		accounts:  map[endpoint.ID]*account{},
		waiting:   map[document.ServiceName][]*waiter{},
		unowned:   map[document.ServiceName]time.Time{},
		lastCheck: time.Now(),
	}
}

// Grant is the right to run one batch item at an endpoint until its context ends.
type Grant struct {
	Endpoint endpoint.Endpoint
	steward  *Steward
	ctx      context.Context
	cancel   context.CancelFunc
	// floor reports whether it is a floor grant, which was made although the endpoint had no free slot.
	floor bool
}

// Context is cancelled when the grant is revoked, for example because an online request needs the slot.
func (g *Grant) Context() context.Context {
	return g.ctx
}

// Release releases the slot.
func (g *Grant) Release() {
	g.cancel()
	g.steward.release(g)
}

// waiter is a call of Acquire that waits for a slot. If it gets none, err is set and nil is sent to granted.
type waiter struct {
	ctx     context.Context
	avoid   map[endpoint.ID]bool
	granted chan *Grant
	err     error
}

// refuse ends a wait without a grant.
func (w *waiter) refuse(err error) {
	w.err = err
	w.granted <- nil
}

// Acquire waits for an idle slot of the service at an endpoint that is not in avoid.
// ErrNotOwner means that this process is the steward of none of the service's endpoints, and ErrAvoided that it is the
// steward only of endpoints in avoid.
func (s *Steward) Acquire(ctx context.Context, service document.ServiceName, avoid map[endpoint.ID]bool) (*Grant, error) {
	w := &waiter{
		ctx:     ctx,
		avoid:   maps.Clone(avoid),
		granted: make(chan *Grant, 1),
	}
	s.mu.Lock()
	s.waiting[service] = append(s.waiting[service], w)
	s.fill(service, time.Now())
	s.mu.Unlock()
	select {
	case grant := <-w.granted:
		if grant == nil {
			return nil, w.err
		}
		return grant, nil
	case <-ctx.Done():
		s.abandon(service, w)
		return nil, ctx.Err()
	}
}

// abandon removes a waiter and releases a slot that it was granted in the meantime.
func (s *Steward) abandon(service document.ServiceName, w *waiter) {
	s.mu.Lock()
	s.remove(service, w)
	s.mu.Unlock()
	select {
	case grant := <-w.granted:
		if grant != nil {
			grant.Release()
		}
	default:
	}
}

func (s *Steward) remove(service document.ServiceName, w *waiter) {
	queue := s.waiting[service]
	for i, waiting := range queue {
		if waiting == w {
			s.waiting[service] = append(queue[:i], queue[i+1:]...)
			return
		}
	}
}

// Owns reports whether this process is the steward of an endpoint of the service.
func (s *Steward) Owns(service document.ServiceName) bool {
	return len(s.ownership.ownedOf(service)) > 0
}

// Prefers reports whether this process should do the service's work that has the given name. The name's hash selects an
// endpoint, and only that endpoint's steward can grant its slots.
func (s *Steward) Prefers(service document.ServiceName, name string) bool {
	best, ok := s.directory.ByHash(service, xxhash.Sum64String(name))
	if !ok {
		return false
	}
	steward, ok := s.ownership.stewardOf(best.ID)
	return ok && steward == s.ownership.members.Self().Address
}

func (s *Steward) account(id endpoint.ID, now time.Time) *account {
	found := s.accounts[id]
	if found == nil {
		found = newAccount(now)
		s.accounts[id] = found
	}
	return found
}

// fill grants free slots of a service to its waiters, first come first served.
func (s *Steward) fill(service document.ServiceName, now time.Time) {
	s.detectPause(now)
	settings, ok := s.document.View().Services[service]
	if !ok || len(s.waiting[service]) == 0 {
		return
	}
	owned := s.ownership.ownedOf(service)
	for i := 0; i < len(s.waiting[service]); {
		w := s.waiting[service][i]
		best, floor, ok := s.idlest(owned, w.avoid, settings, now)
		if ok {
			s.remove(service, w)
			s.grant(w, best, floor, now)
			continue
		}
		if len(w.avoid) == 0 {
			return
		}
		if allAvoided(owned, w.avoid) {
			s.remove(service, w)
			w.refuse(ErrAvoided)
			continue
		}
		i++
	}
}

// allAvoided reports whether there is at least one endpoint and the caller avoids all of them.
func allAvoided(owned []endpoint.Endpoint, avoid map[endpoint.ID]bool) bool {
	for _, candidate := range owned {
		if !avoid[candidate.ID] {
			return false
		}
	}
	return len(owned) > 0
}

// idlest returns the endpoint with the most free slots or, if none has any, one at which a floor grant is due.
func (s *Steward) idlest(owned []endpoint.Endpoint, avoid map[endpoint.ID]bool, settings document.Service, now time.Time) (best endpoint.Endpoint, floor, ok bool) {
	most := 0
	for _, candidate := range owned {
		a := s.account(candidate.ID, now)
		if avoid[candidate.ID] || !a.isOpen(now) {
			continue
		}
		if free := a.limit(settings, now) - a.used(now); free > most {
			best, most, floor = candidate, free, false
		}
		if most == 0 && s.floorDue(a, settings, now) {
			best, floor = candidate, true
		}
	}
	return best, floor, most > 0 || floor
}

// floorDue updates the floor credit of an endpoint and reports whether a floor grant is due.
func (s *Steward) floorDue(a *account, settings document.Service, now time.Time) bool {
	a.floor.settle(now, s.document.View().Policy.FloorShare*float64(settings.Slots), len(a.grants))
	return len(a.grants) == 0 && a.floor.due()
}

func (s *Steward) grant(w *waiter, target endpoint.Endpoint, floor bool, now time.Time) {
	grant := &Grant{
		Endpoint: target,
		steward:  s,
		floor:    floor,
	}
	grant.ctx, grant.cancel = context.WithCancel(w.ctx)
	a := s.account(target.ID, now)
	a.grants = append(a.grants, grant)
	a.record(now)
	w.granted <- grant
}

func (s *Steward) release(grant *Grant) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(grant.Endpoint.ID, now)
	if !a.release(grant) {
		return
	}
	a.record(now)
	s.fill(grant.Endpoint.Service, now)
}

// RevokeGrants revokes all grants at endpoints that are leaving.
func (s *Steward) RevokeGrants(ids []endpoint.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		if a := s.accounts[id]; a != nil {
			s.cancel(id, a, len(a.grants), "endpoint leaves")
		}
	}
}

// cancel revokes the latest n grants of an account. If the reason is yieldReason, floor grants are skipped while slot
// time is still owed to batch work.
func (s *Steward) cancel(id endpoint.ID, a *account, n int, reason string) {
	ended := 0
	for i := len(a.grants) - 1; i >= 0 && n > 0; i-- {
		grant := a.grants[i]
		if grant.floor && !a.floor.spent() && reason == yieldReason {
			continue
		}
		if grant.ctx.Err() == nil {
			grant.cancel()
			ended++
		}
		n--
	}
	if ended > 0 {
		s.notes.Note(explain.Subject(id), "batch stopped: "+reason)
	}
}

const yieldReason = "slots needed for online requests"

// yield revokes the latest grants whose slots are needed for online requests.
func (s *Steward) yield(id endpoint.ID, a *account, now time.Time) {
	target, ok := s.directory.Find(id)
	if !ok {
		return
	}
	settings := s.document.View().Services[target.Service]
	a.floor.settle(now, s.document.View().Policy.FloorShare*float64(settings.Slots), len(a.grants))
	s.cancel(id, a, a.used(now)-a.limit(settings, now), yieldReason)
}
