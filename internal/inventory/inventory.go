// Package inventory holds the endpoints of each service, as far as this VM knows.
package inventory

import (
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/route"
)

type (
	// ID identifies an endpoint.
	ID string
	// Domain is the name of a failure domain.
	Domain string
)

// Endpoint is a server of a service.
type Endpoint struct {
	ID      ID
	Service route.Service
	Address string
	Domain  Domain
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// Leaving means that the endpoint takes no new work.
	Leaving bool
	// Born is the start time in milliseconds of Unix time, which distinguishes restarts under one ID; zero if unknown.
	Born int64
}

// Lifetime identifies one run of an endpoint's process.
type Lifetime struct {
	ID   ID
	Born int64
}

// Lifetime returns the lifetime that the endpoint is in.
func (e Endpoint) Lifetime() Lifetime {
	return Lifetime{
		ID:   e.ID,
		Born: e.Born,
	}
}

const (
	// outageGrace is the time after an outage of the store in which a missing entry does not mean that the endpoint is
	// gone: the endpoint is then kept for lapseHold. Entries expire during an outage because their owners can't renew
	// them, and return about two seconds after the store does.
	outageGrace = 3 * time.Second
	// lapseHold is how long such an endpoint is kept, from when this VM learns that the entry is missing. It is shorter
	// than the 2 s after which an endpoint that has really left must get no new work.
	lapseHold = 1700 * time.Millisecond
	// goneRetention is how long the ids of removed endpoints are kept, so that slots granted there by VMs that have not
	// seen the removal yet are rejected.
	goneRetention = 30 * time.Second
)

// Inventory is the set of known endpoints.
type Inventory struct {
	log *slog.Logger
	// sinceOutage returns how long ago the store was last unavailable.
	sinceOutage func() time.Duration
	changed     func()
	mu          sync.Mutex
	known       map[ID]Endpoint
	// lapsed holds the known endpoints whose entry is missing, with the time until which they are kept.
	lapsed map[ID]time.Time
	// gone holds the removed endpoints.
	gone map[ID]removal
	// left holds the lifetimes of endpoints that have said in an answer that they leave.
	left   map[Lifetime]departure
	loaded bool
}

// removal is when an endpoint was removed from the list, and which lifetime was listed last.
type removal struct {
	born    int64
	leaving bool
	at      time.Time
}

// New returns an empty inventory. The function changed is called after each call of Replace, Put or
// Remove, and when an endpoint is found to leave. It must not block.
func New(sinceOutage func() time.Duration, changed func(), log *slog.Logger) *Inventory {
	return &Inventory{
		log:         log,
		sinceOutage: sinceOutage,
		changed:     changed,
		known:       map[ID]Endpoint{},
		lapsed:      map[ID]time.Time{},
		gone:        map[ID]removal{},
		left:        map[Lifetime]departure{},
	}
}

// Replace replaces the list. Endpoints that are no longer listed are removed in the same way as by Remove.
func (i *Inventory) Replace(endpoints []Endpoint) {
	i.mu.Lock()
	listed := make(map[ID]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = true
		i.put(e)
	}
	for id := range i.known {
		if !listed[id] {
			i.remove(id)
		}
	}
	i.loaded = true
	i.mu.Unlock()
	i.changed()
}

// Put adds or updates an endpoint.
func (i *Inventory) Put(e Endpoint) {
	i.Apply([]Update{
		{
			ID:       e.ID,
			Endpoint: e,
		},
	})
}

// Remove removes an endpoint. If the store was unavailable shortly before, the endpoint is kept for lapseHold.
func (i *Inventory) Remove(id ID) {
	i.Apply([]Update{
		{
			ID:      id,
			Removed: true,
		},
	})
}

// Update is a change of one endpoint.
type Update struct {
	ID ID
	// Endpoint is not set if Removed is.
	Endpoint Endpoint
	Removed  bool
}

// Apply applies updates in their order, as Put and Remove do. The pools are told once, because they take in the whole list each time.
func (i *Inventory) Apply(updates []Update) {
	i.mu.Lock()
	for _, update := range updates {
		if update.Removed {
			i.remove(update.ID)
		} else {
			i.put(update.Endpoint)
		}
	}
	i.mu.Unlock()
	i.changed()
}

// Loaded reports whether the list has been read at least once.
func (i *Inventory) Loaded() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.loaded
}

// LeavingOrGone reports whether an endpoint has left, is leaving or is gone in the lifetime, as far as this VM knows. It returns
// false for unknown endpoints, and for a lifetime that is later than what this VM knows.
func (i *Inventory) LeavingOrGone(lifetime Lifetime) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire()
	if i.hasLeft(lifetime) {
		return true
	}
	if e, known := i.known[lifetime.ID]; known {
		return e.Leaving && e.Born >= lifetime.Born
	}
	removed, gone := i.gone[lifetime.ID]
	return gone && removed.born >= lifetime.Born
}

// ForService returns the endpoints of a service. Those that have said that they leave are marked as leaving, whatever their
// entry says.
func (i *Inventory) ForService(service route.Service) []Endpoint {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire()
	var endpoints []Endpoint
	for _, e := range i.known {
		if e.Service == service {
			e.Leaving = e.Leaving || i.hasLeft(e.Lifetime())
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

func (i *Inventory) put(e Endpoint) {
	old, wasKnown := i.known[e.ID]
	e.Leaving = e.Leaving || i.drains(e.Lifetime())
	delete(i.lapsed, e.ID)
	delete(i.gone, e.ID)
	if wasKnown && old == e {
		return
	}
	i.known[e.ID] = e
	i.log.Info("endpoint listed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "slots", e.Slots, "leaving", e.Leaving, "born", e.Born)
}

// drains reports whether the list has said before that the endpoint leaves in the lifetime. An entry that says otherwise later was
// written earlier. The lock must be held.
func (i *Inventory) drains(lifetime Lifetime) bool {
	if lifetime.Born == 0 {
		return false
	}
	if e, known := i.known[lifetime.ID]; known {
		return e.Leaving && e.Born == lifetime.Born
	}
	removed := i.gone[lifetime.ID]
	return removed.leaving && removed.born == lifetime.Born
}

func (i *Inventory) remove(id ID) {
	if _, wasKnown := i.known[id]; !wasKnown {
		return
	}
	if _, lapsed := i.lapsed[id]; lapsed {
		return
	}
	if since := i.sinceOutage(); since < outageGrace {
		i.lapsed[id] = time.Now().Add(lapseHold)
		// The endpoint is still used until the hold ends.
		i.log.Info("endpoint lapsed", "endpoint", id, "store_away_ms_ago", since.Milliseconds())
		return
	}
	i.forget(id)
	i.log.Info("endpoint gone", "endpoint", id)
}

func (i *Inventory) forget(id ID) {
	now := time.Now()
	for old, removed := range i.gone {
		if now.Sub(removed.at) > goneRetention {
			delete(i.gone, old)
		}
	}
	i.gone[id] = removal{
		born:    i.known[id].Born,
		leaving: i.known[id].Leaving,
		at:      now,
	}
	delete(i.known, id)
}

// expire removes lapsed endpoints that were not listed again within lapseHold.
func (i *Inventory) expire() {
	if len(i.lapsed) == 0 {
		return
	}
	now := time.Now()
	for id, until := range i.lapsed {
		if now.After(until) {
			delete(i.lapsed, id)
			i.forget(id)
			i.log.Info("endpoint gone", "endpoint", id, "lapsed", true)
		}
	}
}
