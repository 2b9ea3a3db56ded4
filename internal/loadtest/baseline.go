package loadtest

import (
	"math/rand/v2"
	"sync"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/router"
)

// randomPicker chooses any endpoint.
type randomPicker struct {
	directory *endpoint.Directory
}

func newRandomPicker(directory *endpoint.Directory, _ *endpoint.Tracker, _ *fixedMembers) router.Picker {
	return &randomPicker{
		directory: directory,
	}
}

// Pick returns any endpoint.
func (p *randomPicker) Pick(service document.ServiceName, _ request.Shape, _ map[endpoint.ID]bool) (endpoint.Endpoint, bool) {
	serving := p.directory.Serving(service)
	return serving[rand.IntN(len(serving))], true
}

// localPicker chooses the endpoint with the fewest requests of the own gateway in flight.
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

// Pick returns the endpoint with the fewest own requests, the first found from a random place.
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

// allTrackers are the trackers of every gateway of a fleet.
type allTrackers struct {
	mu       sync.Mutex
	trackers []*endpoint.Tracker
}

// allKnowingPicker chooses the endpoint with the fewest online requests of all gateways, known without delay:
// no real gateway can, but it shows what knowing more would gain.
type allKnowingPicker struct {
	directory *endpoint.Directory
	all       *allTrackers
}

func newAllKnowing() pickerOf {
	all := &allTrackers{}
	return func(directory *endpoint.Directory, tracker *endpoint.Tracker, _ *fixedMembers) router.Picker {
		all.mu.Lock()
		defer all.mu.Unlock()
		all.trackers = append(all.trackers, tracker)
		return &allKnowingPicker{
			directory: directory,
			all:       all,
		}
	}
}

// Pick returns the endpoint with the fewest requests, the first found from a random place.
func (p *allKnowingPicker) Pick(service document.ServiceName, _ request.Shape, _ map[endpoint.ID]bool) (endpoint.Endpoint, bool) {
	p.all.mu.Lock()
	defer p.all.mu.Unlock()
	serving := p.directory.Serving(service)
	start := rand.IntN(len(serving))
	best, fewest := serving[start], -1
	for i := range serving {
		candidate := serving[(start+i)%len(serving)]
		online := 0
		for _, tracker := range p.all.trackers {
			own, _ := tracker.InFlight(candidate.ID)
			online += own
		}
		if fewest < 0 || online < fewest {
			best, fewest = candidate, online
		}
	}
	return best, true
}
