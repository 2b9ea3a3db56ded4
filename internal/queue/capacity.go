package queue

import (
	"math"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/fleet"
)

// Directory lists the endpoints that take new work.
type Directory interface {
	Serving(service document.ServiceName) []endpoint.Endpoint
}

// Peers reports how many online requests other gateways have in flight at an endpoint.
type Peers interface {
	PeersInFlight(id endpoint.ID) int
}

// Members lists the live processes.
type Members interface {
	Alive(role fleet.Role) []fleet.Member
}

// Document returns the current view of the configuration document.
type Document interface {
	View() *document.View
}

// Slots is a Capacity that counts the endpoints' slots: a gateway may use those that other gateways leave free, and at
// least an even share of all.
type Slots struct {
	directory Directory
	peers     Peers
	members   Members
	document  Document
	mu        sync.Mutex
	limits    map[document.ServiceName]cachedLimit
}

// cachedLimit is the last computed limit of a service and the time until which it is used.
type cachedLimit struct {
	requests int
	until    time.Time
}

const (
	// limitTTL is how long a computed limit is cached. limitTTLPerEndpoint is added for each endpoint, so that
	// computing limits takes a small share of the process's time however many endpoints there are.
	limitTTL            = 2 * time.Millisecond
	limitTTLPerEndpoint = 5 * time.Microsecond
	// peerReserveDivisor sets the reserve for busy peers: beyond its even share, a gateway leaves 1/peerReserveDivisor
	// of all slots to them.
	peerReserveDivisor = 8
)

// NewSlots returns the capacity of the endpoints in the directory.
func NewSlots(directory Directory, peers Peers, members Members, doc Document) *Slots {
	return &Slots{
		directory: directory,
		peers:     peers,
		members:   members,
		document:  doc,
		limits:    map[document.ServiceName]cachedLimit{},
	}
}

// Limit returns how many requests this gateway may have in flight at the service. A service without endpoints has no
// limit, so that its requests do not wait here and are refused at once.
func (s *Slots) Limit(service document.ServiceName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	last := s.limits[service]
	if now.Before(last.until) {
		return last.requests
	}
	serving := s.directory.Serving(service)
	computed := cachedLimit{
		requests: s.compute(service, serving),
		until:    now.Add(limitTTL + time.Duration(len(serving))*limitTTLPerEndpoint),
	}
	s.limits[service] = computed
	return computed.requests
}

func (s *Slots) compute(service document.ServiceName, serving []endpoint.Endpoint) int {
	if len(serving) == 0 {
		return math.MaxInt
	}
	slots := s.document.View().Services[service].Slots
	total := slots * len(serving)
	taken := 0
	for _, candidate := range serving {
		taken += min(slots, s.peers.PeersInFlight(candidate.ID))
	}
	share := total / max(1, len(s.members.Alive(fleet.RoleGateway)))
	free := total - taken
	if taken > 0 {
		// The peers' counts lag behind their real use, so part of what looks free is already taken by them.
		free -= total / peerReserveDivisor
	}
	return max(1, share, free)
}
