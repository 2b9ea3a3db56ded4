package pool

import (
	"slices"
	"time"

	"rhubarbrudder/internal/inventory"
)

const (
	// occupancyGroups is the number of groups of runs, by how full their endpoint was, whose times to first event are
	// compared with each other.
	occupancyGroups = 4
	// minReference is how many times to first event a group must have for another one to be compared with them.
	minReference = 10
	// newSpeed is the relative time to first event that an endpoint without a measurement of its own may need. Sound
	// endpoints of a service differ by a factor of up to 2.4, and thus by up to 1.6 from their mean.
	newSpeed = 1.6
	// fasterWeight and slowerWeight are the weights of the newest answer in an endpoint's own moving average. An endpoint
	// that stays eight times as slow counts as sound at that speed after about twenty answers.
	fasterWeight = 0.1
	slowerWeight = 0.02
	// cancelSettles is how long an endpoint may still work on a run after its VM has cancelled it.
	cancelSettles = 100 * time.Millisecond
	// backoffMaxAdaptive replaces backoffMax, so that a returned endpoint is in full use within two seconds: a run that was
	// sent just before is given up after 0.6 s, and the backoff that follows is the longest.
	backoffMaxAdaptive = time.Second
	// shareRounding makes up for the error of a share in floating point.
	shareRounding = 1e-9
)

// adaptation adapts the run limits of a pool's endpoints to their answers.
type adaptation struct {
	newLimiter func() limiter
	// begun means that endpoints were listed before. Those of the first list may have run for long.
	begun bool
	// reference holds the times to first event of endpoints with all slots in use, by occupancy.
	reference [occupancyGroups]reference
	// former holds the state of endpoints that are no longer listed.
	former map[inventory.ID]formerEndpoint
	// reports holds the endpoints whose limit has changed since it was last read.
	reports map[inventory.Lifetime]bool
}

// reference is the moving average of times to first event.
type reference struct {
	mean  time.Duration
	count int
}

// formerEndpoint is the state of an endpoint that is no longer listed.
type formerEndpoint struct {
	born  int64
	state *adaptiveState
}

// adaptiveState is what is known of an endpoint's answers.
type adaptiveState struct {
	limiter limiter
	// speed is the moving average of the time to first event in relation to the reference, or zero if it is not known.
	speed float64
	// changed is when the limit last changed, or zero if that is not known.
	changed time.Time
	// cancelled holds when runs that the endpoint may still work on were cancelled.
	cancelled []time.Time
}

// runBeginning is what is known of how a run began.
type runBeginning struct {
	// held is how many runs the endpoint had when this one was granted, with it. It is zero if an earlier steward did.
	held int
	// began means that the beginning of its answer was reported.
	began bool
}

// AdaptConcurrency makes the pool adapt the run limits of its endpoints to their answers. It must be called before
// SetEndpoints.
func (p *Pool) AdaptConcurrency() {
	p.adaptation = newAdaptation(newSlowStart)
}

func newAdaptation(newLimiter func() limiter) *adaptation {
	return &adaptation{
		newLimiter: newLimiter,
		former:     map[inventory.ID]formerEndpoint{},
		reports:    map[inventory.Lifetime]bool{},
	}
}

// listed records that endpoints were listed.
func (a *adaptation) listed() {
	if a != nil {
		a.begun = true
	}
}

// runs returns the run limit. Several stewards at a time share one that is below the slots, and each of them may use at least
// one run, as it would otherwise not learn that the endpoint takes more again.
func (s *adaptiveState) runs(slots int, share float64) int {
	limit := s.limiter.limit(slots)
	if limit >= slots {
		return slots
	}
	return max(1, int(float64(limit)*share+shareRounding))
}

// belowSlots reports whether the endpoint's answers have set its limit below its slots.
func (e *endpoint) belowSlots() bool {
	return e.adaptive != nil && e.adaptive.limiter.limit(e.Slots) < e.Slots
}

// maxBackoff returns the longest time for which the endpoint gets no new work after a failure.
func (e *endpoint) maxBackoff() time.Duration {
	if e.adaptive != nil {
		return backoffMaxAdaptive
	}
	return backoffMax
}

// untested reports whether the endpoint should get the next run, so that its limit is known before the slots are needed: it
// has a limit below its slots, no run, and did not answer late.
func (p *Pool) untested(e *endpoint, now time.Time) bool {
	return e.running == 0 && e.belowSlots() && !p.slow(e, now)
}

// listAdaptive sets the state of an endpoint that is listed from now on. One that was listed before in the same lifetime, or
// that is in the first list, is not a started one.
func (p *Pool) listAdaptive(e *endpoint) {
	a := p.adaptation
	if a == nil {
		return
	}
	former, known := a.former[e.ID]
	if !known {
		former.state = &adaptiveState{
			limiter: a.newLimiter(),
		}
	}
	delete(a.former, e.ID)
	e.adaptive = former.state
	if known && former.born == e.Born || !a.begun {
		return
	}
	p.restartAdaptive(e)
}

// restartAdaptive records that the endpoint has started. If many have at a time, they get all their slots: less than the
// service needs is worse than endpoints that are slow at first.
func (p *Pool) restartAdaptive(e *endpoint) {
	if e.adaptive == nil {
		return
	}
	many := p.manyBelowSlots(e)
	p.adapt(e, TroubleNone, time.Time{}, func(l limiter) {
		if many {
			l.restore(learntLimit{}, time.Time{})
			return
		}
		l.restart()
	})
}

