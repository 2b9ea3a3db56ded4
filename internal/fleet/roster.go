package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// roster is the members that are not lost; it never changes.
type roster struct {
	byRole map[Role][]Member
	// ring holds the members, this process among them, by the hash of their addresses.
	ring []place
}

// place is a member's place on the ring.
type place struct {
	at     uint64
	id     ID
	member *Member
}

func placeOf(member *Member) place {
	return place{
		at:     xxhash.Sum64String(member.Address),
		id:     ID(member.ID()),
		member: member,
	}
}

// rebuild needs the lock.
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
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id))
	})
	f.roster.Store(next)
	f.version.Add(1)
	f.findUnknown()
}

// findUnknown finds the addresses that are listed and at which no member is known alive; it needs the lock.
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

// index returns the place of the first member at or after the point.
func (r *roster) index(at uint64) int {
	i, _ := slices.BinarySearchFunc(r.ring, at, func(p place, at uint64) int {
		return cmp.Compare(p.at, at)
	})
	return i % len(r.ring)
}

// neighbourCount is how many peers a process exchanges with, whatever the fleet's size.
const neighbourCount = 4

// neighbours returns the successor and, with it, members at points drawn by hashing.
func (r *roster) neighbours(self Member) []place {
	own := xxhash.Sum64String(self.Address)
	found := []place{r.ring[r.index(own+1)]}
	for i := range r.ring {
		if len(found) >= min(neighbourCount, len(r.ring)-1) {
			break
		}
		drawn := r.ring[r.index(xxhash.Sum64String(self.Address+"/"+strconv.Itoa(i)))]
		if !slices.Contains(found, drawn) && drawn.at != own {
			found = append(found, drawn)
		}
	}
	return slices.DeleteFunc(found, func(p place) bool {
		return p.at == own
	})
}

// successors calls visit with the members after the point, nearest first, until it returns false.
func (r *roster) successors(at uint64, visit func(place) bool) {
	start := r.index(at + 1)
	for i := range r.ring {
		if !visit(r.ring[(start+i)%len(r.ring)]) {
			return
		}
	}
}

// predecessors calls visit with the members before the point, nearest first, until it returns false.
func (r *roster) predecessors(at uint64, visit func(place) bool) {
	start := r.index(at) + len(r.ring) - 1
	for i := range r.ring {
		if !visit(r.ring[(start+len(r.ring)-i)%len(r.ring)]) {
			return
		}
	}
}
