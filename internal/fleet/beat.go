package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/tablestore"
)

// Beat is a heartbeat and the answer to one.
type Beat struct {
	From     ID
	Sequence Sequence
	// Doubted says that the sender holds the receiver, at the sequence that it knows, for suspect or lost.
	Doubted   bool
	DoubtedAt Sequence
	// Stranger says that the sender does not know the receiver, which shall tell who it is.
	Stranger bool
	News     []News
}

// MethodBeat is the name of the heartbeat's method.
const MethodBeat = "Fleet.Beat"

const (
	// widestWatch bounds how many members a process watches while those nearest to it do not answer.
	widestWatch = 64
	// strangersPerBeat is how many listed processes that are not known alive are tried with each heartbeat.
	strangersPerBeat = 3
)

// target is a peer to send a heartbeat to; the id is empty if it is not known.
type target struct {
	id      ID
	address string
	// watched says that the lack of an answer counts.
	watched bool
}

// beat sends heartbeats to the watched members, to a few listed processes that are not known and, if there is news, to
// the neighbours far off on the ring.
func (f *Fleet) beat(ctx context.Context, period time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	var group sync.WaitGroup
	for _, to := range slices.Concat(f.watched(), f.strangers(), f.far(), f.probed()) {
		group.Go(func() {
			f.beatTo(ctx, to)
		})
	}
	group.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.judge() {
		f.rebuild()
	}
}

// watched returns the nearest successors, as many as watch a member and two for each that does not answer, so that the
// watch widens fast where many are silent.
func (f *Fleet) watched() []target {
	var targets []target
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := watchers
	f.roster.Load().successors(placeOf(&f.self).at, func(p place) bool {
		rec := f.records[p.id]
		if rec == nil {
			return true
		}
		targets = append(targets, target{
			id:      p.id,
			address: p.member.Address,
			watched: true,
		})
		if rec.misses > 0 {
			wanted += 2
		}
		return len(targets) < min(wanted, widestWatch)
	})
	return targets
}

// far returns the neighbours other than the successor if there is news for them.
func (f *Fleet) far() []target {
	f.mu.Lock()
	quiet := len(f.rumours) == 0
	f.mu.Unlock()
	if quiet {
		return nil
	}
	var targets []target
	for i, p := range f.roster.Load().neighbours(f.self) {
		if i > 0 {
			targets = append(targets, target{
				id:      p.id,
				address: p.member.Address,
			})
		}
	}
	return targets
}

// probed returns the doubted members that sent a heartbeat.
func (f *Fleet) probed() []target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []target
	for id, address := range f.probes {
		targets = append(targets, target{
			id:      id,
			address: address,
		})
	}
	clear(f.probes)
	return targets
}

// strangers returns a few listed processes that are not known alive.
func (f *Fleet) strangers() []target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []target
	for range min(len(f.unknown), strangersPerBeat) {
		targets = append(targets, target{
			address: f.unknown[rand.IntN(len(f.unknown))],
		})
	}
	return slices.Compact(targets)
}

func (f *Fleet) beatTo(ctx context.Context, to target) {
	var answer Beat
	if err := f.caller.Call(ctx, to.address, MethodBeat, f.ownBeat(to.id), &answer); err != nil {
		if to.watched {
			f.missed(to.id)
		}
		return
	}
	f.hear(answer, to)
	if answer.From == ID(f.self.ID()) || !answer.Stranger && !f.mustTell(answer.From, to) {
		return
	}
	// One does not know the other, or this process doubts a member that it did not expect to reach.
	beat := f.ownBeat(answer.From)
	f.mu.Lock()
	beat.News = append(beat.News, f.selfNews())
	f.mu.Unlock()
	to.id = answer.From
	answer = Beat{}
	if f.caller.Call(ctx, to.address, MethodBeat, beat, &answer) != nil {
		return
	}
	f.hear(answer, to)
	if beat.Stranger {
		f.compareWith(ctx, to.address)
	}
}

// mustTell reports whether the member that answered is unknown, or doubted without having been told so.
func (f *Fleet) mustTell(id ID, asked target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	rec := f.records[id]
	return rec == nil || rec.doubted() && asked.id != id
}

// ownBeat returns the heartbeat to a member.
func (f *Fleet) ownBeat(to ID) Beat {
	f.mu.Lock()
	defer f.mu.Unlock()
	beat := Beat{
		From:     ID(f.self.ID()),
		Sequence: f.sequence,
		News:     f.tell(),
	}
	if rec := f.records[to]; rec != nil {
		beat.Doubted = rec.doubted()
		beat.DoubtedAt = rec.sequence
	} else {
		beat.Stranger = to != ""
	}
	return beat
}

// hear takes a member's answer in, which proves that it is alive and reachable.
func (f *Fleet) hear(answer Beat, to target) {
	f.mu.Lock()
	if rec := f.records[answer.From]; rec != nil {
		rec.heard = time.Now()
		rec.misses = 0
		if rec.member.VM != f.self.VM {
			f.answered = time.Now()
		}
		if answer.Sequence > rec.sequence {
			news := rec.news()
			news.Sequence = answer.Sequence
			news.Suspects = nil
			answer.News = append(answer.News, news)
		}
	}
	if rec := f.records[to.id]; rec != nil && answer.From != to.id && !rec.lost {
		f.doubt(rec, ID(f.self.ID()))
		f.spread(rec.news())
		f.lose(rec, "replaced")
		f.rebuild()
	}
	f.mu.Unlock()
	f.take(answer.News)
}

// missed counts a heartbeat without an answer.
func (f *Fleet) missed(id ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rec := f.records[id]
	if rec == nil {
		return
	}
	rec.misses++
	own := ID(f.self.ID())
	if rec.misses < suspectAfter || rec.suspects[own] {
		return
	}
	f.doubt(rec, own)
	f.spread(rec.news())
}

// heardFrom takes a heartbeat in and returns the answer. A heartbeat shows that its sender lives, not that it can be
// reached: a doubted sender is called, and told so.
func (f *Fleet) heardFrom(beat Beat) Beat {
	f.mu.Lock()
	f.refute(beat.DoubtedAt, beat.Doubted)
	for _, news := range beat.News {
		if news.Member == f.self {
			f.refute(news.Sequence, len(news.Suspects) > 0)
		}
	}
	if rec := f.records[beat.From]; rec != nil && rec.doubted() {
		f.probes[beat.From] = rec.member.Address
	}
	f.mu.Unlock()
	f.take(beat.News)
	answer := f.ownBeat(beat.From)
	if beat.Stranger {
		f.mu.Lock()
		answer.News = append(answer.News, f.selfNews())
		f.mu.Unlock()
	}
	return answer
}

// leavingVMs marks the members on VMs that the list says are leaving.
func (f *Fleet) leavingVMs(vms []tablestore.VM) {
	leaving := map[tablestore.VMName]bool{}
	for _, vm := range vms {
		if vm.State == tablestore.VMLeaving && vm.Service == "" {
			leaving[vm.Name] = true
		}
	}
	if len(leaving) == 0 {
		return
	}
	var news []News
	f.mu.Lock()
	for _, rec := range f.records {
		if leaving[rec.member.VM] && !rec.leaving {
			said := rec.news()
			said.Leaving = true
			news = append(news, said)
		}
	}
	f.mu.Unlock()
	f.take(news)
}
