package allowance

import (
	"sync"
	"time"

	"rhubarbrudder/internal/route"
)

// minPrune is the number of refusals above which those that have ended are removed.
const minPrune = 64

// Refusals holds the organisations whose requests a VM refuses by itself, after a steward has refused one. It is safe for
// use by several goroutines.
type Refusals struct {
	mu    sync.Mutex
	until map[route.OrganisationID]time.Time
	// pruneAt is the number of entries at which those that have ended are removed.
	pruneAt int
}

// NewRefusals returns an empty set.
func NewRefusals() *Refusals {
	return &Refusals{
		until:   map[route.OrganisationID]time.Time{},
		pruneAt: minPrune,
	}
}

// Add refuses an organisation's requests until a time.
func (r *Refusals) Add(id route.OrganisationID, until, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.until[id]) {
		r.until[id] = until
	}
	if len(r.until) < r.pruneAt {
		return
	}
	for known, ends := range r.until {
		if !ends.After(now) {
			delete(r.until, known)
		}
	}
	r.pruneAt = max(minPrune, 2*len(r.until))
}

// Remaining returns for how long an organisation's requests are still refused, or zero.
func (r *Refusals) Remaining(id route.OrganisationID, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, refused := r.until[id]
	if !refused {
		return 0
	}
	if !until.After(now) {
		delete(r.until, id)
		return 0
	}
	return until.Sub(now)
}
