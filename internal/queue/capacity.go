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

// Peers tells what other gateways have in flight at an endpoint.
type Peers interface {
	PeersInFlight(id endpoint.ID) int
}

// Members lists the processes alive.
type Members interface {
	Alive(role fleet.Role) []fleet.Member
}

// Document is the view in force.
type Document interface {
	View() *document.View
}

// Slots is the capacity of the endpoints' slots that other gateways leave free, and at least an even share.
type Slots struct {
	directory Directory
	peers     Peers
	members   Members
	document  Document
	mu        sync.Mutex
	rooms     map[document.ServiceName]room
}

// room is what was counted last.
type room struct {
	requests int
	until    time.Time
}

const (
	// countKept is how long a count is kept, and countCost what is added for each endpoint, so that counting stays
	// a small share of the process's time however many there are.
	countKept = 2 * time.Millisecond
	countCost = 5 * time.Microsecond
	// peersSlack is the part of all slots, one in so many, that a gateway leaves to busy peers above its even share.
	peersSlack = 8
)

// NewSlots returns the capacity of the endpoints in the directory.
func NewSlots(directory Directory, peers Peers, members Members, doc Document) *Slots {
	return &Slots{
		directory: directory,
		peers:     peers,
		members:   members,
		document:  doc,
		rooms:     map[document.ServiceName]room{},
	}
}

// Room returns how many requests this gateway may have at the service. A service without endpoints has room for
// all, so that its requests are refused at once and do not wait.
func (s *Slots) Room(service document.ServiceName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	last := s.rooms[service]
	if now.Before(last.until) {
		return last.requests
	}
	serving := s.directory.Serving(service)
	counted := room{
		requests: s.count(service, serving),
		until:    now.Add(countKept + time.Duration(len(serving))*countCost),
	}
	s.rooms[service] = counted
	return counted.requests
}

func (s *Slots) count(service document.ServiceName, serving []endpoint.Endpoint) int {
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
		// What peers have rises again before it is heard: part of what looks free is theirs.
		free -= total / peersSlack
	}
	return max(1, share, free)
}
