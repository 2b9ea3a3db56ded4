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
	// draws is how many endpoints are drawn to find one that may be used.
	draws = 4
	// prefixGain is how much the endpoint that requests with the same prompt prefix share is preferred, in online requests.
	prefixGain = 1.0
)

// pick is one choice under way.
type pick struct {
	table *table
	tried map[ID]bool
	now   int64
	best  int
	least float64
}

// Pick returns the best of an endpoint drawn from the own failure domain, one drawn from all, and the one that
// requests with the same prompt prefix share; none that was tried yet, and an ejected one only if there is no other.
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
	if shape.PrefixKey != "" {
		shared, _ := c.table.ring.at(xxhash.Sum64String(shape.PrefixKey))
		c.consider(shared, -prefixGain)
	}
	c.draw(c.table.domain)
	c.draw(len(c.table.endpoints))
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

// draw considers one usable endpoint of the first n.
func (c *pick) draw(n int) {
	if n == 0 {
		return
	}
	for range draws {
		if c.consider(rand.IntN(n), 0) {
			return
		}
	}
}

// consider takes an endpoint if it is better than what was found, and reports whether it may be used.
func (c *pick) consider(at int, extra float64) bool {
	if c.tried[c.table.endpoints[at].ID] {
		return false
	}
	s := c.table.states[at]
	share := s.share(c.now)
	if share < 1 && rand.Float64() >= share {
		return false
	}
	c.take(at, s.cost(c.now)+extra)
	return true
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
