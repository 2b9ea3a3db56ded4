package fleet

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// watcherCount is the number of members that watch each member.
	watcherCount = 3
	// lossQuorum is the number of watchers that must suspect a member for it to be considered lost.
	lossQuorum = 2
	// suspectAfter is the number of consecutive heartbeats without an answer after which a member is suspected.
	suspectAfter = 4
	// defaultSilenceTimeout is the silence timeout until Run sets it to suspectAfter times its heartbeat period. It is
	// that of a period of 500 ms.
	defaultSilenceTimeout = 2 * time.Second
	// lostRetention is how long a lost member is remembered, so that late updates do not bring it back.
	lostRetention = 2 * time.Minute
	// updatesPerHeartbeat limits the updates that a heartbeat carries.
	updatesPerHeartbeat = 16
)

// queuedUpdate is an update to be sent with the next heartbeats. It is sent a limited number of times and then dropped.
type queuedUpdate struct {
	update    MemberUpdate
	sendsLeft int
}

// selfUpdate returns the update about this process. The caller must hold f.mu.
func (f *Fleet) selfUpdate() MemberUpdate {
	return MemberUpdate{
		Member:   f.self,
		Sequence: f.sequence,
		Leaving:  f.leaving,
	}
}

// enqueue queues an update, replacing a queued one about the same member. The caller must hold f.mu.
func (f *Fleet) enqueue(update MemberUpdate) {
	// An update spreads to all members in a number of rounds that grows with the logarithm of the fleet's size. Twice
	// that many sends make it likely that it reaches every member; comparisons of records deliver what is still
	// missing.
	entry := &queuedUpdate{
		update:    update,
		sendsLeft: 2 * (1 + bits.Len(uint(len(f.records)))),
	}
	for i, queued := range f.queue {
		if queued.update.Member.ID() == update.Member.ID() {
			f.queue[i] = entry
			return
		}
	}
	f.queue = append(f.queue, entry)
}

// nextUpdates returns the updates for one heartbeat, those with the most sends left first. The caller must hold f.mu.
func (f *Fleet) nextUpdates() []MemberUpdate {
	slices.SortStableFunc(f.queue, func(a, b *queuedUpdate) int {
		return b.sendsLeft - a.sendsLeft
	})
	var updates []MemberUpdate
	for _, queued := range f.queue[:min(updatesPerHeartbeat, len(f.queue))] {
		updates = append(updates, queued.update)
		queued.sendsLeft--
	}
	f.queue = slices.DeleteFunc(f.queue, func(queued *queuedUpdate) bool {
		return queued.sendsLeft <= 0
	})
	return updates
}

// apply applies updates and queues the new ones, to pass them on. Updates about this process itself are ignored.
func (f *Fleet) apply(updates []MemberUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, update := range updates {
		changed = f.applyOne(update) || changed
	}
	changed = f.detectLost() || changed
	if changed {
		f.rebuild()
	}
}

func (f *Fleet) applyOne(update MemberUpdate) bool {
	id := ID(update.Member.ID())
	if id == ID(f.self.ID()) {
		return false
	}
	rec := f.records[id]
	if rec == nil {
		return f.addMember(id, update)
	}
	suspectedByBefore := len(rec.suspectedBy)
	changed := update.Leaving && !rec.leaving
	rec.leaving = rec.leaving || update.Leaving
	if update.Sequence > rec.sequence {
		changed = true
		rec.sequence = update.Sequence
		clear(rec.suspectedBy)
		suspectedByBefore = 0
		f.markAlive(rec)
	}
	f.addSuspicions(rec, update)
	if changed || len(rec.suspectedBy) != suspectedByBefore {
		f.enqueue(rec.update())
		return true
	}
	return false
}

// addMember adds a member that was not known. The caller must hold f.mu.
func (f *Fleet) addMember(id ID, update MemberUpdate) bool {
	// An earlier process at this process's own address no longer runs, whatever the update says.
	if update.Lost || update.Member.Address == f.self.Address {
		return false
	}
	rec := &record{
		id:       id,
		member:   update.Member,
		sequence: update.Sequence,
		leaving:  update.Leaving,
		changed:  time.Now(),
	}
	f.records[id] = rec
	f.log.Info("member found", "member", id)
	f.addSuspicions(rec, update)
	f.enqueue(rec.update())
	return true
}

// refute raises this process's own sequence above the one at which it was suspected. Use it only for suspicions that a
// peer reported in a call to this process, since the call proves that the process can be reached. The caller must hold
// f.mu.
func (f *Fleet) refute(at Sequence, suspected bool) {
	if suspected && at >= f.sequence {
		f.sequence = at + 1
		f.enqueue(f.selfUpdate())
	}
}

// addSuspicions adds the suspicions of an update to the record if both are of the same sequence.
func (f *Fleet) addSuspicions(rec *record, update MemberUpdate) {
	if update.Sequence != rec.sequence {
		return
	}
	for _, by := range update.Suspects {
		f.suspect(rec, by)
	}
}

// suspect records that the watcher suspects the member. The caller must hold f.mu.
func (f *Fleet) suspect(rec *record, by ID) {
	if rec.suspectedBy == nil {
		rec.suspectedBy = map[ID]bool{}
	}
	rec.suspectedBy[by] = true
	f.suspected[rec.id] = rec
}

func (f *Fleet) markAlive(rec *record) {
	if rec.lost {
		rec.lost = false
		rec.changed = time.Now()
		f.log.Info("member found", "member", rec.id)
	}
}

func (f *Fleet) markLost(rec *record, reason string) {
	rec.lost = true
	rec.changed = time.Now()
	f.log.Info("member lost", "member", rec.id, "why", reason)
}

// detectLost marks a member as lost if enough of its watchers suspect it, unless the member has answered this process
// within the silence timeout. It reports whether the roster changed. The caller must hold f.mu.
func (f *Fleet) detectLost() bool {
	changed := false
	for id, rec := range f.suspected {
		if rec.lost || len(rec.suspectedBy) == 0 {
			delete(f.suspected, id)
			continue
		}
		if time.Since(rec.lastAnswer) < f.silenceTimeout {
			continue
		}
		needed, votes := f.suspicionVotes(rec)
		if votes >= needed {
			f.markLost(rec, "silent")
			changed = true
		}
	}
	return changed
}

// suspicionVotes returns how many watchers of a member must suspect it for it to be lost, and how many do. The watchers
// are its nearest predecessors that are neither suspected nor lost themselves.
func (f *Fleet) suspicionVotes(rec *record) (needed, votes int) {
	own := ID(f.self.ID())
	found := 0
	f.roster.Load().predecessors(placeOf(&rec.member).position, func(p place) bool {
		if p.id == rec.id {
			return true
		}
		if other := f.records[p.id]; p.id != own && (other == nil || other.suspectedOrLost()) {
			return true
		}
		found++
		if rec.suspectedBy[p.id] {
			votes++
		}
		return found < watcherCount
	})
	return max(1, min(lossQuorum, found)), votes
}

// prune removes the members that were lost more than lostRetention ago. The caller must hold f.mu.
func (f *Fleet) prune() {
	for id, rec := range f.records {
		if rec.lost && time.Since(rec.changed) > lostRetention {
			delete(f.records, id)
		}
	}
}
