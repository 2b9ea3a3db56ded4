package endpoint

import (
	"math/rand/v2"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/platform"
	"rhubarbrudder/internal/request"
)

// Picker chooses an endpoint for a request.
type Picker struct {
	directory *Directory
	tracker   *Tracker
	domain    platform.FailureDomain
}

// NewPicker returns a picker for a process in the failure domain.
func NewPicker(directory *Directory, tracker *Tracker, domain platform.FailureDomain) *Picker {
	return &Picker{
		directory: directory,
		tracker:   tracker,
		domain:    domain,
	}
}

// Pick returns the better of two endpoints chosen at random that were not tried yet, and whether there is one.
func (p *Picker) Pick(service document.ServiceName, _ request.Shape, tried map[ID]bool) (Endpoint, bool) {
	var usable []Endpoint
	var ejected []Endpoint
	for _, candidate := range p.directory.Serving(service) {
		switch {
		case tried[candidate.ID]:
		case p.tracker.Ejected(candidate.ID):
			ejected = append(ejected, candidate)
		default:
			usable = append(usable, candidate)
		}
	}
	if len(usable) == 0 {
		usable = ejected
	}
	if len(usable) == 0 {
		return Endpoint{}, false
	}
	first := usable[rand.IntN(len(usable))]
	second := usable[rand.IntN(len(usable))]
	if p.cost(second) < p.cost(first) {
		return second, true
	}
	return first, true
}

func (p *Picker) cost(candidate Endpoint) int {
	online, batch := p.tracker.InFlight(candidate.ID)
	cost := 2 * (online + batch)
	if candidate.FailureDomain != p.domain {
		cost++
	}
	return cost
}
