package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// roster holds the members that are not lost. It is immutable.
type roster struct {
	// byRole holds the members that are not leaving either, sorted by id.
	byRole map[Role][]Member
	// ring holds the members, including this process, sorted by the hash of their addresses.
	ring []place
}

// place is a member with its position on the ring, which is the hash of its address.
type place struct {
	position uint64
	id       ID
	member   *Member
}

func placeOf(member *Member) place {
	return place{
		position: xxhash.Sum64String(member.Address),
		id:       ID(member.ID()),
		member:   member,
	}
}

// rebuild makes a new roster from the records. The caller must hold f.mu.
func (f *Fleet) rebuild() {
	next := &roster{
		byRole: map[Role][]Member{},
		ring:   []place{placeOf(&f.self)},
	}
	if !f.leaving {
		next.byRole[f.self.Role] = append(next.byRole[f.self.Role], f.self)
	}
	for _, rec := range f.records {
		if rec.lost {
			continue
		}
		next.ring = append(next.ring, placeOf(&rec.member))
		if !rec.leaving {
			next.byRole[rec.member.Role] = append(next.byRole[rec.member.Role], rec.member)
		}
	}
	for _, members := range next.byRole {
		slices.SortFunc(members, func(a, b Member) int {
			return cmp.Compare(a.ID(), b.ID())
		})
	}
	slices.SortFunc(next.ring, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.id, b.id))
	})
	f.roster.Store(next)
	f.version.Add(1)
	f.findUnknown()
}

// findUnknown sets f.unknown to the addresses of expected processes at which no member is known to be alive. The caller
// must hold f.mu.
func (f *Fleet) findUnknown() {
	known := map[string]bool{}
	for _, p := range f.roster.Load().ring {
		known[p.member.Address] = true
	}
	f.unknown = nil
	for _, member := range f.expected() {
		if !known[member.Address] {
			f.unknown = append(f.unknown, member.Address)
		}
	}
}

// index returns the index on the ring of the first member at or after the position, wrapping around.
func (r *roster) index(position uint64) int {
	i, _ := slices.BinarySearchFunc(r.ring, position, func(p place, position uint64) int {
		return cmp.Compare(p.position, position)
	})
	return i % len(r.ring)
}

// neighbourCount is the number of neighbours of a process. It does not depend on the fleet's size.
const neighbourCount = 4

// neighbours returns the successor and members at positions derived by hashing.
func (r *roster) neighbours(self Member) []place {
	own := xxhash.Sum64String(self.Address)
	// The successor comes first; otherNeighbourTargets relies on it.
	found := []place{r.ring[r.index(own+1)]}
	for i := range r.ring {
		if len(found) >= min(neighbourCount, len(r.ring)-1) {
			break
		}
		candidate := r.ring[r.index(xxhash.Sum64String(self.Address+"/"+strconv.Itoa(i)))]
		if !slices.Contains(found, candidate) && candidate.position != own {
			found = append(found, candidate)
		}
	}
	return slices.DeleteFunc(found, func(p place) bool {
		return p.position == own
	})
}

// successors calls visit with all members, starting after the position and wrapping around, until it returns false. A
// member at the position itself comes last.
func (r *roster) successors(position uint64, visit func(place) bool) {
	start := r.index(position + 1)
	for i := range r.ring {
		if !visit(r.ring[(start+i)%len(r.ring)]) {
			return
		}
	}
}

// predecessors calls visit with all members in the reverse order of the ring, starting before the position and wrapping
// around, until it returns false. A member at the position itself comes last.
func (r *roster) predecessors(position uint64, visit func(place) bool) {
	start := r.index(position) + len(r.ring) - 1
	for i := range r.ring {
		if !visit(r.ring[(start+len(r.ring)-i)%len(r.ring)]) {
			return
		}
	}
}
