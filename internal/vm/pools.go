package vm

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/quarantine"
	"rhubarbrudder/internal/roster"
	"rhubarbrudder/internal/route"
)

// pools holds the pool clients, one for each service that has been used.
type pools struct {
	self       pool.Member
	domain     inventory.Domain
	roster     *roster.Roster
	caller     pool.Caller
	local      *pool.Stewards
	quarantine *quarantine.List
	log        *slog.Logger
	baseCtx    context.Context
	mu         sync.Mutex
	clients    map[route.Service]*pool.Client
}

// Acquire waits for a slot at an endpoint of the service.
func (p *pools) Acquire(ctx context.Context, service route.Service, request pool.SlotRequest) (*pool.Slot, error) {
	return p.client(service).Acquire(ctx, request)
}

// StartClients starts the clients of all services of a configuration. Each VM thus has a session with each steward, the
// VM that grants a service's slots, before its first request. Stewards also supervise the batch jobs.
func (p *pools) StartClients(config *route.Config) {
	for i := range config.Routes {
		for _, share := range config.Routes[i].Shares {
			p.client(share.Service)
		}
	}
}

// client returns the client of a service's pool, which it creates and starts if there is none yet.
func (p *pools) client(service route.Service) *pool.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[service]
	if c == nil {
		c = pool.NewClient(p.self, p.domain, service, p.roster, p.caller, p.local, p.quarantine, p.log)
		p.clients[service] = c
		go c.Run(p.baseCtx)
	}
	return c
}

// LimitedEndpoints returns how many endpoints have named a limit in their latest answer to this VM, within the given time.
func (p *pools) LimitedEndpoints(within time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	limited := 0
	for _, c := range p.clients {
		limited += c.LimitedEndpoints(within)
	}
	return limited
}

// EndpointsBelowSlots returns how many endpoints have a run limit below their slots, as the stewards have told.
func (p *pools) EndpointsBelowSlots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	below := 0
	for _, c := range p.clients {
		below += c.EndpointsBelowSlots()
	}
	return below
}

// IsSteward reports whether this VM considers itself the steward of any service.
func (p *pools) IsSteward() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		if c.Steward() == p.self.VM {
			return true
		}
	}
	return false
}

// tableWait bounds how long after its start a VM that has not read the roster or the quarantine is no steward.
const tableWait = 500 * time.Millisecond

// stewardInventory is the inventory as stewards see it. It counts as loaded only when the roster is as well: a VM that
// knows the endpoints and no other VM would be its own steward, and grant slots that others hold. So must be the
// quarantine, as a steward would otherwise grant slots to requests that crash endpoints.
type stewardInventory struct {
	*inventory.Inventory
	roster     *roster.Roster
	quarantine *quarantine.List
	started    time.Time
}

// Loaded reports whether this VM can be a steward.
func (i stewardInventory) Loaded() bool {
	return i.Inventory.Loaded() && (i.roster.Loaded() && i.quarantine.Loaded() || time.Since(i.started) > tableWait)
}
