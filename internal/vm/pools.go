package vm

import (
	"context"
	"log/slog"
	"sync"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/roster"
	"rhubarbrudder/internal/route"
)

// pools holds a client for the pool of each service that was asked for.
type pools struct {
	self    pool.Member
	domain  inventory.Domain
	roster  *roster.Roster
	caller  pool.Caller
	local   *pool.Stewards
	log     *slog.Logger
	life    context.Context
	mu      sync.Mutex
	clients map[route.Service]*pool.Client
}

// Acquire waits for a slot at an endpoint of the service.
func (p *pools) Acquire(ctx context.Context, service route.Service, wish pool.Wish) (*pool.Slot, error) {
	return p.client(service).Acquire(ctx, wish)
}

// Join starts the clients of all services of a configuration, so that each VM has a session with each steward also before
// its first request: whoever is the steward looks after batch jobs.
func (p *pools) Join(config *route.Config) {
	for i := range config.Routes {
		for _, share := range config.Routes[i].Shares {
			p.client(share.Service)
		}
	}
}

// client returns the client of a service's pool and starts it if there is none.
func (p *pools) client(service route.Service) *pool.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[service]
	if c == nil {
		c = pool.NewClient(p.self, p.domain, service, p.roster, p.caller, p.local, p.log)
		p.clients[service] = c
		go c.Run(p.life)
	}
	return c
}

// Holds says whether this VM is the steward of any service, as it sees it.
func (p *pools) Holds() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		if c.Steward() == p.self.VM {
			return true
		}
	}
	return false
}
