package pool

import (
	"math"
	"time"

	"rhubarbrudder/internal/allowance"
	"rhubarbrudder/internal/inventory"
)

// Rate is a number of requests per second.
type Rate float64

// Limit is what an answer of an endpoint says about the requests that the endpoint takes from all VMs together. Without a
// rate in it the endpoint takes as many as it has slots for.
type Limit struct {
	Rate  Rate
	Named bool
}

// LimitReport is a limit in a message, with how long ago the answer that named it, or none, began.
type LimitReport struct {
	Endpoint inventory.Lifetime
	Limit    Limit
	Ago      time.Duration
}

const (
	// minLimitRate is the rate at which an endpoint is asked at least, also if it says that it takes no requests. Only an
	// answer tells that it takes more again.
	minLimitRate Rate = 0.1
	// limitBurst is the time whose requests may be sent at once to an endpoint that had none for as long. With it, an
	// endpoint gets in four seconds at most one and a quarter times what its limit allows.
	limitBurst = time.Second
	// limitTTL is how long a VM remembers a limit that has not been named again, and maxLimits how many.
	limitTTL  = 10 * time.Minute
	maxLimits = 1024
)

// endpointAllowance is a token bucket for the requests to an endpoint that names a limit.
type endpointAllowance struct {
	Limit
	// share is the part of the limit that may be used.
	share float64
	// at is when the answer began that the limit is from.
	at time.Time
	// bucket holds a token for each request that may be sent at once.
	bucket allowance.Bucket
}

// apply applies what an answer that began at a time says, unless a later one is known.
func (a *endpointAllowance) apply(limit Limit, at, now time.Time) {
	if at.Before(a.at) {
		return
	}
	a.at = at
	if !a.Named {
		// Requests may have been sent until now, by this steward or the one before.
		a.bucket.Set(0, now)
	}
	a.fill(now)
	a.Limit = limit
	a.bucket.Cut(a.size())
}

// rate returns the rate at which requests may be sent.
func (a *endpointAllowance) rate() float64 {
	return max(float64(a.Rate)*a.share, float64(minLimitRate))
}

// setShare sets the part of the limit that may be used from now on.
func (a *endpointAllowance) setShare(share float64, now time.Time) {
	a.fill(now)
	a.share = share
	a.bucket.Cut(a.size())
}

// size returns how many requests may be sent at once at most.
func (a *endpointAllowance) size() float64 {
	return max(1, a.rate()*limitBurst.Seconds())
}

func (a *endpointAllowance) fill(now time.Time) {
	a.bucket.Fill(a.rate(), a.size(), now)
}

// allows reports whether a request may be sent now.
func (a *endpointAllowance) allows(now time.Time) bool {
	if !a.Named {
		return true
	}
	a.fill(now)
	return a.bucket.Has()
}

// take counts a request that is sent.
func (a *endpointAllowance) take() {
	if a.Named {
		a.bucket.Take()
	}
}

// unlistAllowance keeps the allowance of an endpoint that is no longer listed. An entry that has lapsed may come back.
func (p *Pool) unlistAllowance(e *endpoint) {
	if !e.allowance.Named {
		return
	}
	if len(p.unlisted) >= maxLimits {
		clear(p.unlisted)
	}
	p.unlisted[e.Lifetime()] = e.allowance
}

// listAllowance returns the allowance of an endpoint that is listed from now on.
func (p *Pool) listAllowance(lifetime inventory.Lifetime) endpointAllowance {
	a := p.unlisted[lifetime]
	delete(p.unlisted, lifetime)
	a.share = p.share
	return a
}

// ObserveLimit records the limit in an answer of an endpoint.
func (p *Pool) ObserveLimit(report LimitReport, now time.Time) {
	e := p.endpoints[report.Endpoint.ID]
	if e == nil || e.Born != report.Endpoint.Born {
		return
	}
	before := e.allowance.Limit
	e.allowance.apply(report.Limit, now.Add(-report.Ago), now)
	if e.allowance.Limit != before {
		p.addAssessment(e, TroubleNone)
	}
}

// startRate returns how many runs the endpoints are expected to begin per second, including those that are in backoff.
func (p *Pool) startRate() float64 {
	rate := 0.0
	for _, e := range p.byID {
		if e.gone || e.Leaving {
			continue
		}
		own := float64(e.limit()) / p.meanRun.Seconds()
		if e.allowance.Named {
			own = math.Min(own, e.allowance.rate())
		}
		rate += own
	}
	return rate
}

// namedLimit is the limit in the latest answer of an endpoint to this VM, and when the answer began.
type namedLimit struct {
	Limit
	at time.Time
}

// ObserveLimit records what an answer in this slot says about the endpoint's limit.
func (s *Slot) ObserveLimit(limit Limit) {
	s.client.observeLimit(s.Endpoint.Lifetime(), s.limited, limit)
}

// observeLimit reports a limit to the steward. An answer without one matters only if a limit of the endpoint is known; the
// flag limited tells whether the steward knew one when it granted the slot.
func (c *Client) observeLimit(endpoint inventory.Lifetime, limited bool, limit Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := c.limits[endpoint]
	if !known && !limited && !limit.Named {
		return
	}
	now := time.Now()
	if !known {
		c.forgetLimits(now)
	}
	c.limits[endpoint] = namedLimit{
		Limit: limit,
		at:    now,
	}
	c.limitChanges = append(c.limitChanges, endpoint)
	if before.Limit != limit {
		c.log.Info("endpoint limit", "service", c.service, "endpoint", endpoint.ID, "named", limit.Named, "per_s", limit.Rate)
		c.wakeSender()
	}
}

// LimitedEndpoints returns how many endpoints have named a limit in their latest answer to this VM, within the given time.
func (c *Client) LimitedEndpoints(within time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	limited := 0
	for _, known := range c.limits {
		if known.Named && time.Since(known.at) <= within {
			limited++
		}
	}
	return limited
}

// forgetLimits makes room for another limit. The lock must be held.
func (c *Client) forgetLimits(now time.Time) {
	for endpoint, known := range c.limits {
		if now.Sub(known.at) > limitTTL || len(c.limits) >= maxLimits {
			delete(c.limits, endpoint)
		}
	}
}

// limitReports returns the limits of the endpoints for a message. The lock must be held.
func (c *Client) limitReports(endpoints []inventory.Lifetime, now time.Time) []LimitReport {
	reports := make([]LimitReport, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if known, ok := c.limits[endpoint]; ok {
			reports = append(reports, LimitReport{
				Endpoint: endpoint,
				Limit:    known.Limit,
				Ago:      now.Sub(known.at),
			})
		}
	}
	return reports
}
