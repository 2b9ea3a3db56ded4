package steward

import (
	"fmt"
	"testing"

	"rhubarbrudder/internal/fleet"
)

// BenchmarkOwnership measures the lookup of owned endpoints after a change of members, and from the cache.
func BenchmarkOwnership(b *testing.B) {
	for _, size := range []struct{ members, endpoints int }{{12, 12}, {2000, 10000}} {
		directory := engines(size.endpoints)
		members := &fixedMembers{
			self: member(0),
		}
		var alive []fleet.Member
		for i := range size.members {
			alive = append(alive, member(i))
		}
		members.set(alive...)
		ownership := newOwnership(directory, members)
		name := fmt.Sprintf("%d members %d endpoints", size.members, size.endpoints)
		b.Run("change "+name, func(b *testing.B) {
			for b.Loop() {
				members.set(alive...)
				ownership.ownedOf(testService)
			}
		})
		b.Run("again "+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ownership.ownedOf(testService)
			}
		})
	}
}
