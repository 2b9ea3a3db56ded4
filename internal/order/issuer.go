package order

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/explain"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/tablestore"
)

// Document provides the view of the configuration document that is in force.
type Document interface {
	View() *document.View
	Fresh() (*document.View, bool)
}

// Members lists the processes that are alive.
type Members interface {
	Self() fleet.Member
	Alive(role fleet.Role) []fleet.Member
}

// Caller calls a method of a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Issuer sends orders to the engines of the services whose term, a lease (see the package comment), this process holds.
type Issuer struct {
	parts   Parts
	mu      sync.Mutex
	engines map[document.ServiceName][]endpoint.Endpoint
	// started holds the services that have a worker.
	started map[document.ServiceName]bool
}

// Parts are the dependencies of an issuer.
type Parts struct {
	Table    Table
	Document Document
	Members  Members
	Caller   Caller
	Limits   Limits
	// Notes may be nil.
	Notes *explain.Recorder
	Log   *slog.Logger
}

// New returns an issuer that holds no term.
func New(parts Parts) *Issuer {
	return &Issuer{
		parts:   parts,
		engines: map[document.ServiceName][]endpoint.Endpoint{},
		started: map[document.ServiceName]bool{},
	}
}

// Update replaces the known engines with those on the VM list. Engines on VMs that are leaving get no orders.
func (i *Issuer) Update(vms []tablestore.VM) {
	engines := map[document.ServiceName][]endpoint.Endpoint{}
	for _, vm := range vms {
		found, ok := endpoint.FromVM(vm)
		if ok && vm.State != tablestore.VMLeaving {
			engines[found.Service] = append(engines[found.Service], found)
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.engines = engines
}

func (i *Issuer) enginesOf(service document.ServiceName) []endpoint.Endpoint {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.engines[service]
}

// Run runs a worker for each engine service until ctx ends. The workers compete for terms and send orders.
func (i *Issuer) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(i.parts.Limits.Period)
	defer ticker.Stop()
	for {
		for name, service := range i.parts.Document.View().Services {
			if service.Kind != document.KindEngine || i.started[name] {
				continue
			}
			i.started[name] = true
			worker := newWorker(i, name)
			group.Go(func() {
				worker.run(ctx)
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// wantsTerm reports whether this process should compete for the term of a service: the service must be in the document,
// the document must be fresh, and the process must be the service's owner among the controllers that are alive.
func (i *Issuer) wantsTerm(name document.ServiceName) bool {
	view, fresh := i.parts.Document.Fresh()
	if _, ok := view.Services[name]; !ok || !fresh {
		return false
	}
	owner, ok := fleet.Owner(i.parts.Members.Alive(fleet.RoleController), "OrderTerm/"+string(name))
	return ok && owner.ID() == i.parts.Members.Self().ID()
}
