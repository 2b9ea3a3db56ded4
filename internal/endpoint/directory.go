package endpoint

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/tablestore"
)

// leavingTTL is how long an incarnation stays marked as leaving after it was last listed as leaving or first reported
// by a peer.
const leavingTTL = time.Hour

// Directory holds the endpoints that take new work. An incarnation that was marked as leaving stays so for leavingTTL,
// even if a later VM list shows it as live.
type Directory struct {
	mu      sync.RWMutex
	version atomic.Uint64
	serving map[document.ServiceName][]Endpoint
	byID    map[ID]Endpoint
	rings   map[document.ServiceName]ring
	// leaving holds when each endpoint was last listed as leaving or first reported as such.
	leaving map[ID]time.Time
	// drains holds the drains in force. An endpoint that carries out an order takes no new work until its drain ends.
	drains  map[ID]drain
	listed  []tablestore.VM
	onLeave []func([]ID)
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		serving: map[document.ServiceName][]Endpoint{},
		leaving: map[ID]time.Time{},
	}
}

// OnLeave adds a function that is called with newly leaving endpoints. It must be called before the directory is used.
func (d *Directory) OnLeave(notify func([]ID)) {
	d.onLeave = append(d.onLeave, notify)
}

// Version grows whenever the endpoints that take new work change.
func (d *Directory) Version() uint64 {
	return d.version.Load()
}

// Update replaces the VM list. The new list may be older than the last one.
func (d *Directory) Update(vms []tablestore.VM) {
	now := time.Now()
	d.mu.Lock()
	d.listed = vms
	var newlyLeaving []ID
	for _, vm := range vms {
		if vm.State != tablestore.VMLeaving || vm.Service == "" {
			continue
		}
		id := IDOf(vm)
		if _, known := d.leaving[id]; !known {
			newlyLeaving = append(newlyLeaving, id)
		}
		d.leaving[id] = now
	}
	for id, since := range d.leaving {
		if now.Sub(since) > leavingTTL {
			delete(d.leaving, id)
		}
	}
	d.rebuild()
	d.mu.Unlock()
	d.notifyLeaving(newlyLeaving)
}

// MarkLeaving marks an endpoint as leaving.
func (d *Directory) MarkLeaving(id ID) {
	d.AddDepartures([]Departure{
		{
			ID: id,
		},
	})
}

// Departure means that an endpoint is leaving, and how long ago that became known.
type Departure struct {
	ID              ID
	AgeMilliseconds int64
}

// AddDepartures adds departures that a peer reported.
func (d *Directory) AddDepartures(departures []Departure) {
	now := time.Now()
	var newlyLeaving []ID
	d.mu.Lock()
	for _, departure := range departures {
		age := time.Duration(departure.AgeMilliseconds) * time.Millisecond
		if _, known := d.leaving[departure.ID]; known || age > leavingTTL {
			continue
		}
		d.leaving[departure.ID] = now.Add(-age)
		newlyLeaving = append(newlyLeaving, departure.ID)
	}
	if len(newlyLeaving) > 0 {
		d.rebuild()
	}
	d.mu.Unlock()
	d.notifyLeaving(newlyLeaving)
}

func (d *Directory) notifyLeaving(newlyLeaving []ID) {
	if len(newlyLeaving) == 0 {
		return
	}
	for _, notify := range d.onLeave {
		notify(newlyLeaving)
	}
}

// Departures returns the endpoints known to be leaving, in order of their ids.
func (d *Directory) Departures() []Departure {
	now := time.Now()
	d.mu.RLock()
	defer d.mu.RUnlock()
	departures := make([]Departure, 0, len(d.leaving))
	for id, since := range d.leaving {
		departures = append(departures, Departure{
			ID:              id,
			AgeMilliseconds: now.Sub(since).Milliseconds(),
		})
	}
	slices.SortFunc(departures, func(a, b Departure) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return departures
}

func (d *Directory) rebuild() {
	serving := map[document.ServiceName][]Endpoint{}
	for _, vm := range d.listed {
		found, ok := FromVM(vm)
		if _, leaving := d.leaving[found.ID]; !ok || leaving || time.Now().Before(d.drains[found.ID].until) {
			continue
		}
		serving[found.Service] = append(serving[found.Service], found)
	}
	changed := len(serving) != len(d.serving)
	for service, endpoints := range serving {
		slices.SortFunc(endpoints, func(a, b Endpoint) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
		changed = changed || !slices.Equal(endpoints, d.serving[service])
	}
	if !changed {
		return
	}
	d.serving = serving
	d.byID = map[ID]Endpoint{}
	d.rings = map[document.ServiceName]ring{}
	for service, endpoints := range serving {
		d.rings[service] = newRing(endpoints)
		for _, served := range endpoints {
			d.byID[served.ID] = served
		}
	}
	d.version.Add(1)
}

// Find returns an endpoint that takes new work, and whether there is one with the id.
func (d *Directory) Find(id ID) (Endpoint, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	found, ok := d.byID[id]
	return found, ok
}

// ByHash returns the service's endpoint to which consistent hashing maps the hash, and whether there is one. Few hashes
// move to another endpoint when endpoints come and go.
func (d *Directory) ByHash(service document.ServiceName, hash uint64) (Endpoint, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, ok := d.rings[service].lookup(hash)
	if !ok {
		return Endpoint{}, false
	}
	return d.serving[service][at], true
}

// Serving returns the endpoints of a service that take new work, in order of their ids. The caller must not modify the
// slice.
func (d *Directory) Serving(service document.ServiceName) []Endpoint {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.serving[service]
}
