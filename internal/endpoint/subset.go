package endpoint

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/tablestore"
)

// subsetSize is the largest number of endpoints of a service that a gateway sends to.
const subsetSize = 64

// subset returns the endpoints that a gateway sends to: those of its region, or all if its region has none. If they are
// more than subsetSize, it returns a range on the circle of their hashes. The ranges of the gateways of a region start
// at even distances, so that the number of subsets that an endpoint is in differs by at most one between endpoints.
func subset(endpoints []Endpoint, gateways []fleet.Member, self fleet.Member) []Endpoint {
	local := inRegion(endpoints, self.Region)
	if len(local) <= subsetSize {
		return local
	}
	rank, count := rankOf(gateways, self)
	return rangeOf(circleOf(local), rank, count)
}

// circleOf returns endpoints in the order of their hashes.
func circleOf(endpoints []Endpoint) []Endpoint {
	circle := slices.Clone(endpoints)
	slices.SortFunc(circle, func(a, b Endpoint) int {
		return cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID)))
	})
	return circle
}

// rangeOf returns the endpoints of the gateway with the given rank among count gateways.
func rangeOf(circle []Endpoint, rank, count int) []Endpoint {
	chosen := make([]Endpoint, 0, subsetSize)
	start := rank * len(circle) / count
	for i := range subsetSize {
		chosen = append(chosen, circle[(start+i)%len(circle)])
	}
	return chosen
}

func inRegion(endpoints []Endpoint, region tablestore.Region) []Endpoint {
	var local []Endpoint
	for _, candidate := range endpoints {
		if candidate.Region == region {
			local = append(local, candidate)
		}
	}
	if len(local) == 0 {
		return endpoints
	}
	return local
}

// rankOf returns a gateway's rank among the gateways of its region, in order of their ids, and their number.
func rankOf(gateways []fleet.Member, self fleet.Member) (rank, count int) {
	for _, gateway := range gateways {
		if gateway.Region != self.Region {
			continue
		}
		count++
		if gateway.ID() < self.ID() {
			rank++
		}
	}
	return rank, max(1, count)
}
