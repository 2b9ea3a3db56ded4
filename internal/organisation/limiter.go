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

// Members lists the processes that are alive, and those that should run on the VMs of the VM list.
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
	// LeaseTerm is how long a share is valid without renewal.
	LeaseTerm = 2 * time.Second
	// renewPeriod is how often leases are renewed.
	renewPeriod = 500 * time.Millisecond
	// minRenewInterval is the least time between two renewals when a share is used up before renewPeriod has passed.
	minRenewInterval = 50 * time.Millisecond
	// leaseTimeout bounds the call to the home that renews a lease.
	leaseTimeout = 300 * time.Millisecond
	// idleAfter is how long an organisation without requests keeps its lease.
	idleAfter = 10 * time.Second
)

// Limiter enforces this gateway's shares of the organisations' limits. Each organisation has a home: a gateway, chosen
// by hashing, that leases shares of the organisation's limits to all gateways.
type Limiter struct {
	members Members
	caller  Caller
	ledger  *Ledger
	mu      sync.Mutex
	leases  map[document.OrganisationID]*lease
}

// lease is this gateway's share of one organisation's limits.
type lease struct {
	organisation document.Organisation
	share        Share
	sequence     Sequence
	until        time.Time
	// lastRenewal is when the last renewal was sent, whether it succeeded or not.
	lastRenewal time.Time
	renewing    bool
	lastUsed    time.Time
	inFlight    int
	// peak estimates how many requests callers wanted in flight at once since the last renewal. It is raised to the
	// number in flight with each new request, and by one for each request that did not fit, so that the next renewal
	// asks for a larger share.
	peak int
	// arrivals counts the requests since the last renewal, including refused ones.
	arrivals int
	bucket   *rate.Limiter
}

// NewLimiter returns a limiter. The ledger is used for the organisations whose home is this gateway.
func NewLimiter(members Members, caller Caller, ledger *Ledger) *Limiter {
	return &Limiter{
		members: members,
		caller:  caller,
		ledger:  ledger,
		leases:  map[document.OrganisationID]*lease{},
	}
}

// Enter admits a request unless the gateway's share of the limits is used up. The returned function must be called when
// the request has ended.
func (l *Limiter) Enter(ctx context.Context, id document.OrganisationID, organisation document.Organisation) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	held := l.lease(id, organisation)
	held.lastUsed = now
	held.arrivals++
	held.peak = max(held.peak, held.inFlight+1)
	if held.admit(now, l.share(held, now)) {
		return l.releaser(held), nil
	}
	if held.renewing || now.Sub(held.lastRenewal) < minRenewInterval {
		held.peak++
		return nil, ErrOverLimit
	}
	held.peak++
	l.renew(ctx, id, held)
	now = time.Now()
	if held.admit(now, l.share(held, now)) {
		return l.releaser(held), nil
	}
	return nil, ErrOverLimit
}

func (l *Limiter) lease(id document.OrganisationID, organisation document.Organisation) *lease {
	held := l.leases[id]
	if held == nil {
		held = &lease{}
		l.leases[id] = held
	}
	held.organisation = organisation
	return held
}

func (l *Limiter) releaser(held *lease) func() {
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		held.inFlight--
	})
}

// share returns the share that the gateway may use now: its lease, or an even share if that has expired.
func (l *Limiter) share(held *lease, now time.Time) Share {
	if now.Before(held.until) {
		return held.share
	}
	return 1 / Share(max(1, l.listedGateways()))
}

func (l *Limiter) listedGateways() int {
	count := 0
	for _, member := range l.members.Listed() {
		if member.Role == fleet.RoleGateway {
			count++
		}
	}
	return count
}

// admit counts a request as in flight if the share of the limits allows it, and reports whether it does.
func (e *lease) admit(now time.Time, share Share) bool {
	if float64(e.inFlight+1) > float64(share)*float64(e.organisation.ConcurrentRequests)+roundingTolerance {
		return false
	}
	perSecond := float64(share) * e.organisation.RequestsPerSecond
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
	// roundingTolerance absorbs the rounding errors in a share of a limit.
	roundingTolerance = 1e-6
	// burstSeconds is the number of seconds for which unused rate accumulates.
	burstSeconds = 0.5
)

