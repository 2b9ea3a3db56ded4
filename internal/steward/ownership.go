package steward

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/fleet"
)

// Members lists the live processes. Version grows whenever they change.
type Members interface {
	Self() fleet.Member
	Alive(role fleet.Role) []fleet.Member
	Version() uint64
}

// Directory lists the endpoints that take new work. Version grows whenever they change.
type Directory interface {
	Serving(service document.ServiceName) []endpoint.Endpoint
	Find(id endpoint.ID) (endpoint.Endpoint, bool)
	ByHash(service document.ServiceName, hash uint64) (endpoint.Endpoint, bool)
	Version() uint64
}

// ownership determines the steward of each endpoint. A process owns the endpoints that it is the steward of.
// Results are cached until members or endpoints change.
type ownership struct {
	directory Directory
	members   Members
	mu        sync.Mutex
	// computed reports whether the caches below are valid for the versions of the directory and of the members.
	computed         bool
	directoryVersion uint64
	membersVersion   uint64
	// candidates holds the processes that can be stewards.
	candidates []candidate
	// owned holds the endpoints of each service that this process owns.
	owned map[document.ServiceName][]endpoint.Endpoint
	// stewards holds the addresses of the endpoints' stewards, which are empty for an endpoint without one.
	stewards map[endpoint.ID]string
}

// candidate is a live dispatcher.
type candidate struct {
	id      string
	address string
}

func newOwnership(directory Directory, members Members) *ownership {
	return &ownership{
		directory: directory,
		members:   members,
	}
}

// refresh clears the caches if members or endpoints have changed.
func (o *ownership) refresh() {
	directoryVersion, membersVersion := o.directory.Version(), o.members.Version()
	if o.computed && directoryVersion == o.directoryVersion && membersVersion == o.membersVersion {
		return
	}
	if !o.computed || membersVersion != o.membersVersion {
		o.candidates = o.candidates[:0]
		for _, member := range o.members.Alive(fleet.RoleDispatcher) {
			o.candidates = append(o.candidates, candidate{
				id:      member.ID(),
				address: member.Address,
			})
		}
	}
	o.computed, o.directoryVersion, o.membersVersion = true, directoryVersion, membersVersion
	o.owned = map[document.ServiceName][]endpoint.Endpoint{}
	o.stewards = map[endpoint.ID]string{}
}

// weight is the rendezvous hash weight of a member for a name. It must be the same as in fleet.Owner.
func weight(member, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(member)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// ownedOf returns the endpoints of a service that this process is the steward of.
func (o *ownership) ownedOf(service document.ServiceName) []endpoint.Endpoint {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refresh()
	owned, known := o.owned[service]
	if known {
		return owned
	}
	self := o.members.Self().ID()
	for _, served := range o.directory.Serving(service) {
		if o.hasHighestWeight(self, string(served.ID)) {
			owned = append(owned, served)
		}
	}
	o.owned[service] = owned
	return owned
}

// hasHighestWeight reports whether self is a candidate and no other has a higher weight for the name.
func (o *ownership) hasHighestWeight(self, name string) bool {
	own := weight(self, name)
	listed := false
	for _, other := range o.candidates {
		if other.id == self {
			listed = true
			continue
		}
		if weight(other.id, name) > own {
			return false
		}
	}
	return listed
}

// stewardOf returns the address of an endpoint's steward, and whether there is one.
func (o *ownership) stewardOf(id endpoint.ID) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refresh()
	if address, known := o.stewards[id]; known {
		return address, address != ""
	}
	var steward string
	var highest uint64
	for _, candidate := range o.candidates {
		found := weight(candidate.id, string(id))
		if steward == "" || found > highest {
			steward, highest = candidate.address, found
		}
	}
	o.stewards[id] = steward
	return steward, steward != ""
}
