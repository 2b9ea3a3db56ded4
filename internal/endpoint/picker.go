package endpoint

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/request"
)

// Gateways lists the gateways alive; Version grows whenever they change.
type Gateways interface {
	Self() fleet.Member
	Alive(role fleet.Role) []fleet.Member
	Version() uint64
}

// Picker chooses an endpoint for a request.
type Picker struct {
	directory *Directory
	tracker   *Tracker
	gateways  Gateways
	mu        sync.RWMutex
	endpoints uint64
	members   uint64
	tables    map[document.ServiceName]*table
}

// table is what a picker works out once per change of endpoints or gateways; those of the own failure domain come first.
type table struct {
	endpoints []Endpoint
	states    []*state
	domain    int
	ring      ring
}

// NewPicker returns a picker for the process that gateways call self.
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
	fresh := endpoints == p.endpoints && members == p.members
	p.mu.RUnlock()
	if fresh && found != nil {
		return found
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tables == nil || endpoints != p.endpoints || members != p.members {
		p.tracker.forget(p.directory)
		p.tables = map[document.ServiceName]*table{}
		p.endpoints, p.members = endpoints, members
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
			built.domain = len(built.endpoints)
		}
	}
	built.ring = newRing(built.endpoints)
	return built
}

const (
	// prefixGain is how much the endpoint that requests with the same prompt prefix share is preferred, in online requests.
	prefixGain = 0.5
	// jitter is the most that chance adds to a cost, so that gateways that know the same choose differently.
	jitter = 0.2
)

// pick is one choice under way.
type pick struct {
	table *table
	tried map[ID]bool
	now   int64
	best  int
	least float64
}

// Pick returns the endpoint of the gateway's subset with the least cost, a little less for the one that requests with
// the same prompt prefix share; none that was tried yet, and an ejected one only if there is no other.
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
		shared, _ = c.table.ring.at(xxhash.Sum64String(shape.PrefixKey))
	}
	for at := range c.table.endpoints {
		extra := jitter * rand.Float64()
		if at == shared {
			extra -= prefixGain
		}
		c.consider(at, extra)
	}
	if c.best < 0 {
		c.scan(false)
	}
	if c.best < 0 {
		if found, ok := p.elsewhere(service, c); ok {
			return found, true
		}
		c.scan(true)
	}
	if c.best < 0 {
		return Endpoint{}, false
	}
	return c.table.endpoints[c.best], true
}

// elsewhere returns a usable endpoint outside the gateway's subset, the first found from a random place.
func (p *Picker) elsewhere(service document.ServiceName, c pick) (Endpoint, bool) {
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

// consider takes an endpoint if it may be used and is better than what was found.
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
	if at >= c.table.domain {
		cost += foreignCost
	}
	if c.best < 0 || cost < c.least {
		c.best, c.least = at, cost
	}
}

// scan takes the least loaded of the endpoints that were not tried and are ejected or not.
func (c *pick) scan(ejected bool) {
	for at, s := range c.table.states {
		if !c.tried[c.table.endpoints[at].ID] && (s.share(c.now) == 0) == ejected {
			c.take(at, s.cost(c.now))
		}
	}
}