// renew renews the lease at the organisation's home. It must be called with the lock held and unlocks it during the
// call.
func (l *Limiter) renew(ctx context.Context, id document.OrganisationID, held *lease) {
	sent := time.Now()
	request := LeaseRequest{
		Gateway:      l.members.Self().ID(),
		Organisation: id,
		Demand:       held.demand(sent),
		Holds:        held.sequence,
	}
	held.renewing = true
	l.mu.Unlock()
	granted, err := l.requestLease(ctx, request)
	l.mu.Lock()
	held.renewing = false
	held.lastRenewal = sent
	held.peak = held.inFlight
	held.arrivals = 0
	if err != nil {
		return
	}
	held.share = granted.Share
	held.sequence = granted.Sequence
	held.until = sent.Add(LeaseTerm)
}

// demand returns the part of the limits that requests since the last renewal needed, refused ones included.
func (e *lease) demand(now time.Time) Share {
	concurrent := float64(e.peak) / float64(max(1, e.organisation.ConcurrentRequests))
	seconds := max(minRenewInterval, now.Sub(e.lastRenewal)).Seconds()
	perSecond := float64(e.arrivals) / seconds / e.organisation.RequestsPerSecond
	return Share(min(1, max(concurrent, perSecond)))
}

// MethodLease is the name of the net/rpc method that leases a share.
const MethodLease = "Limit.Lease"

// LeaseReply is a home's reply to a lease request.
type LeaseReply struct {
	Share    Share
	Sequence Sequence
}

func (l *Limiter) requestLease(ctx context.Context, request LeaseRequest) (LeaseReply, error) {
	home, ok := fleet.Owner(l.members.Alive(fleet.RoleGateway), string(request.Organisation))
	if !ok {
		return LeaseReply{}, errNoHome
	}
	if home.ID() == l.members.Self().ID() {
		return l.grant(request)
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	var granted LeaseReply
	err := l.caller.Call(ctx, home.Address, MethodLease, request, &granted)
	return granted, err
}

// grant grants a share as the organisation's home. Its pool shrinks by the share of gateways that it does not see
// alive, since these may use another home.
func (l *Limiter) grant(request LeaseRequest) (LeaseReply, error) {
	alive := l.members.Alive(fleet.RoleGateway)
	home, ok := fleet.Owner(alive, string(request.Organisation))
	if !ok || home.ID() != l.members.Self().ID() {
		return LeaseReply{}, errNoHome
	}
	listed := max(len(alive), l.listedGateways())
	pool := Share(len(alive)) / Share(listed)
	share, sequence := l.ledger.Grant(request, pool, listed)
	return LeaseReply{
		Share:    share,
		Sequence: sequence,
	}, nil
}

// Run renews leases until ctx is done.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(renewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.renewAll(ctx)
		}
	}
}

func (l *Limiter) renewAll(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.leasedOrganisations() {
		held := l.leases[id]
		if held == nil || held.renewing {
			continue
		}
		if held.inFlight == 0 && time.Since(held.lastUsed) > idleAfter {
			delete(l.leases, id)
			continue
		}
		l.renew(ctx, id, held)
	}
}

func (l *Limiter) leasedOrganisations() []document.OrganisationID {
	ids := make([]document.OrganisationID, 0, len(l.leases))
	for id := range l.leases {
		ids = append(ids, id)
	}
	return ids
}

// Service leases shares to peers. It is registered as "Limit".
type Service struct {
	limiter *Limiter
}

// NewService returns the service of a gateway's limiter.
func NewService(limiter *Limiter) *Service {
	return &Service{
		limiter: limiter,
	}
}

// Lease grants a share to a gateway.
func (s *Service) Lease(request LeaseRequest, reply *LeaseReply) error {
	granted, err := s.limiter.grant(request)
	*reply = granted
	return err
}
