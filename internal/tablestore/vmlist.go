package tablestore

import (
	"context"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/samber/oops"
)

// VMName is the name of a VM in the platform's list.
type VMName string

// Region is the name of a region.
type Region string

// FailureDomain is the name of a failure domain.
type FailureDomain string

// VMState is the state of a VM in the platform's list, which lags behind the actual state.
type VMState string

const (
	// VMLive is the state of a VM in use.
	VMLive VMState = "Live"
	// VMLeaving is the state of a VM that is about to be removed.
	VMLeaving VMState = "Leaving"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name VMName
	// Incarnation distinguishes a VM from its replacement under the same address.
	Incarnation   string
	Address       string
	Region        Region
	FailureDomain FailureDomain
	// Service is the service that an endpoint VM serves. It is empty for the VMs of this system.
	Service string
	// Port is the port that an endpoint VM listens on.
	Port  int
	State VMState
	// ChecksFence says that the endpoint refuses orders with an old fencing token.
	ChecksFence bool
}

// VMList is a client of the platform's list of VMs.
type VMList struct {
	base *sling.Sling
}

// NewVMList returns a client of the list at the URL.
func NewVMList(client *http.Client, url string) *VMList {
	return &VMList{
		base: sling.New().Client(client).Base(url),
	}
}

// VMs returns the list, which may be some seconds old.
func (l *VMList) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := l.base.New().Get("").Request()
	if err != nil {
		return nil, oops.In("tablestore").Wrap(err)
	}
	var vms []VM
	response, err := l.base.New().Do(req.WithContext(ctx), &vms, nil)
	if err != nil {
		return nil, readError(transportError(response, err))
	}
	if response.StatusCode != http.StatusOK {
		return nil, ErrUnavailable
	}
	return vms, nil
}
