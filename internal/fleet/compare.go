package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MethodCompare is the name of the method that compares what two processes know.
	MethodCompare = "Fleet.Compare"
	// compareRounds is how many heartbeats lie between comparisons.
	compareRounds = 20
	// bucketCount is how many parts of the records are compared at a time.
	bucketCount = 64
	// compareTimeout bounds a comparison; the answer to a process that knows nobody holds every member.
	compareTimeout = 10 * time.Second
)

// Digest sums up the members known alive, each in a bucket by its id.
type Digest struct {
	Buckets []uint64
}

// Records is what is known of the members of the buckets that differ, and the digest of all.
type Records struct {
	News   []News
	Digest Digest
}

func bucketOf(id ID) int {
	return int(xxhash.Sum64String(string(id)) % bucketCount)
}

// digest needs the lock.
func (f *Fleet) digest() Digest {
	digest := Digest{
		Buckets: make([]uint64, bucketCount),
	}
	add := func(news News) {
		id := news.Member.ID()
		leaving := uint64(0)
		if news.Leaving {
			leaving = 1
		}
		digest.Buckets[bucketOf(ID(id))] ^= xxhash.Sum64String(id) * (2*uint64(news.Sequence) + leaving + 1)
	}
	add(f.selfNews())
	for _, rec := range f.records {
		if !rec.lost {
			add(rec.news())
		}
	}
	return digest
}

// differing returns what is known of the members in buckets that are not as in the other digest. Lost members are told
// of as members that are suspected by whom they were: the other process judges for itself. It needs the lock.
func (f *Fleet) differing(other Digest) []News {
	own := f.digest()
	differs := make([]bool, bucketCount)
	for i := range differs {
		differs[i] = i >= len(other.Buckets) || own.Buckets[i] != other.Buckets[i]
	}
	var news []News
	if differs[bucketOf(ID(f.self.ID()))] {
		news = append(news, f.selfNews())
	}
	for id, rec := range f.records {
		if differs[bucketOf(id)] {
			news = append(news, rec.news())
		}
	}
	return news
}

// compare compares with a random neighbour.
func (f *Fleet) compare(ctx context.Context) {
	addresses := f.Neighbours()
	if len(addresses) > 0 {
		f.compareWith(ctx, addresses[rand.IntN(len(addresses))])
	}
}

// compareWith takes in what the peer knows and this process does not, and the reverse.
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
	news := f.differing(answer.Digest)
	f.mu.Unlock()
	f.take(answer.News)
	if len(news) == 0 {
		return
	}
	args = Records{
		News: news,
	}
	_ = f.caller.Call(ctx, address, MethodCompare, args, &answer)
}

// Service answers peers over net/rpc; it is registered as "Fleet".
type Service struct {
	fleet *Fleet
}

// NewService returns the service of a fleet.
func NewService(fleet *Fleet) *Service {
	return &Service{
		fleet: fleet,
	}
}

// Beat takes a heartbeat and answers with one.
func (s *Service) Beat(args Beat, reply *Beat) error {
	*reply = s.fleet.heardFrom(args)
	return nil
}

// Compare takes news in and, asked with a digest, answers with what the asking process may not know.
func (s *Service) Compare(args Records, reply *Records) error {
	s.fleet.take(args.News)
	if len(args.Digest.Buckets) == 0 {
		return nil
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	reply.News = s.fleet.differing(args.Digest)
	reply.Digest = s.fleet.digest()
	return nil
}
