package loadtest

import (
	"math/rand/v2"
	"sync"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/router"
)

// randomPicker chooses an endpoint at random.
type randomPicker struct {
	directory *endpoint.Directory
}

func newRandomPicker(directory *endpoint.Directory, _ *endpoint.Tracker, _ *fixedMembers) router.Picker {
	return &randomPicker{
		directory: directory,
	}
}

// Pick returns a random endpoint.
func (p *randomPicker) Pick(service document.ServiceName, _ request.Shape, _ map[endpoint.ID]bool) (endpoint.Endpoint, bool) {
	serving := p.directory.Serving(service)
	return serving[rand.IntN(len(serving))], true
}

// localPicker chooses the endpoint with the fewest in-flight online requests of its own gateway.
type localPicker struct {
	directory *endpoint.Directory
	tracker   *endpoint.Tracker
}

func newLocalPicker(directory *endpoint.Directory, tracker *endpoint.Tracker, _ *fixedMembers) router.Picker {
	return &localPicker{
		directory: directory,
		tracker:   tracker,
	}
}

// Pick returns the endpoint with the fewest requests. It scans from a random position, so ties break at random.
func (p *localPicker) Pick(service document.ServiceName, _ request.Shape, _ map[endpoint.ID]bool) (endpoint.Endpoint, bool) {
	serving := p.directory.Serving(service)
	start := rand.IntN(len(serving))
	best, fewest := serving[start], -1
	for i := range serving {
		candidate := serving[(start+i)%len(serving)]
		online, _ := p.tracker.InFlight(candidate.ID)
		if fewest < 0 || online < fewest {
			best, fewest = candidate, online
		}
	}
	return best, true
}

// trackerList holds the trackers of every gateway in the fleet.
type trackerList struct {
	mu       sync.Mutex
	trackers []*endpoint.Tracker
}

// globalPicker chooses the endpoint with the fewest in-flight online requests of all gateways, without any reporting
// delay. No real gateway can do this; it shows the most that better information could gain.
type globalPicker struct {
	directory *endpoint.Directory
	all       *trackerList
}

func newGlobalPicker() pickerFactory {
	all := &trackerList{}
	return func(directory *endpoint.Directory, tracker *endpoint.Tracker, _ *fixedMembers) router.Picker {
		all.mu.Lock()
		defer all.mu.Unlock()
		all.trackers = append(all.trackers, tracker)
		return &globalPicker{
			directory: directory,
			all:       all,
		}
	}
}

// Pick returns the endpoint with the fewest requests. It scans from a random position, so ties break at random.
func (p *globalPicker) Pick(service document.ServiceName, _ request.Shape, _ map[endpoint.ID]bool) (endpoint.Endpoint, bool) {
	p.all.mu.Lock()
	defer p.all.mu.Unlock()
	serving := p.directory.Serving(service)
	start := rand.IntN(len(serving))
	best, fewest := serving[start], -1
	for i := range serving {
		candidate := serving[(start+i)%len(serving)]
		online := 0
		for _, tracker := range p.all.trackers {
			inFlight, _ := tracker.InFlight(candidate.ID)
			online += inFlight
		}
		if fewest < 0 || online < fewest {
			best, fewest = candidate, online
		}
	}
	return best, true
}
