// Package endpoint tracks the endpoints of each service, chooses one for each request and sends requests to them.
//
// An endpoint is leaving when its VM is about to end: from then on it gets no new work. A drain keeps new work from an
// endpoint for a limited time. The steward of an endpoint is the process that grants the endpoint's idle slots to batch
// work.
package endpoint

import (
	"net"
	"strconv"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/tablestore"
)

// ID identifies an endpoint's incarnation: a replacement at the same address has another id.
type ID string

// Endpoint is one model engine or plain service instance.
type Endpoint struct {
	ID            ID
	VM            tablestore.VMName
	Service       document.ServiceName
	Address       string
	Region        tablestore.Region
	FailureDomain tablestore.FailureDomain
	ChecksFence   bool
}

const (
	// HeaderRequestID carries the request's id to the endpoint and back.
	HeaderRequestID = "X-Request-Id"
	// HeaderClass carries whether a request is online or batch, for the records that an endpoint keeps.
	HeaderClass = "Rhubarbrudder-Class"
)

// FromVM returns the endpoint that runs on a listed VM, and whether there is one.
func FromVM(vm tablestore.VM) (Endpoint, bool) {
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

// IDOf returns the id of the endpoint that runs on a VM's incarnation.
func IDOf(vm tablestore.VM) ID {
	return ID(string(vm.Name) + "/" + vm.Incarnation)
}
