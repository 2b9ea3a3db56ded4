package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/tablestore"
)

// Heartbeat is a heartbeat or the answer to one.
type Heartbeat struct {
	From     ID
	Sequence Sequence
	// Doubted says that the sender has the receiver as suspected or lost, with the sequence DoubtedAt. The receiver then
	// raises its own sequence above it.
	Doubted   bool
	DoubtedAt Sequence
	// Stranger says that the sender has no record of the receiver. The receiver then sends it an update about itself.
	Stranger bool
	// News holds updates about members, which the receiver applies and passes on.
	News []MemberUpdate
}

// MethodBeat is the name of the net/rpc method that receives heartbeats.
const MethodBeat = "Fleet.Beat"

const (
	// maxWatched limits how many members a process watches while its nearest successors do not answer.
	maxWatched = 64
	// unknownPerRound is the number of listed addresses at which no member is known to be alive that are tried in each
	// round of heartbeats.
	unknownPerRound = 3
)

// target is a peer to send a heartbeat to. The id is empty if it is not known.
type target struct {
	id      ID
	address string
	// watched says that the target is a watched member, so that a missing answer counts as a miss.
	watched bool
}

// sendHeartbeats sends heartbeats to the watched members, to a few listed addresses at which no member is known
// to be alive, to the members to be probed and, if updates are queued, to the neighbours other than the successor. It
// then detects lost members.
func (f *Fleet) sendHeartbeats(ctx context.Context, period time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	var group sync.WaitGroup
	for _, to := range slices.Concat(f.watchedTargets(), f.unknownTargets(), f.otherNeighbourTargets(), f.probeTargets()) {
		group.Go(func() {
			f.sendHeartbeat(ctx, to)
		})
	}
	group.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.detectLost() {
		f.rebuild()
	}
}

// watchedTargets returns the nearest successors: watcherCount of them, plus two for each that does not answer, so that
// the watch quickly widens where many members are silent.
func (f *Fleet) watchedTargets() []target {
	var targets []target
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := watcherCount
	f.roster.Load().successors(placeOf(&f.self).position, func(p place) bool {
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
		return len(targets) < min(wanted, maxWatched)
	})
	return targets
}