// manyBelowSlots reports whether the limits of so many other endpoints are below their slots that the cause is a common one.
func (p *Pool) manyBelowSlots(except *endpoint) bool {
	below := 0
	for _, e := range p.endpoints {
		if e != except && !e.gone && e.belowSlots() {
			below++
		}
	}
	return below >= max(1, len(p.endpoints)/silentDivisor)
}

// unlistAdaptive keeps the state of an endpoint that is no longer listed.
func (p *Pool) unlistAdaptive(e *endpoint) {
	if e.adaptive == nil {
		return
	}
	if len(p.adaptation.former) >= maxLimits {
		clear(p.adaptation.former)
	}
	p.adaptation.reports[e.Lifetime()] = true
	p.adaptation.former[e.ID] = formerEndpoint{
		born:  e.Born,
		state: e.adaptive,
	}
}

// adapt applies a change to the endpoint's limiter, and reports a changed limit to the log and to the VMs.
func (p *Pool) adapt(e *endpoint, trouble Trouble, now time.Time, change func(l limiter)) {
	before := e.adaptive.limiter.learnt()
	runs := e.limit()
	change(e.adaptive.limiter)
	if e.adaptive.limiter.learnt() != before {
		e.adaptive.changed = now
		p.adaptation.reports[e.Lifetime()] = true
	}
	if e.limit() != runs {
		p.addAssessment(e, trouble)
	}
}

// advanceAdaptive applies that time has passed to the limits that are below the slots.
func (p *Pool) advanceAdaptive(now time.Time) {
	if p.adaptation == nil {
		return
	}
	for _, e := range p.byID {
		if e.belowSlots() && e.accepts(nil, now) {
			p.adapt(e, TroubleNone, now, func(l limiter) {
				l.advance(e.Slots, now)
			})
		}
	}
}

// adaptToAnswer applies the beginning of a run's answer, with the time to its first event or zero. What belongs to a run that
// was granted before the endpoint's last failure, or by an earlier steward, says nothing about how many runs it takes.
func (p *Pool) adaptToAnswer(e *endpoint, r *run, first time.Duration, now time.Time) {
	if e.adaptive == nil || r.began || r.held == 0 || !r.since.After(e.lastFailure) {
		return
	}
	r.began = true
	answer := answerPace{
		held:  r.held,
		batch: r.ticket.Class == ClassBatch,
	}
	if first > 0 {
		answer.slowness = p.slowness(e, r, first)
	}
	if answer.slow() && p.manyBelowSlots(e) {
		return
	}
	p.adapt(e, TroubleNone, now, func(l limiter) {
		l.answered(answer, e.Slots, now)
	})
}

// slowness returns the time to first event of a run divided by what the endpoint needs when it is sound, or zero if that
// is not known, and counts the former.
func (p *Pool) slowness(e *endpoint, r *run, first time.Duration) float64 {
	group := &p.adaptation.reference[min(occupancyGroups-1, (r.held-1)*occupancyGroups/max(1, e.Slots))]
	online := r.ticket.Class == ClassOnline
	if online && !e.belowSlots() {
		group.mean = average(group.mean, first, firstEventLatencyWeight)
		group.count++
	}
	if group.count < minReference {
		return 0
	}
	speed := float64(first) / float64(group.mean)
	expected := e.adaptive.speed
	if expected == 0 {
		expected = newSpeed
	}
	if online {
		weight := fasterWeight
		if speed > expected {
			weight = slowerWeight
		}
		e.adaptive.speed = expected + weight*(speed-expected)
	}
	return speed / expected
}

// adaptToEnding applies the end of a run. A cancelled one is not an answer.
func (p *Pool) adaptToEnding(e *endpoint, r *run, trouble Trouble, now time.Time) {
	if e.adaptive == nil {
		return
	}
	if !r.revoked.IsZero() || trouble == TroubleUnknown {
		e.adaptive.cancelled = append(e.adaptive.settling(now), now)
		return
	}
	if trouble == TroubleNone {
		p.adaptToAnswer(e, r, 0, now)
	}
}

// settling returns when the runs that the endpoint may still work on were cancelled.
func (s *adaptiveState) settling(now time.Time) []time.Time {
	s.cancelled = slices.DeleteFunc(s.cancelled, func(at time.Time) bool {
		return now.Sub(at) >= cancelSettles
	})
	return s.cancelled
}

// adaptToTrouble applies a failure. The rejections of an endpoint that names a limit are due to that, not to the number of
// runs.
func (p *Pool) adaptToTrouble(e *endpoint, trouble Trouble, now time.Time) {
	if e.adaptive == nil {
		return
	}
	switch trouble {
	case TroubleUnreachable, TroubleSilent, TroubleCrashed:
		p.adapt(e, trouble, now, func(l limiter) {
			l.restart()
		})
	case TroubleFull:
		if e.allowance.Named {
			return
		}
		held := int(float64(e.running+p.cancelledRuns(e, now))/e.allowance.share + shareRounding)
		p.adapt(e, trouble, now, func(l limiter) {
			l.rejected(held, e.Slots, now)
		})
	case TroubleNone, TroubleBroken, TroubleLeaving, TroubleUnknown:
	}
}

// cancelledRuns returns how many runs were cancelled that the endpoint may still work on.
func (p *Pool) cancelledRuns(e *endpoint, now time.Time) int {
	cancelled := len(e.adaptive.settling(now))
	for _, r := range p.runs {
		if r.endpoint == e.ID && !r.revoked.IsZero() {
			cancelled++
		}
	}
	return cancelled
}
