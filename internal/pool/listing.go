package pool

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrudder/internal/inventory"
)

// SetEndpoints replaces the list of the service's endpoints. Endpoints that are no longer listed keep their runs but get
// no new ones.
func (p *Pool) SetEndpoints(list []inventory.Endpoint) {
	listed := make(map[inventory.ID]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		known := p.endpoints[e.ID]
		if known == nil {
			known = &endpoint{
				Endpoint:  e,
				allowance: p.listAllowance(e.Lifetime()),
			}
			p.endpoints[e.ID] = known
			p.listAdaptive(known)
			for _, r := range p.runs {
				if r.endpoint == e.ID && r.revoked.IsZero() {
					known.running++
				}
			}
		}
		if known.Born != e.Born {
			known.consecutiveFailures = 0
			known.trialLimit = 0
			known.backoffUntil = time.Time{}
			known.firstEventLatency = 0
			known.allowance = endpointAllowance{share: p.share}
		}
		restarted := known.Born != e.Born
		known.Endpoint = e
		if restarted {
			p.restartAdaptive(known)
		}
		known.gone = false
	}
	p.byID = p.byID[:0]
	for id, e := range p.endpoints {
		if !listed[id] {
			e.gone = true
		}
		if e.gone && e.running <= 0 {
			p.unlistAllowance(e)
			p.unlistAdaptive(e)
			delete(p.endpoints, id)
			continue
		}
		p.byID = append(p.byID, e)
	}
	p.adaptation.listed()
	slices.SortFunc(p.byID, func(a, b *endpoint) int {
		return cmp.Compare(a.ID, b.ID)
	})
}
