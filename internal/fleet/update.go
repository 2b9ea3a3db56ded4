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
	// defaultSilenceTimeout is the duration of suspectAfter heartbeats until Run sets it by its heartbeat period.
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

// apply applies updates and queues those that were new to be passed on. Updates about this process itself are ignored.
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
	suspectsBefore := len(rec.suspects)
	changed := update.Leaving && !rec.leaving
	rec.leaving = rec.leaving || update.Leaving
	if update.Sequence > rec.sequence {
		changed = true
		rec.sequence = update.Sequence
		clear(rec.suspects)
		suspectsBefore = 0
		f.markAlive(rec)
	}
	f.addSuspects(rec, update)
	if changed || len(rec.suspects) != suspectsBefore {
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
	f.addSuspects(rec, update)
	f.enqueue(rec.update())
	return true
}

// refute raises this process's own sequence above the one at which it was suspected. It must only be called for a call
// that reached this process, which proves that the process can be reached. The caller must hold f.mu.
func (f *Fleet) refute(at Sequence, suspected bool) {
	if suspected && at >= f.sequence {
		f.sequence = at + 1
		f.enqueue(f.selfUpdate())
	}
}

// addSuspects adds the suspects of an update to the record if both are of the same sequence.
func (f *Fleet) addSuspects(rec *record, update MemberUpdate) {
	if update.Sequence != rec.sequence {
		return
	}
	for _, by := range update.Suspects {
		f.suspect(rec, by)
	}
}

// suspect records that the watcher suspects the member. The caller must hold f.mu.
func (f *Fleet) suspect(rec *record, by ID) {
	if rec.suspects == nil {
		rec.suspects = map[ID]bool{}
	}
	rec.suspects[by] = true
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

// detectLost marks members as lost that enough of their watchers suspect, unless they have answered this process within
// the silence timeout. It reports whether the roster changed. The caller must hold f.mu.
func (f *Fleet) detectLost() bool {
	changed := false
	for id, rec := range f.suspected {
		if rec.lost || len(rec.suspects) == 0 {
			delete(f.suspected, id)
			continue
		}
		if time.Since(rec.lastAnswer) < f.silenceTimeout {
			continue
		}
		needed, suspects := f.suspicionVotes(rec)
		if suspects >= needed {
			f.markLost(rec, "silent")
			changed = true
		}
	}
	return changed
}

// suspicionVotes returns how many watchers of a member must suspect it for it to be lost, and how many do. The watchers
// are its nearest predecessors that are neither suspected nor lost themselves.
func (f *Fleet) suspicionVotes(rec *record) (needed, suspects int) {
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
		if rec.suspects[p.id] {
			suspects++
		}
		return found < watcherCount
	})
	return max(1, min(lossQuorum, found)), suspects
}

// prune removes the members that were lost more than lostRetention ago. The caller must hold f.mu.
func (f *Fleet) prune() {
	for id, rec := range f.records {
		if rec.lost && time.Since(rec.changed) > lostRetention {
			delete(f.records, id)
		}
	}
}
