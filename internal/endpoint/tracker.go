package endpoint

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbrudder/internal/request"
)

// Tracker counts a process's own requests in flight at each endpoint, knows what the fleet has there,
// and notes endpoints that fail.
type Tracker struct {
	states sync.Map
	// start is what times are measured from.
	start time.Time
}

// state is what is known of one endpoint; times are nanoseconds since the tracker's start.
type state struct {
	online   atomic.Int64
	batch    atomic.Int64
	peers    atomic.Int64
	heard    atomic.Int64
	failures atomic.Int64
	ejected  atomic.Int64
	probing  atomic.Bool
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

// forget drops endpoints that are gone and have nothing in flight.
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

// Start counts a request in and returns a function that counts it out.
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

// InFlight returns the process's own requests at an endpoint.
func (t *Tracker) InFlight(id ID) (online, batch int) {
	s := t.state(id)
	return int(s.online.Load()), int(s.batch.Load())
}

// SetFleetLoad takes in what the fleet had at an endpoint when this process had the given number there.
func (t *Tracker) SetFleetLoad(id ID, own int, load FleetLoad) {
	s := t.state(id)
	s.peers.Store(int64(max(0, load.Online-own)))
	s.heard.Store(t.now())
}

// PeersInFlight returns what other processes have in flight online at an endpoint, as was last heard.
func (t *Tracker) PeersInFlight(id ID) int {
	s := t.state(id)
	if heard := s.heard.Load(); heard == 0 || t.now()-heard >= int64(fleetKept) {
		return 0
	}
	return int(s.peers.Load())
}

const (
	firstEjection = 500 * time.Millisecond
	mostEjection  = 30 * time.Second
	// ejectionJitter is the share by which ejections differ, so that gateways don't come back together.
	ejectionJitter = 0.5
	// returnRamp is how long an endpoint takes to get its full share after an ejection.
	returnRamp = 5 * time.Second
	// fleetKept is how long what the fleet has at an endpoint is believed.
	fleetKept = 2 * time.Second
)

// Failed notes a failure; an endpoint that fails again and again is left out for longer.
func (t *Tracker) Failed(id ID) {
	s := t.state(id)
	failures := s.failures.Add(1)
	ejection := float64(min(mostEjection, firstEjection<<min(failures-1, 6)))
	ejection *= 1 + ejectionJitter*rand.Float64()
	s.probing.Store(true)
	s.ejected.Store(t.now() + int64(ejection))
}

// Succeeded notes a success.
func (t *Tracker) Succeeded(id ID) {
	s := t.state(id)
	s.failures.Store(0)
	s.probing.Store(false)
}

// Ejected reports whether an endpoint is left out for now.
func (t *Tracker) Ejected(id ID) bool {
	return t.state(id).share(t.now()) == 0
}

// share returns how much of its usual share an endpoint gets: none while it is ejected or while the one request
// that tries it after that is under way, and then more and more.
func (s *state) share(now int64) float64 {
	ejected := s.ejected.Load()
	if ejected == 0 {
		return 1
	}
	since := now - ejected
	if since < 0 || s.probing.Load() && s.online.Load() > 0 {
		return 0
	}
	return min(1, max(leastShare, float64(since)/float64(returnRamp)))
}

// leastShare is the share of an endpoint right after an ejection.
const leastShare = 0.05

const (
	// batchCost is how much a batch request, which yields, counts against an endpoint beside an online one.
	batchCost = 0.25
	// peersCost is how much a request of another gateway counts: it may have ended, and all gateways hear of it.
	peersCost = 0.3
	// foreignCost is how much another failure domain counts.
	foreignCost = 0.2
)

// cost estimates the work at an endpoint, in online requests.
func (s *state) cost(now int64) float64 {
	cost := float64(s.online.Load()) + batchCost*float64(s.batch.Load())
	if heard := s.heard.Load(); heard != 0 && now-heard < int64(fleetKept) {
		cost += peersCost * float64(s.peers.Load())
	}
	return cost
}