// otherNeighbourTargets returns the neighbours except the first, if updates are queued. The first is the successor,
// which watchedTargets includes.
func (f *Fleet) otherNeighbourTargets() []target {
	f.mu.Lock()
	queueEmpty := len(f.queue) == 0
	f.mu.Unlock()
	if queueEmpty {
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

// probeTargets returns the suspected or lost members that have sent a heartbeat, and clears the list of them.
func (f *Fleet) probeTargets() []target {
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

// unknownTargets returns a few different ones of the listed addresses at which no member is known to be alive.
func (f *Fleet) unknownTargets() []target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []target
	for _, i := range rand.Perm(len(f.unknown))[:min(len(f.unknown), unknownPerRound)] {
		targets = append(targets, target{
			address: f.unknown[i],
		})
	}
	return targets
}

func (f *Fleet) sendHeartbeat(ctx context.Context, to target) {
	var answer Heartbeat
	if err := f.caller.Call(ctx, to.address, MethodBeat, f.newHeartbeat(to.id), &answer); err != nil {
		if to.watched {
			f.missed(to.id)
		}
		return
	}
	f.handleAnswer(answer, to)
	if answer.From == ID(f.self.ID()) || !answer.Stranger && !f.needsSecondHeartbeat(answer.From, to) {
		return
	}
	// One of the two processes does not know the other, or this one suspects a member that it did not address: send a
	// second heartbeat, with an update about this process.
	heartbeat := f.newHeartbeat(answer.From)
	f.mu.Lock()
	heartbeat.News = append(heartbeat.News, f.selfUpdate())
	f.mu.Unlock()
	to.id = answer.From
	answer = Heartbeat{}
	if f.caller.Call(ctx, to.address, MethodBeat, heartbeat, &answer) != nil {
		return
	}
	f.handleAnswer(answer, to)
	if heartbeat.Stranger {
		f.compareWith(ctx, to.address)
	}
}

// needsSecondHeartbeat reports whether the member that answered is unknown, or is suspected or lost and unaware of it
// because the heartbeat was addressed to another id.
func (f *Fleet) needsSecondHeartbeat(id ID, addressed target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	rec := f.records[id]
	return rec == nil || rec.suspectedOrLost() && addressed.id != id
}

// newHeartbeat returns a heartbeat to a member, with the updates that are next in the queue.
func (f *Fleet) newHeartbeat(to ID) Heartbeat {
	f.mu.Lock()
	defer f.mu.Unlock()
	heartbeat := Heartbeat{
		From:     ID(f.self.ID()),
		Sequence: f.sequence,
		News:     f.nextUpdates(),
	}
	if rec := f.records[to]; rec != nil {
		heartbeat.Doubted = rec.suspectedOrLost()
		heartbeat.DoubtedAt = rec.sequence
	} else {
		heartbeat.Stranger = to != ""
	}
	return heartbeat
}

// handleAnswer processes a member's answer, which proves that the member is alive and reachable.
func (f *Fleet) handleAnswer(answer Heartbeat, to target) {
	f.mu.Lock()
	if rec := f.records[answer.From]; rec != nil {
		rec.lastAnswer = time.Now()
		rec.misses = 0
		if rec.member.VM != f.self.VM {
			f.lastRemoteAnswer = time.Now()
		}
		if answer.Sequence > rec.sequence {
			update := rec.update()
			update.Sequence = answer.Sequence
			// The suspicions refer to the earlier sequence.
			update.Suspects = nil
			answer.News = append(answer.News, update)
		}
	}
	// Another process answers at the member's address, so the member no longer runs.
	if rec := f.records[to.id]; rec != nil && answer.From != to.id && !rec.lost {
		f.suspect(rec, ID(f.self.ID()))
		f.enqueue(rec.update())
		f.markLost(rec, "replaced")
		f.rebuild()
	}
	f.mu.Unlock()
	f.apply(answer.News)
}

// missed counts a heartbeat without an answer and, from suspectAfter misses on, makes this process suspect the member.
func (f *Fleet) missed(id ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rec := f.records[id]
	if rec == nil {
		return
	}
	rec.misses++
	own := ID(f.self.ID())
	if rec.misses < suspectAfter || rec.suspectedBy[own] {
		return
	}
	f.suspect(rec, own)
	f.enqueue(rec.update())
}

// handleHeartbeat processes a heartbeat and returns the answer. A heartbeat proves that its sender is alive, but not
// that the sender can be reached. A suspected or lost sender is therefore probed, which also tells it of the suspicion.
func (f *Fleet) handleHeartbeat(heartbeat Heartbeat) Heartbeat {
	f.mu.Lock()
	f.refute(heartbeat.DoubtedAt, heartbeat.Doubted)
	for _, update := range heartbeat.News {
		if update.Member == f.self {
			f.refute(update.Sequence, len(update.Suspects) > 0)
		}
	}
	if rec := f.records[heartbeat.From]; rec != nil && rec.suspectedOrLost() {
		f.probes[heartbeat.From] = rec.member.Address
	}
	f.mu.Unlock()
	f.apply(heartbeat.News)
	answer := f.newHeartbeat(heartbeat.From)
	if heartbeat.Stranger {
		f.mu.Lock()
		answer.News = append(answer.News, f.selfUpdate())
		f.mu.Unlock()
	}
	return answer
}

// markLeavingVMs marks the members on VMs that are leaving according to the VM list.
func (f *Fleet) markLeavingVMs(vms []tablestore.VM) {
	leaving := map[tablestore.VMName]bool{}
	for _, vm := range vms {
		// A VM with a service is an endpoint, not a VM of this system.
		if vm.State == tablestore.VMLeaving && vm.Service == "" {
			leaving[vm.Name] = true
		}
	}
	if len(leaving) == 0 {
		return
	}
	var updates []MemberUpdate
	f.mu.Lock()
	for _, rec := range f.records {
		if leaving[rec.member.VM] && !rec.leaving {
			update := rec.update()
			update.Leaving = true
			updates = append(updates, update)
		}
	}
	f.mu.Unlock()
	f.apply(updates)
}
