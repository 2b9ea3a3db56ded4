package endpoint

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ring maps hashes to indexes of endpoints by consistent hashing.
type ring []point

type point struct {
	hash  uint64
	index int
}

// pointsPerEndpoint is how many points each endpoint has on a ring.
const pointsPerEndpoint = 16

func newRing(endpoints []Endpoint) ring {
	points := make(ring, 0, pointsPerEndpoint*len(endpoints))
	for index, placed := range endpoints {
		hash := xxhash.Sum64String(string(placed.ID))
		for range pointsPerEndpoint {
			points = append(points, point{
				hash:  hash,
				index: index,
			})
			hash = mix(hash)
		}
	}
	slices.SortFunc(points, func(a, b point) int {
		return cmp.Compare(a.hash, b.hash)
	})
	return points
}

// mix is one step of the splitmix64 generator.
func mix(hash uint64) uint64 {
	hash += 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// lookup returns the index of the endpoint that the hash maps to, and whether there is one.
func (r ring) lookup(hash uint64) (int, bool) {
	if len(r) == 0 {
		return 0, false
	}
	at, _ := slices.BinarySearchFunc(r, hash, func(p point, hash uint64) int {
		return cmp.Compare(p.hash, hash)
	})
	return r[at%len(r)].index, true
}
