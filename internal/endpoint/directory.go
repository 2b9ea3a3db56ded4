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

// leavingKept is how long an incarnation stays known as leaving after it was last listed or first heard of.
const leavingKept = time.Hour

// Directory holds the endpoints that take new work; leaving is sticky for an incarnation.
type Directory struct {
	mu      sync.RWMutex
	version atomic.Uint64
	serving map[document.ServiceName][]Endpoint
	byID    map[ID]Endpoint
	rings   map[document.ServiceName]ring
	leaving map[ID]time.Time
	// drained says until when endpoints take no new work because an order is being carried out.
	drained map[ID]drain
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

// OnLeave adds a function that is called with endpoints newly known to be leaving; it must come before use.
func (d *Directory) OnLeave(do func([]ID)) {
	d.onLeave = append(d.onLeave, do)
}

// Version grows whenever the endpoints that take new work change.
func (d *Directory) Version() uint64 {
	return d.version.Load()
}

// Update takes in a new reading of the VM list, which may be older than the last.
func (d *Directory) Update(vms []tablestore.VM) {
	now := time.Now()
	d.mu.Lock()
	d.listed = vms
	var news []ID
	for _, vm := range vms {
		if vm.State != tablestore.VMLeaving || vm.Service == "" {
			continue
		}
		id := IDOf(vm)
		if _, known := d.leaving[id]; !known {
			news = append(news, id)
		}
		d.leaving[id] = now
	}
	for id, heard := range d.leaving {
		if now.Sub(heard) > leavingKept {
			delete(d.leaving, id)
		}
	}
	d.rebuild()
	d.mu.Unlock()
	d.tell(news)
}

// Leave marks an endpoint as leaving, however that was heard.
func (d *Directory) Leave(id ID) {
	d.Hear([]Departure{
		{
			ID: id,
		},
	})
}

// Departure says that an endpoint is leaving, and for how long that has been known.
type Departure struct {
	ID              ID
	AgeMilliseconds int64
}

// Hear takes in departures that a peer knows.
func (d *Directory) Hear(departures []Departure) {
	now := time.Now()
	var news []ID
	d.mu.Lock()
	for _, departure := range departures {
		age := time.Duration(departure.AgeMilliseconds) * time.Millisecond
		if _, known := d.leaving[departure.ID]; known || age > leavingKept {
			continue
		}
		d.leaving[departure.ID] = now.Add(-age)
		news = append(news, departure.ID)
	}
	if len(news) > 0 {
		d.rebuild()
	}
	d.mu.Unlock()
	d.tell(news)
}

func (d *Directory) tell(news []ID) {
	if len(news) == 0 {
		return
	}
	for _, do := range d.onLeave {
		do(news)
	}
}

// Departures returns the endpoints known to be leaving, in order of their ids.
func (d *Directory) Departures() []Departure {
	now := time.Now()
	d.mu.RLock()
	defer d.mu.RUnlock()
	departures := make([]Departure, 0, len(d.leaving))
	for id, heard := range d.leaving {
		departures = append(departures, Departure{
			ID:              id,
			AgeMilliseconds: now.Sub(heard).Milliseconds(),
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
		if _, leaving := d.leaving[found.ID]; !ok || leaving || time.Now().Before(d.drained[found.ID].until) {
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

// ByHash returns the endpoint of a service that a hash belongs to; few hashes change hands when endpoints come and go.
func (d *Directory) ByHash(service document.ServiceName, hash uint64) (Endpoint, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, ok := d.rings[service].at(hash)
	if !ok {
		return Endpoint{}, false
	}
	return d.serving[service][at], true
}

// Serving returns the endpoints of a service that take new work, in order of their ids. The caller must not change it.
func (d *Directory) Serving(service document.ServiceName) []Endpoint {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.serving[service]
}
