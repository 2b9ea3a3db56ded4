package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbrudder/internal/inventory"
)

// ConcurrencyReport is the run limit of an endpoint that is below its slots, or none any more, in a message.
type ConcurrencyReport struct {
	Endpoint inventory.Lifetime
	// Limit is the limit, or zero if the endpoint gets all its slots. Ceiling is how many runs it had when it rejected
	// another one, or zero.
	Limit   int
	Ceiling int
	// Ago is how long ago the limit changed.
	Ago time.Duration
}

// maxConcurrencyReports is how many limits a message holds at most; a steward sends the others with the next reply.
const maxConcurrencyReports = 64

// ObserveItem reports the time to the first event of a batch item to the steward, if it learns how many runs the endpoint
// takes.
func (s *Slot) ObserveItem(first time.Duration) {
	if s.learning {
		s.Observe(TroubleNone, first)
	}
}

// AdaptConcurrency makes the stewards adapt the run limits of endpoints to their answers. It must be called before their
// first use.
func (s *Stewards) AdaptConcurrency() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adaptive = true
}

// newPool returns a pool without endpoints. The lock must be held.
func (s *Stewards) newPool() *Pool {
	p := New()
	if s.adaptive {
		p.AdaptConcurrency()
	}
	return p
}

// noteConcurrency notes for each session which limits have changed. They are sent with the next reply. The lock must be
// held.
func (st *steward) noteConcurrency() {
	for _, lifetime := range st.pool.concurrencyChanges() {
		for _, sess := range st.sessions {
			sess.concurrency[lifetime] = true
		}
	}
}

// concurrencyChanges returns the endpoints whose limits have changed since the last call.
func (p *Pool) concurrencyChanges() []inventory.Lifetime {
	if p.adaptation == nil || len(p.adaptation.reports) == 0 {
		return nil
	}
	changes := slices.Collect(maps.Keys(p.adaptation.reports))
	clear(p.adaptation.reports)
	return changes
}

// registered returns the endpoints of which a VM is told when it registers: those whose limits are below their slots, and
// those for which the VM knows a limit.
func (p *Pool) registered(known []ConcurrencyReport) map[inventory.Lifetime]bool {
	endpoints := p.belowSlots()
	for _, report := range known {
		endpoints[report.Endpoint] = true
	}
	return endpoints
}

// belowSlots returns the endpoints whose limits are below their slots.
func (p *Pool) belowSlots() map[inventory.Lifetime]bool {
	below := map[inventory.Lifetime]bool{}
	for _, e := range p.byID {
		if e.belowSlots() {
			below[e.Lifetime()] = true
		}
	}
	return below
}

// concurrencyReports returns reports of the endpoints, as many as a message holds, and removes these from the set.
func (p *Pool) concurrencyReports(endpoints map[inventory.Lifetime]bool, now time.Time) []ConcurrencyReport {
	var reports []ConcurrencyReport
	for lifetime := range endpoints {
		if len(reports) == maxConcurrencyReports {
			break
		}
		delete(endpoints, lifetime)
		report := ConcurrencyReport{
			Endpoint: lifetime,
		}
		if e := p.endpoints[lifetime.ID]; e != nil && e.Born == lifetime.Born && e.belowSlots() {
			learnt := e.adaptive.limiter.learnt()
			report.Limit = learnt.Limit
			report.Ceiling = learnt.Ceiling
			if e.adaptive.changed.IsZero() {
				e.adaptive.changed = now
			}
			report.Ago = now.Sub(e.adaptive.changed)
		}
		reports = append(reports, report)
	}
	return reports
}

// takeOver applies the limits that earlier stewards have set, unless this one has changed them since.
func (p *Pool) takeOver(reports []ConcurrencyReport, now time.Time) {
	if p.adaptation == nil {
		return
	}
	for _, report := range reports {
		e := p.endpoints[report.Endpoint.ID]
		at := now.Add(-report.Ago)
		if e == nil || e.Born != report.Endpoint.Born || report.Limit <= 0 || !at.After(e.adaptive.changed) {
			continue
		}
		p.adapt(e, TroubleNone, now, func(l limiter) {
			l.restore(learntLimit{
				Limit:   report.Limit,
				Ceiling: report.Ceiling,
			}, now)
		})
		e.adaptive.changed = at
	}
}

// knownConcurrency is a run limit below the slots that a steward has told a VM, and when it changed.
type knownConcurrency struct {
	ConcurrencyReport
	at time.Time
}

// receiveConcurrency records the limits in a reply of the steward. The lock must be held.
func (c *Client) receiveConcurrency(reports []ConcurrencyReport, now time.Time) {
	for _, report := range reports {
		known, isKnown := c.belowSlots[report.Endpoint.ID]
		switch {
		case report.Limit > 0 && (isKnown || len(c.belowSlots) < maxLimits):
			c.belowSlots[report.Endpoint.ID] = knownConcurrency{
				ConcurrencyReport: report,
				at:                now.Add(-report.Ago),
			}
		case isKnown && known.Endpoint == report.Endpoint:
			delete(c.belowSlots, report.Endpoint.ID)
		}
	}
}

// concurrencyReports returns the latest limits that the VM knows, as many as a message holds. The lock must be held.
func (c *Client) concurrencyReports(now time.Time) []ConcurrencyReport {
	var reports []ConcurrencyReport
	for id, known := range c.belowSlots {
		report := known.ConcurrencyReport
		report.Ago = now.Sub(known.at)
		if report.Ago > limitTTL {
			delete(c.belowSlots, id)
			continue
		}
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b ConcurrencyReport) int {
		return cmp.Compare(a.Ago, b.Ago)
	})
	return reports[:min(len(reports), maxConcurrencyReports)]
}

// EndpointsBelowSlots returns how many endpoints have a run limit below their slots, as the steward has told.
func (c *Client) EndpointsBelowSlots() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.belowSlots)
}
