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

// Document is the view in force.
type Document interface {
	View() *document.View
	Fresh() (*document.View, bool)
}

// Members lists the processes alive.
type Members interface {
	Self() fleet.Member
	Alive(role fleet.Role) []fleet.Member
}

// Caller calls a method of a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Issuer orders the engines of those services whose term it holds.
type Issuer struct {
	parts    Parts
	mu       sync.Mutex
	engines  map[document.ServiceName][]endpoint.Endpoint
	services map[document.ServiceName]bool
}

// Parts is what an issuer depends on.
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
		parts:    parts,
		engines:  map[document.ServiceName][]endpoint.Endpoint{},
		services: map[document.ServiceName]bool{},
	}
}

// Update takes in a reading of the VM list; leaving engines get no orders.
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

// Run contends for terms and issues orders until ctx ends.
func (i *Issuer) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(i.parts.Limits.Period)
	defer ticker.Stop()
	for {
		for name, service := range i.parts.Document.View().Services {
			if service.Kind != document.KindEngine || i.services[name] {
				continue
			}
			i.services[name] = true
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

// wants reports whether this process shall contend for the term of a service: whether the service is in the document
// and falls to it among the controllers alive.
func (i *Issuer) wants(name document.ServiceName) bool {
	view, fresh := i.parts.Document.Fresh()
	if _, ok := view.Services[name]; !ok || !fresh {
		return false
	}
	owner, ok := fleet.Owner(i.parts.Members.Alive(fleet.RoleController), "OrderTerm/"+string(name))
	return ok && owner.ID() == i.parts.Members.Self().ID()
}
