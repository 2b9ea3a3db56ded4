package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbrudder/internal/allowance"
	"rhubarbrudder/internal/route"
)

// Limits tells this VM the limits of organisations, and among how many VMs they are shared.
type Limits interface {
	// Current returns the configuration in force at this VM, or nil before the first one.
	Current() *route.Config
	// Size returns the number of VMs listed. It is used for as long as this VM can't know how many use the pool.
	Size() int
}

// allowances is the state of a VM that its stewards and the clients of all services share. It is nil if the limits of
// organisations are not applied.
type allowances struct {
	limits   Limits
	window   time.Duration
	history  *allowance.History
	refusals *allowance.Refusals
	returns  *allowance.Returns
	mu       sync.Mutex
	// limited holds the organisations of the configuration that have a limit, and home is its home service.
	config  *route.Config
	limited map[route.OrganisationID]bool
	home    route.Service
}

// LimitOrganisations makes this VM apply the limits of organisations, which hold for each window. It must be called before
// the first client runs.
func (s *Stewards) LimitOrganisations(limits Limits, window time.Duration) {
	s.allowances = &allowances{
		limits:   limits,
		window:   window,
		history:  allowance.NewHistory(window, time.Now()),
		refusals: allowance.NewRefusals(),
		returns:  allowance.NewReturns(),
	}
}

// HomeOf returns the service whose steward counts a request, if that is another one than the service that runs it.
func (s *Stewards) HomeOf(service route.Service, request SlotRequest) (home route.Service, elsewhere bool) {
	if s.allowances == nil || !counts(request.Organisation, request.Class, request.Admitted) {
		return "", false
	}
	return s.allowances.homeOf(service, request.Organisation)
}

func (a *allowances) homeOf(service route.Service, id route.OrganisationID) (home route.Service, elsewhere bool) {
	config := a.limits.Current()
	if config == nil {
		return "", false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.config != config {
		a.config = config
		a.home = config.HomeService()
		a.limited = map[route.OrganisationID]bool{}
		for i := range config.Organisations {
			if o := &config.Organisations[i]; o.Allowance.Limited() {
				a.limited[o.ID] = true
			}
		}
	}
	return a.home, a.home != service && a.limited[id]
}

// counts reports whether a request counts against the limit of its organisation, if that has one.
func counts(id route.OrganisationID, class Class, admitted bool) bool {
	return id != "" && class == ClassOnline && !admitted
}

// report returns the history of the VM's requests for a message to a steward, or nil if there is nothing to report.
func (a *allowances) report(now time.Time) *allowance.Report {
	if a == nil {
		return nil
	}
	config := a.limits.Current()
	if config == nil || !config.HasOrganisations() {
		return nil
	}
	return a.history.Report(now)
}

// refusal returns the refusal of a request whose organisation is known to have no token, or nil.
func (a *allowances) refusal(request SlotRequest) *Refused {
	if a == nil || !counts(request.Organisation, request.Class, request.Admitted) {
		return nil
	}
	now := time.Now()
	remaining := a.refusals.Remaining(request.Organisation, now)
	if remaining <= 0 {
		return nil
	}
	return &Refused{
		RetryAfter:    a.returns.Refuse(request.Organisation, remaining, rand.Float64(), now),
		OverAllowance: true,
	}
}

// observe records what an outcome for a request of this VM says about the allowance of its organisation. It returns the outcome with
// the time after which the caller should come back, if the request is refused for the allowance.
func (a *allowances) observe(r *pendingRequest, outcome Outcome) Outcome {
	if a == nil {
		return outcome
	}
	now := time.Now()
	if outcome.CountedBy != 0 {
		a.history.Record(r.Organisation, outcome.CountedBy, now)
		a.returns.Admit(r.Organisation, now)
	}
	if outcome.OverAllowance {
		a.refusals.Add(r.Organisation, now.Add(outcome.RetryAfter), now)
		outcome.RetryAfter = a.returns.Refuse(r.Organisation, outcome.RetryAfter, rand.Float64(), now)
	}
	return outcome
}

// AcquireCountedBy is like Acquire for a request that the steward of another service counts, with the client of that
// service.
func (c *Client) AcquireCountedBy(ctx context.Context, home *Client, request SlotRequest) (*Slot, error) {
	counted := &pendingRequest{
		SlotRequest: request,
		admitOnly:   true,
		done:        make(chan struct{}),
	}
	if err := home.await(ctx, counted); err != nil {
		return nil, err
	}
	request.Admitted = true
	slot, err := c.Acquire(ctx, request)
	if err != nil && counted.countedBy != 0 {
		home.returnToken(request.Organisation)
	}
	return slot, err
}

// returnToken returns the token of a request that was counted and does not run.
func (c *Client) returnToken(id route.OrganisationID) {
	c.local.allowances.history.Remove(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unused = append(c.unused, id)
	c.wakeSender()
}
