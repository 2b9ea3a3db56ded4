// Package inventory holds the endpoints that each service has, as far as this VM knows.
package inventory

import (
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/route"
)

type (
	// ID names one lifetime of an endpoint.
	ID string
	// Domain is a failure domain.
	Domain string
)

// Endpoint is a server of a service.
type Endpoint struct {
	ID      ID
	Service route.Service
	Address string
	Domain  Domain
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving says that it takes no new work.
	Leaving bool
	// Born tells restarts under one ID apart, in milliseconds of Unix time; zero if it was not said.
	Born int64
}

const (
	// lapseAfterLoss is how recently the store must have been away for a missing entry to be held: entries
	// expire while their owners can't renew them, and are back about two seconds after the store.
	lapseAfterLoss = 3 * time.Second
	// lapseHold is how long such an entry is held: shorter than the 2 s within which an endpoint that left for good
	// must get no new work any more.
	lapseHold = 1700 * time.Millisecond
	// goneKept is how long it is remembered that an endpoint is gone, for grants of VMs that do not know it yet.
	goneKept = 30 * time.Second
)

// Inventory is the set of known endpoints.
type Inventory struct {
	log *slog.Logger
	// sinceLoss returns how long ago the store was last away.
	sinceLoss func() time.Duration
	changed   func()
	mu        sync.Mutex
	known     map[ID]Endpoint
	lapsed    map[ID]time.Time
	gone      map[ID]time.Time
	loaded    bool
}

// New returns an empty inventory; changed is called after each change and must not block.
func New(sinceLoss func() time.Duration, changed func(), log *slog.Logger) *Inventory {
	return &Inventory{
		log:       log,
		sinceLoss: sinceLoss,
		changed:   changed,
		known:     map[ID]Endpoint{},
		lapsed:    map[ID]time.Time{},
		gone:      map[ID]time.Time{},
	}
}

// Replace takes the whole list.
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

// Put takes an endpoint that is new or changed.
func (i *Inventory) Put(e Endpoint) {
	i.mu.Lock()
	i.put(e)
	i.mu.Unlock()
	i.changed()
}

// Remove takes an endpoint off the list. It is kept for a while if the store was away just before.
func (i *Inventory) Remove(id ID) {
	i.mu.Lock()
	i.remove(id)
	i.mu.Unlock()
	i.changed()
}

// Loaded says whether the list was ever read.
func (i *Inventory) Loaded() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.loaded
}

// Left says that an endpoint leaves or is gone, as far as this VM knows; one that it never knew is not.
func (i *Inventory) Left(id ID) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire()
	if e, known := i.known[id]; known {
		return e.Leaving
	}
	_, gone := i.gone[id]
	return gone
}

// Of returns the endpoints of a service.
func (i *Inventory) Of(service route.Service) []Endpoint {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire()
	var of []Endpoint
	for _, e := range i.known {
		if e.Service == service {
			of = append(of, e)
		}
	}
	return of
}

func (i *Inventory) put(e Endpoint) {
	old, had := i.known[e.ID]
	delete(i.lapsed, e.ID)
	delete(i.gone, e.ID)
	if had && old == e {
		return
	}
	i.known[e.ID] = e
	i.log.Info("endpoint listed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "slots", e.Slots, "leaving", e.Leaving)
}

func (i *Inventory) remove(id ID) {
	if _, had := i.known[id]; !had {
		return
	}
	if _, held := i.lapsed[id]; held {
		return
	}
	if since := i.sinceLoss(); since < lapseAfterLoss {
		i.lapsed[id] = time.Now().Add(lapseHold)
		i.log.Info("endpoint lapsed", "endpoint", id, "store_away_ms_ago", since.Milliseconds())
		return
	}
	i.forget(id)
	i.log.Info("endpoint gone", "endpoint", id)
}

func (i *Inventory) forget(id ID) {
	now := time.Now()
	for old, at := range i.gone {
		if now.Sub(at) > goneKept {
			delete(i.gone, old)
		}
	}
	delete(i.known, id)
	i.gone[id] = now
}

// expire drops lapsed endpoints that did not come back.
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
