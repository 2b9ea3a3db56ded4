package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MethodCompare is the name of the method that compares the records of two processes.
	MethodCompare = "Fleet.Compare"
	// compareRounds is the number of rounds of heartbeats between comparisons.
	compareRounds = 20
	// bucketCount is the number of buckets that the records are divided into for a comparison.
	bucketCount = 64
	// compareTimeout limits a comparison. It is long because the answer to a process that knows no other member contains
	// every member.
	compareTimeout = 10 * time.Second
)

// Digest summarises the members known to be alive: each bucket holds a checksum of the members whose ids hash to it.
type Digest struct {
	Buckets []uint64
}

// Records holds updates about the members in the buckets that differ, and the digest of all members.
type Records struct {
	// News holds the updates.
	News   []MemberUpdate
	Digest Digest
}

func bucketOf(id ID) int {
	return int(xxhash.Sum64String(string(id)) % bucketCount)
}

// digest returns the digest of the members known to be alive. The caller must hold f.mu.
func (f *Fleet) digest() Digest {
	digest := Digest{
		Buckets: make([]uint64, bucketCount),
	}
	add := func(update MemberUpdate) {
		id := update.Member.ID()
		leaving := uint64(0)
		if update.Leaving {
			leaving = 1
		}
		// The factor differs for each pair of sequence and leaving mark. It is never zero, so that every member counts.
		digest.Buckets[bucketOf(ID(id))] ^= xxhash.Sum64String(id) * (2*uint64(update.Sequence) + leaving + 1)
	}
	add(f.selfUpdate())
	for _, rec := range f.records {
		if !rec.lost {
			add(rec.update())
		}
	}
	return digest
}

// differing returns updates about the members in the buckets that differ from the other digest. They include lost
// members with the watchers that suspect them, so that the other process decides for itself. The caller must hold f.mu.
func (f *Fleet) differing(other Digest) []MemberUpdate {
	own := f.digest()
	differs := make([]bool, bucketCount)
	for i := range differs {
		differs[i] = i >= len(other.Buckets) || own.Buckets[i] != other.Buckets[i]
	}
	var updates []MemberUpdate
	if differs[bucketOf(ID(f.self.ID()))] {
		updates = append(updates, f.selfUpdate())
	}
	for id, rec := range f.records {
		if differs[bucketOf(id)] {
			updates = append(updates, rec.update())
		}
	}
	return updates
}

// compare compares records with a random neighbour.
func (f *Fleet) compare(ctx context.Context) {
	addresses := f.Neighbours()
	if len(addresses) > 0 {
		f.compareWith(ctx, addresses[rand.IntN(len(addresses))])
	}
}

// compareWith applies the updates that the peer has and this process may lack, and sends the peer those that the peer
// may lack.
func (f *Fleet) compareWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), compareTimeout)
	defer cancel()
	f.mu.Lock()
	args := Records{
		Digest: f.digest(),
	}
	f.mu.Unlock()
	var answer Records
	if err := f.caller.Call(ctx, address, MethodCompare, args, &answer); err != nil {
		return
	}
	f.mu.Lock()
	updates := f.differing(answer.Digest)
	f.mu.Unlock()
	f.apply(answer.News)
	if len(updates) == 0 {
		return
	}
	args = Records{
		News: updates,
	}
	_ = f.caller.Call(ctx, address, MethodCompare, args, &answer)
}

// Service serves peers over net/rpc; it is registered as "Fleet".
type Service struct {
	fleet *Fleet
}

// NewService returns the service of a fleet.
func NewService(fleet *Fleet) *Service {
	return &Service{
		fleet: fleet,
	}
}

// Beat processes a heartbeat and replies with one.
func (s *Service) Beat(args Heartbeat, reply *Heartbeat) error {
	*reply = s.fleet.handleHeartbeat(args)
	return nil
}

// Compare applies updates and, if the request has a digest, replies with the updates that the requesting process may
// lack.
func (s *Service) Compare(args Records, reply *Records) error {
	s.fleet.apply(args.News)
	if len(args.Digest.Buckets) == 0 {
		return nil
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	reply.News = s.fleet.differing(args.Digest)
	reply.Digest = s.fleet.digest()
	return nil
}
