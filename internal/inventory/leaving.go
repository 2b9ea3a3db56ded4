package inventory

import (
	"time"

	"rhubarbrudder/internal/route"
)

const (
	// undatedTTL is how long an endpoint whose start time is unknown counts as leaving. Nothing else tells that it has
	// started again under its id.
	undatedTTL = 10 * time.Minute
	// maxLeft bounds the lifetimes that are remembered as leaving; beyond that, the oldest are forgotten.
	maxLeft = 4096
)

// departure is what an endpoint's answer has said: that the endpoint, of a service, leaves.
type departure struct {
	service route.Service
	at      time.Time
}

// SetLeaving records that an endpoint of the service takes no new work for the rest of the lifetime, and reports whether this
// was not known. Its entry in the list does not change that, nor does an outage of the store.
func (i *Inventory) SetLeaving(service route.Service, lifetime Lifetime) bool {
	if !i.addDeparture(service, lifetime) {
		return false
	}
	i.log.Info("endpoint leaves", "endpoint", lifetime.ID, "service", service, "born", lifetime.Born)
	i.changed()
	return true
}

func (i *Inventory) addDeparture(service route.Service, lifetime Lifetime) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.hasLeft(lifetime) {
		return false
	}
	if len(i.left) >= maxLeft {
		i.forgetOldestDeparture()
	}
	i.left[lifetime] = departure{
		service: service,
		at:      time.Now(),
	}
	return true
}

// Leaving returns the lifetimes of the service's endpoints that have said that they leave.
func (i *Inventory) Leaving(service route.Service) []Lifetime {
	i.mu.Lock()
	defer i.mu.Unlock()
	var lifetimes []Lifetime
	for lifetime, d := range i.left {
		if d.service == service && i.hasLeft(lifetime) {
			lifetimes = append(lifetimes, lifetime)
		}
	}
	return lifetimes
}

// hasLeft reports whether an endpoint has said that it leaves. The lock must be held.
func (i *Inventory) hasLeft(lifetime Lifetime) bool {
	d, said := i.left[lifetime]
	return said && (lifetime.Born != 0 || time.Since(d.at) < undatedTTL)
}

func (i *Inventory) forgetOldestDeparture() {
	var oldest Lifetime
	var at time.Time
	for lifetime, d := range i.left {
		if at.IsZero() || d.at.Before(at) {
			oldest, at = lifetime, d.at
		}
	}
	delete(i.left, oldest)
}
