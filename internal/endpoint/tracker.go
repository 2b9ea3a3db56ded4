package endpoint

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbrudder/internal/request"
)

// Tracker counts the process's own requests in flight at each endpoint, stores the counts of other processes that
// stewards report, and ejects endpoints that fail: they get no requests for a time, and then a growing share.
type Tracker struct {
	states sync.Map
	// start is the time from which state times are counted.
	start time.Time
}

// state is the state of one endpoint. Times are in nanoseconds since the tracker's start.
type state struct {
	// online and batch count this process's requests in flight.
	online atomic.Int64
	batch  atomic.Int64
	// peers is the number of online requests of other processes as of peersUpdated.
	peers        atomic.Int64
	peersUpdated atomic.Int64
	// failures counts the failures since the last success.
	failures     atomic.Int64
	ejectedUntil atomic.Int64
	// probing reports whether there was no success since the last ejection.
	probing atomic.Bool
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		start: time.Now(),
	}
}

func (t *Tracker) state(id ID) *state {
	if found, ok := t.states.Load(id); ok {
		return found.(*state)
	}
	found, _ := t.states.LoadOrStore(id, &state{})
	return found.(*state)
}

// forget removes endpoints that no longer take new work and have nothing in flight.
func (t *Tracker) forget(directory *Directory) {
	t.states.Range(func(id, found any) bool {
		s := found.(*state)
		_, serving := directory.Find(id.(ID))
		if !serving && s.online.Load() == 0 && s.batch.Load() == 0 {
			t.states.Delete(id)
		}
		return true
	})
}

func (t *Tracker) now() int64 {
	return int64(time.Since(t.start))
}

// Start counts a request as in flight until the returned function is called.
func (t *Tracker) Start(id ID, class request.Class) func() {
	s := t.state(id)
	counter := &s.online
	if class == request.ClassBatch {
		counter = &s.batch
	}
	counter.Add(1)
	return sync.OnceFunc(func() {
		counter.Add(-1)
	})
}

// InFlight returns how many requests this process has in flight at an endpoint.
func (t *Tracker) InFlight(id ID) (online, batch int) {
	s := t.state(id)
	return int(s.online.Load()), int(s.batch.Load())
}

// SetFleetLoad records the load of all processes at an endpoint. own is this process's part of the online load when it
// was measured.
func (t *Tracker) SetFleetLoad(id ID, own int, load FleetLoad) {
	s := t.state(id)
	s.peers.Store(int64(max(0, load.Online-own)))
	s.peersUpdated.Store(t.now())
}

// PeersInFlight returns how many online requests other processes have in flight at an endpoint, by the last report, or
// zero if that is too old.
func (t *Tracker) PeersInFlight(id ID) int {
	s := t.state(id)
	if peersUpdated := s.peersUpdated.Load(); peersUpdated == 0 || t.now()-peersUpdated >= int64(fleetLoadTTL) {
		return 0
	}
	return int(s.peers.Load())
}

const (
	firstEjection = 500 * time.Millisecond
	maxEjection   = 30 * time.Second
	// ejectionJitter is the largest fraction by which an ejection is prolonged at random, so that gateways do not all
	// return to the endpoint at the same time.
	ejectionJitter = 0.5
	// recoveryRamp is how long it takes until an endpoint gets its full share again after an ejection.
	recoveryRamp = 5 * time.Second
	// fleetLoadTTL is how long a reported load of all processes counts.
	fleetLoadTTL = 2 * time.Second
)

// Failed records a failure and ejects the endpoint, for longer with each failure in a row.
func (t *Tracker) Failed(id ID) {
	s := t.state(id)
	failures := s.failures.Add(1)
	ejection := float64(min(maxEjection, firstEjection<<min(failures-1, 6)))
	ejection *= 1 + ejectionJitter*rand.Float64()
	s.probing.Store(true)
	s.ejectedUntil.Store(t.now() + int64(ejection))
}

// Succeeded records a success.
func (t *Tracker) Succeeded(id ID) {
	s := t.state(id)
	s.failures.Store(0)
	s.probing.Store(false)
}

// Ejected reports whether an endpoint gets no requests for now because it failed.
func (t *Tracker) Ejected(id ID) bool {
	return t.state(id).share(t.now()) == 0
}

// share returns the fraction of its usual requests that an endpoint gets. It is zero while the endpoint is ejected and
// then grows to one over recoveryRamp. Until a request has succeeded, it is also zero while an online one is in flight, so
// that only one online request at a time probes the endpoint.
func (s *state) share(now int64) float64 {
	ejectedUntil := s.ejectedUntil.Load()
	if ejectedUntil == 0 {
		return 1
	}
	since := now - ejectedUntil
	if since < 0 || s.probing.Load() && s.online.Load() > 0 {
		return 0
	}
	return min(1, max(minShare, float64(since)/float64(recoveryRamp)))
}

// minShare is the share of an endpoint right after an ejection.
const minShare = 0.05

const (
	// batchCost is the cost of a batch request, which yields to online ones, in units of one online request.
	batchCost = 0.25
	// peersCost is the cost of another gateway's request. It is less than one because the request may have ended
	// already and because all gateways count it.
	peersCost = 0.3
	// otherDomainCost is the extra cost of an endpoint in another failure domain.
	otherDomainCost = 0.2
)

// cost estimates the work at an endpoint, in units of one online request.
func (s *state) cost(now int64) float64 {
	cost := float64(s.online.Load()) + batchCost*float64(s.batch.Load())
	if peersUpdated := s.peersUpdated.Load(); peersUpdated != 0 && now-peersUpdated < int64(fleetLoadTTL) {
		cost += peersCost * float64(s.peers.Load())
	}
	return cost
}
