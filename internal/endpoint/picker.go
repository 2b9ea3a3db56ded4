package endpoint

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/request"
)

// Gateways lists the live gateways. Version grows whenever they change.
type Gateways interface {
	Self() fleet.Member
	Alive(role fleet.Role) []fleet.Member
	Version() uint64
}

// Picker chooses an endpoint for a request.
type Picker struct {
	directory        *Directory
	tracker          *Tracker
	gateways         Gateways
	mu               sync.RWMutex
	endpointsVersion uint64
	membersVersion   uint64
	tables           map[document.ServiceName]*table
}

// table holds the endpoints that a picker may choose for a service; those of its own failure domain come first. It is
// built anew whenever endpoints or gateways change.
type table struct {
	endpoints      []Endpoint
	states         []*state
	ownDomainCount int
	ring           ring
}

// NewPicker returns a picker for the process that gateways.Self returns.
func NewPicker(directory *Directory, tracker *Tracker, gateways Gateways) *Picker {
	return &Picker{
		directory: directory,
		tracker:   tracker,
		gateways:  gateways,
	}
}

func (p *Picker) table(service document.ServiceName) *table {
	endpoints, members := p.directory.Version(), p.gateways.Version()
	p.mu.RLock()
	found := p.tables[service]
	fresh := endpoints == p.endpointsVersion && members == p.membersVersion
	p.mu.RUnlock()
	if fresh && found != nil {
		return found
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tables == nil || endpoints != p.endpointsVersion || members != p.membersVersion {
		p.tracker.forget(p.directory)
		p.tables = map[document.ServiceName]*table{}
		p.endpointsVersion, p.membersVersion = endpoints, members
	}
	p.tables[service] = p.build(service)
	return p.tables[service]
}

func (p *Picker) build(service document.ServiceName) *table {
	self := p.gateways.Self()
	chosen := subset(p.directory.Serving(service), p.gateways.Alive(fleet.RoleGateway), self)
	built := &table{}
	for _, own := range []bool{true, false} {
		for _, candidate := range chosen {
			if (candidate.FailureDomain == self.FailureDomain) == own {
				built.endpoints = append(built.endpoints, candidate)
				built.states = append(built.states, p.tracker.state(candidate.ID))
			}
		}
		if own {
			built.ownDomainCount = len(built.endpoints)
		}
	}
	built.ring = newRing(built.endpoints)
	return built
}

const (
	// prefixBonus is how much cheaper the endpoint is that all requests with the same prompt prefix prefer, in units of
	// one online request.
	prefixBonus = 0.5
	// jitter is the largest random addition to a cost, so that gateways with the same counts choose differently.
	jitter = 0.2
)

// pick is the state of one choice.
type pick struct {
	table *table
	tried map[ID]bool
	now   int64
	// best is the index of the endpoint with the least cost so far, or -1.
	best  int
	least float64
}

// Pick returns the endpoint of the gateway's subset with the least cost. The endpoint that requests with the same
// prompt prefix share costs a little less. Endpoints already tried are never returned, and ejected ones only if there
// is no other.
func (p *Picker) Pick(service document.ServiceName, shape request.Shape, tried map[ID]bool) (Endpoint, bool) {
	c := pick{
		table: p.table(service),
		tried: tried,
		now:   p.tracker.now(),
		best:  -1,
	}
	if len(c.table.endpoints) == 0 {
		return Endpoint{}, false
	}
	shared := -1
	if shape.PrefixKey != "" {
		shared, _ = c.table.ring.lookup(xxhash.Sum64String(shape.PrefixKey))
	}
	for at := range c.table.endpoints {
		extra := jitter * rand.Float64()
		if at == shared {
			extra -= prefixBonus
		}
		c.consider(at, extra)
	}
	if c.best < 0 {
		c.scan(false)
	}
	if c.best < 0 {
		if found, ok := p.pickFromAll(service, c); ok {
			return found, true
		}
		c.scan(true)
	}
	if c.best < 0 {
		return Endpoint{}, false
	}
	return c.table.endpoints[c.best], true
}

// pickFromAll returns the first usable endpoint among all of the service's, also outside the subset, from a random
// start.
func (p *Picker) pickFromAll(service document.ServiceName, c pick) (Endpoint, bool) {
	all := p.directory.Serving(service)
	if len(all) <= len(c.table.endpoints) {
		return Endpoint{}, false
	}
	start := rand.IntN(len(all))
	for i := range all {
		candidate := all[(start+i)%len(all)]
		if !c.tried[candidate.ID] && p.tracker.state(candidate.ID).share(c.now) > 0 {
			return candidate, true
		}
	}
	return Endpoint{}, false
}

// consider selects an endpoint if it may be used and costs less than the best so far. An endpoint that recovers from an
// ejection is skipped at random, according to its share.
func (c *pick) consider(at int, extra float64) {
	if c.tried[c.table.endpoints[at].ID] {
		return
	}
	s := c.table.states[at]
	share := s.share(c.now)
	if share < 1 && rand.Float64() >= share {
		return
	}
	c.take(at, s.cost(c.now)+extra)
}

func (c *pick) take(at int, cost float64) {
	if at >= c.table.ownDomainCount {
		cost += otherDomainCost
	}
	if c.best < 0 || cost < c.least {
		c.best, c.least = at, cost
	}
}

// scan selects the least loaded untried endpoint, either among the ejected ones or among the others.
func (c *pick) scan(ejected bool) {
	for at, s := range c.table.states {
		if !c.tried[c.table.endpoints[at].ID] && (s.share(c.now) == 0) == ejected {
			c.take(at, s.cost(c.now))
		}
	}
}
