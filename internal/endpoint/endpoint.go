// Package endpoint knows the endpoints of each service, chooses between them and speaks to them.
package endpoint

import (
	"net"
	"strconv"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/tablestore"
)

// ID names an endpoint's incarnation: a replacement under the same address has another id.
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
	// HeaderClass tells the endpoint's record whether a request is online or batch.
	HeaderClass = "Rhubarbrudder-Class"
)

// FromVM returns the endpoint that a VM of the list is, and whether it is one.
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

// IDOf returns the id of a VM's incarnation.
func IDOf(vm tablestore.VM) ID {
	return ID(string(vm.Name) + "/" + vm.Incarnation)
}
