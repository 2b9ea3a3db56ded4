package allowance

import (
	"math"
	"sync"
	"time"

	"rhubarbrudder/internal/route"
)

const (
	// returnWindow is the time over which the requests of an organisation are counted.
	returnWindow = time.Second
	// maxReturnTime bounds the time over which the refused callers of an organisation are asked to come back. Callers with a time
	// budget of 5 s wait for a third of it at most.
	maxReturnTime = 1500 * time.Millisecond
)

// Returns spreads the times at which the refused callers of organisations come back. If all came back as soon as there is a token, an
// organisation far over its limit would have most of them refused once more. It is safe for use by several goroutines.
type Returns struct {
	mu     sync.Mutex
	counts map[route.OrganisationID]*returnCount
	// pruneAt is the number of entries at which those without recent requests are removed.
	pruneAt int
}

// returnCount counts the requests of an organisation, decaying exponentially over returnWindow, as of a time.
type returnCount struct {
	admitted float64
	refused  float64
	at       time.Time
}

// NewReturns returns a Returns that has counted no requests.
func NewReturns() *Returns {
	return &Returns{
		counts:  map[route.OrganisationID]*returnCount{},
		pruneAt: minPrune,
	}
}

// Admit counts a request that was admitted.
func (r *Returns) Admit(id route.OrganisationID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(id, now).admitted++
}

// Refuse counts a request that was refused until there is a token, and returns after which time its caller should come back. The random
// number is from 0 to 1.
func (r *Returns) Refuse(id route.OrganisationID, until time.Duration, random float64, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.count(id, now)
	c.refused++
	share := c.refused / (c.refused + c.admitted)
	// A single refused caller can come back as soon as there is a token.
	if c.refused < 2 {
		share = 0
	}
	return until + time.Duration(share*random*float64(maxReturnTime))
}

// count returns the requests of an organisation as of now. The lock must be held.
func (r *Returns) count(id route.OrganisationID, now time.Time) *returnCount {
	c := r.counts[id]
	if c == nil {
		r.prune(now)
		c = &returnCount{
			at: now,
		}
		r.counts[id] = c
	}
	if since := now.Sub(c.at); since > 0 {
		decay := math.Exp(-float64(since) / float64(returnWindow))
		c.admitted *= decay
		c.refused *= decay
		c.at = now
	}
	return c
}

// prune removes the organisations without recent requests, if there are many. The lock must be held.
func (r *Returns) prune(now time.Time) {
	if len(r.counts) < r.pruneAt {
		return
	}
	for id, c := range r.counts {
		if now.Sub(c.at) > 5*returnWindow {
			delete(r.counts, id)
		}
	}
	r.pruneAt = max(minPrune, 2*len(r.counts))
}
