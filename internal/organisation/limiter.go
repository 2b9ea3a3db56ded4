package organisation

import (
	"context"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
)

// Members lists the processes alive and those expected.
type Members interface {
	Self() fleet.Member
	Alive(role fleet.Role) []fleet.Member
	Listed() []fleet.Member
}

// Caller calls a method of a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

const (
	// LeaseTerm is how long a share is held without being renewed.
	LeaseTerm = 2 * time.Second
	// renewPeriod is how often shares are renewed, and askPeriod how soon more is asked for.
	renewPeriod = 500 * time.Millisecond
	askPeriod   = 50 * time.Millisecond
	askTimeout  = 300 * time.Millisecond
	// idleAfter is how long an organisation without requests keeps its lease.
	idleAfter = 10 * time.Second
)

// Limiter holds organisations to this gateway's shares of their limits, which their homes lease to it.
type Limiter struct {
	members Members
	caller  Caller
	ledger  *Ledger
	mu      sync.Mutex
	leases  map[document.OrganisationID]*lease
}

// lease is this gateway's share of one organisation's limits.
type lease struct {
	limit    document.Organisation
	share    Share
	sequence Sequence
	until    time.Time
	asked    time.Time
	asking   bool
	used     time.Time
	inFlight int
	peak     int
	arrived  int
	bucket   *rate.Limiter
}

// NewLimiter returns a limiter; the ledger is for the organisations whose home this gateway is.
func NewLimiter(members Members, caller Caller, ledger *Ledger) *Limiter {
	return &Limiter{
		members: members,
		caller:  caller,
		ledger:  ledger,
		leases:  map[document.OrganisationID]*lease{},
	}
}

// Enter counts a request in, unless the gateway's share of the limits is used up. The returned function counts it out.
func (l *Limiter) Enter(ctx context.Context, id document.OrganisationID, limit document.Organisation) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	held := l.lease(id, limit)
	held.used = now
	held.arrived++
	held.peak = max(held.peak, held.inFlight+1)
	if held.admit(now, l.share(held, now)) {
		return l.leaver(held), nil
	}
	if held.asking || now.Sub(held.asked) < askPeriod {
		held.peak++
		return nil, ErrOverLimit
	}
	held.peak++
	l.ask(ctx, id, held)
	now = time.Now()
	if held.admit(now, l.share(held, now)) {
		return l.leaver(held), nil
	}
	return nil, ErrOverLimit
}

func (l *Limiter) lease(id document.OrganisationID, limit document.Organisation) *lease {
	held := l.leases[id]
	if held == nil {
		held = &lease{}
		l.leases[id] = held
	}
	held.limit = limit
	return held
}

func (l *Limiter) leaver(held *lease) func() {
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		held.inFlight--
	})
}

// share is what the gateway may use now: its lease, or an even share once that has run out.
func (l *Limiter) share(held *lease, now time.Time) Share {
	if now.Before(held.until) {
		return held.share
	}
	return 1 / Share(max(1, l.listed()))
}

func (l *Limiter) listed() int {
	count := 0
	for _, member := range l.members.Listed() {
		if member.Role == fleet.RoleGateway {
			count++
		}
	}
	return count
}

// admit takes one request in if the share allows it.
func (e *lease) admit(now time.Time, share Share) bool {
	if float64(e.inFlight+1) > float64(share)*float64(e.limit.ConcurrentRequests)+shareSlack {
		return false
	}
	perSecond := float64(share) * e.limit.RequestsPerSecond
	burst := max(1, int(math.Ceil(perSecond*burstSeconds)))
	if e.bucket == nil {
		e.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	if float64(e.bucket.Limit()) != perSecond {
		e.bucket.SetLimitAt(now, rate.Limit(perSecond))
		e.bucket.SetBurstAt(now, burst)
	}
	if !e.bucket.AllowN(now, 1) {
		return false
	}
	e.inFlight++
	return true
}

const (
	// shareSlack makes good what rounding takes from a share.
	shareSlack = 1e-6
	// burstSeconds is how much unused rate is saved up.
	burstSeconds = 0.5
)

// ask renews the lease at the organisation's home. It is called with the lock held and gives it up meanwhile.
func (l *Limiter) ask(ctx context.Context, id document.OrganisationID, held *lease) {
	sent := time.Now()
	wish := Wish{
		Gateway:      l.members.Self().ID(),
		Organisation: id,
		Demand:       held.demand(sent),
		Holds:        held.sequence,
	}
	held.asking = true
	l.mu.Unlock()
	granted, err := l.grantOf(ctx, wish)
	l.mu.Lock()
	held.asking = false
	held.asked = sent
	held.peak = held.inFlight
	held.arrived = 0
	if err != nil {
		return
	}
	held.share = granted.Share
	held.sequence = granted.Sequence
	held.until = sent.Add(LeaseTerm)
}

// demand is the part of the limits that the callers asked for since the last renewal.
func (e *lease) demand(now time.Time) Share {
	concurrent := float64(e.peak) / float64(max(1, e.limit.ConcurrentRequests))
	seconds := max(askPeriod, now.Sub(e.asked)).Seconds()
	perSecond := float64(e.arrived) / seconds / e.limit.RequestsPerSecond
	return Share(min(1, max(concurrent, perSecond)))
}

// MethodLease is the name of the method that leases a share.
const MethodLease = "Limit.Lease"

// Granted is a home's answer to a wish.
type Granted struct {
	Share    Share
	Sequence Sequence
}

func (l *Limiter) grantOf(ctx context.Context, wish Wish) (Granted, error) {
	home, ok := fleet.Owner(l.members.Alive(fleet.RoleGateway), string(wish.Organisation))
	if !ok {
		return Granted{}, errNoHome
	}
	if home.ID() == l.members.Self().ID() {
		return l.grant(wish)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var granted Granted
	err := l.caller.Call(ctx, home.Address, MethodLease, wish, &granted)
	return granted, err
}

// grant answers a wish as the organisation's home. What it may grant shrinks with the gateways that it does not
// hear, since they may have another home.
func (l *Limiter) grant(wish Wish) (Granted, error) {
	alive := l.members.Alive(fleet.RoleGateway)
	home, ok := fleet.Owner(alive, string(wish.Organisation))
	if !ok || home.ID() != l.members.Self().ID() {
		return Granted{}, errNoHome
	}
	listed := max(len(alive), l.listed())
	pool := Share(len(alive)) / Share(listed)
	share, sequence := l.ledger.Grant(wish, pool, listed)
	return Granted{
		Share:    share,
		Sequence: sequence,
	}, nil
}

// Run renews leases until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(renewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.renew(ctx)
		}
	}
}

func (l *Limiter) renew(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.known() {
		held := l.leases[id]
		if held == nil || held.asking {
			continue
		}
		if held.inFlight == 0 && time.Since(held.used) > idleAfter {
			delete(l.leases, id)
			continue
		}
		l.ask(ctx, id, held)
	}
}

func (l *Limiter) known() []document.OrganisationID {
	ids := make([]document.OrganisationID, 0, len(l.leases))
	for id := range l.leases {
		ids = append(ids, id)
	}
	return ids
}

// Service leases shares to peers; it is registered as "Limit".
type Service struct {
	limiter *Limiter
}

// NewService returns the service of a gateway's limiter.
func NewService(limiter *Limiter) *Service {
	return &Service{
		limiter: limiter,
	}
}

// Lease answers a gateway's wish.
func (s *Service) Lease(wish Wish, reply *Granted) error {
	granted, err := s.limiter.grant(wish)
	*reply = granted
	return err
}
