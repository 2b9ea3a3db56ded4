package organisation

import (
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
)

// Share is a part of an organisation's limits, from 0 to 1.
type Share float64

// Sequence orders the grants to a gateway.
type Sequence int64

// Ledger records the shares that an organisation's home (see Limiter) has granted to gateways. A grant counts until it
// expires or until its gateway confirms that it holds a later one.
type Ledger struct {
	term     time.Duration
	now      func() time.Time
	mu       sync.Mutex
	sequence Sequence
	accounts map[document.OrganisationID]map[string]*holder
}

// holder is a gateway that recently requested a share of an organisation's limits.
type holder struct {
	// demand is the gateway's latest demand, which counts until the given time.
	demand Share
	until  time.Time
	// grants holds the grants that the gateway may hold. Those that have expired do not count.
	grants []grant
}

type grant struct {
	sequence Sequence
	share    Share
	until    time.Time
}

// NewLedger returns an empty ledger whose grants expire after the term.
func NewLedger(term time.Duration, now func() time.Time) *Ledger {
	return &Ledger{
		term:     term,
		now:      now,
		accounts: map[document.OrganisationID]map[string]*holder{},
	}
}

// LeaseRequest is a gateway's request for a share of an organisation's limits.
type LeaseRequest struct {
	Gateway      string
	Organisation document.OrganisationID
	// Demand is the part of the limits that the gateway's callers used or were refused since the last renewal.
	Demand Share
	// Holds is the sequence number of the latest grant that the gateway has received.
	Holds Sequence
}

// demandFactor is how many times its demand a gateway is granted while the pool allows it.
const demandFactor = 2

// Grant grants a share to the requesting gateway. The pool is the sum that may be granted to all gateways.
func (l *Ledger) Grant(request LeaseRequest, pool Share, gateways int) (Share, Sequence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	holders := l.holders(request.Organisation, now)
	own := holders[request.Gateway]
	if own == nil {
		own = &holder{}
		holders[request.Gateway] = own
	}
	own.demand = request.Demand
	own.until = now.Add(l.term)
	own.grants = slices.DeleteFunc(own.grants, func(g grant) bool { return g.sequence < request.Holds })
	free := pool
	for name, other := range holders {
		if name != request.Gateway {
			free -= other.outstanding(now)
		}
	}
	// What the gateway may already use counts as available to it, even if the pool has shrunk below that. Granting it
	// again does not raise the sum of the shares, and callers are not refused only because the pool has shrunk.
	free = max(0, free, own.outstanding(now))
	share := min(free, target(holders, request.Gateway, pool, gateways))
	l.sequence++
	own.grants = append(own.grants, grant{
		sequence: l.sequence,
		share:    share,
		until:    now.Add(l.term),
	})
	return share, l.sequence
}

// holders returns the gateways that hold or request shares of the organisation, without those that have expired.
func (l *Ledger) holders(id document.OrganisationID, now time.Time) map[string]*holder {
	holders := l.accounts[id]
	if holders == nil {
		holders = map[string]*holder{}
		l.accounts[id] = holders
	}
	for name, h := range holders {
		if !now.Before(h.until) {
			delete(holders, name)
		}
	}
	return holders
}

// outstanding returns the largest share that the gateway may still use.
func (h *holder) outstanding(now time.Time) Share {
	most := Share(0)
	for _, g := range h.grants {
		if now.Before(g.until) {
			most = max(most, g.share)
		}
	}
	return most
}

// evenPart is the part of an even share that a gateway without demand is granted, so that its first callers are served
// while most of the pool is left for gateways with demand.
const evenPart = 0.25

// target returns the gateway's max-min fair share of the pool, where each gateway asks for demandFactor times its
// demand, but at least for evenPart of an even share.
func target(holders map[string]*holder, gateway string, pool Share, gateways int) Share {
	least := evenPart * pool / Share(max(1, gateways))
	demands := make([]Share, 0, len(holders))
	for _, h := range holders {
		demands = append(demands, max(least, demandFactor*h.demand))
	}
	slices.Sort(demands)
	left := pool
	own := max(least, demandFactor*holders[gateway].demand)
	for i, demand := range demands {
		level := left / Share(len(demands)-i)
		if demand >= level {
			return min(own, level)
		}
		left -= demand
	}
	return own
}
