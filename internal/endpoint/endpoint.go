// Package endpoint knows the endpoints of each service, chooses between them and speaks to them.
package endpoint

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/platform"
)

// ID names an endpoint's incarnation: a replacement under the same address has another id.
type ID string

// Endpoint is one model engine or plain service instance.
type Endpoint struct {
	ID            ID
	VM            platform.VMName
	Service       document.ServiceName
	Address       string
	Region        platform.Region
	FailureDomain platform.FailureDomain
	ChecksFence   bool
}

// Load is what an endpoint reports of itself; it lags.
type Load struct {
	Running         int
	Waiting         int
	Slots           int
	AgeMilliseconds int64
}

const (
	// HeaderRequestID carries the request's id to the endpoint and back.
	HeaderRequestID = "X-Request-Id"
	// HeaderClass tells the endpoint's record whether a request is online or batch.
	HeaderClass = "Rhubarbrudder-Class"
)

// Of returns the endpoint that a VM of the list is, and whether it is one.
func Of(vm platform.VM) (Endpoint, bool) {
	if vm.Service == "" {
		return Endpoint{}, false
	}
	return Endpoint{
		ID:            IDOf(vm),
		VM:            vm.Name,
		Service:       document.ServiceName(vm.Service),
		Address:       net.JoinHostPort(vm.Address, strconv.Itoa(vm.Port)),
		Region:        vm.Region,
		FailureDomain: vm.FailureDomain,
		ChecksFence:   vm.ChecksFence,
	}, true
}

// IDOf returns the id of a VM's incarnation.
func IDOf(vm platform.VM) ID {
	return ID(string(vm.Name) + "/" + vm.Incarnation)
}

// Directory holds the endpoints that take new work; leaving is sticky for an incarnation.
type Directory struct {
	mu      sync.RWMutex
	serving map[document.ServiceName][]Endpoint
	leaving map[ID]bool
	listed  []platform.VM
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		serving: map[document.ServiceName][]Endpoint{},
		leaving: map[ID]bool{},
	}
}

// Update takes in a new reading of the VM list.
func (d *Directory) Update(vms []platform.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = vms
	listed := map[ID]bool{}
	for _, vm := range vms {
		listed[IDOf(vm)] = true
		if vm.State == platform.VMLeaving {
			d.leaving[IDOf(vm)] = true
		}
	}
	for id := range d.leaving {
		if !listed[id] {
			delete(d.leaving, id)
		}
	}
	d.rebuild()
}

// Leave marks an endpoint as leaving, however that was heard.
func (d *Directory) Leave(id ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving[id] = true
	d.rebuild()
}

// Leaving returns the endpoints known to be leaving, in order.
func (d *Directory) Leaving() []ID {
	d.mu.RLock()
	defer d.mu.RUnlock()
	ids := make([]ID, 0, len(d.leaving))
	for id := range d.leaving {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (d *Directory) rebuild() {
	serving := map[document.ServiceName][]Endpoint{}
	for _, vm := range d.listed {
		found, ok := Of(vm)
		if !ok || d.leaving[found.ID] {
			continue
		}
		serving[found.Service] = append(serving[found.Service], found)
	}
	for _, endpoints := range serving {
		slices.SortFunc(endpoints, func(a, b Endpoint) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	d.serving = serving
}

// Serving returns the endpoints of a service that take new work, in order of their ids. The caller must not change it.
func (d *Directory) Serving(service document.ServiceName) []Endpoint {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.serving[service]
}
