package organisation

import (
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
)

// Share is a part of an organisation's limits, from 0 to 1.
type Share float64

// Sequence numbers the grants to a gateway.
type Sequence int64

// Ledger is the home's account of the shares it has granted. A grant counts until it has run out, or until its
// gateway says that it holds a later one.
type Ledger struct {
	term     time.Duration
	now      func() time.Time
	mu       sync.Mutex
	sequence Sequence
	accounts map[document.OrganisationID]map[string]*holder
}

// holder is a gateway that was granted shares of an organisation.
type holder struct {
	demand Share
	until  time.Time
	grants []grant
}

type grant struct {
	sequence Sequence
	share    Share
	until    time.Time
}

// NewLedger returns an empty ledger whose grants run out after the term.
func NewLedger(term time.Duration, now func() time.Time) *Ledger {
	return &Ledger{
		term:     term,
		now:      now,
		accounts: map[document.OrganisationID]map[string]*holder{},
	}
}

// Wish is what a gateway wants of an organisation's limits.
type Wish struct {
	Gateway      string
	Organisation document.OrganisationID
	// Demand is what its callers asked for lately.
	Demand Share
	// Holds is the latest grant that the gateway knows of.
	Holds Sequence
}

// headroom is how much more than its demand a gateway is granted while there is enough.
const headroom = 2

// Grant gives the wish's gateway its share of the pool, which is what may be granted over all gateways.
func (l *Ledger) Grant(wish Wish, pool Share, gateways int) (Share, Sequence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	holders := l.holders(wish.Organisation, now)
	own := holders[wish.Gateway]
	if own == nil {
		own = &holder{}
		holders[wish.Gateway] = own
	}
	own.demand = wish.Demand
	own.until = now.Add(l.term)
	own.grants = slices.DeleteFunc(own.grants, func(g grant) bool { return g.sequence < wish.Holds })
	free := pool
	for name, other := range holders {
		if name != wish.Gateway {
			free -= other.outstanding(now)
		}
	}
	// What the gateway holds already is never taken from it at once: that keeps the sum, and cuts no caller off when
	// the pool shrinks.
	free = max(0, free, own.outstanding(now))
	share := min(free, target(holders, wish.Gateway, pool, gateways))
	l.sequence++
	own.grants = append(own.grants, grant{
		sequence: l.sequence,
		share:    share,
		until:    now.Add(l.term),
	})
	return share, l.sequence
}

// holders returns the gateways with an account of the organisation, without those that ran out.
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

// outstanding is the most that the gateway may believe to hold.
func (h *holder) outstanding(now time.Time) Share {
	most := Share(0)
	for _, g := range h.grants {
		if now.Before(g.until) {
			most = max(most, g.share)
		}
	}
	return most
}

// evenPart is the part of an even share that a gateway without demand is granted, so that its first callers are
// served while most of the pool is left for those who need it.
const evenPart = 0.25

// target is the gateway's max-min fair share of the pool by demand, with headroom while there is enough.
func target(holders map[string]*holder, gateway string, pool Share, gateways int) Share {
	least := evenPart * pool / Share(max(1, gateways))
	demands := make([]Share, 0, len(holders))
	for _, h := range holders {
		demands = append(demands, max(least, headroom*h.demand))
	}
	slices.Sort(demands)
	left := pool
	own := max(least, headroom*holders[gateway].demand)
	for i, demand := range demands {
		level := left / Share(len(demands)-i)
		if demand >= level {
			return min(own, level)
		}
		left -= demand
	}
	return own
}
