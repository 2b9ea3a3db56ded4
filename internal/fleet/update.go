package fleet

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// watchers is how many members watch each member.
	watchers = 3
	// agreeing is how many watchers must find a member silent for it to be lost.
	agreeing = 2
	// suspectAfter is how many heartbeats without an answer make a member suspect.
	suspectAfter = 4
	// defaultSilence is the time of that many heartbeats before Run says how far they are apart.
	defaultSilence = 2 * time.Second
	// lostKept is how long a lost member is remembered, so that late news does not bring it back.
	lostKept = 2 * time.Minute
	// rumoursPerBeat bounds the news that a heartbeat carries.
	rumoursPerBeat = 16
)

// rumour is news on its way; it is told a few times and then dropped.
type rumour struct {
	news News
	left int
}

// selfNews needs the lock.
func (f *Fleet) selfNews() News {
	return News{
		Member:   f.self,
		Sequence: f.sequence,
		Leaving:  f.leaving,
	}
}

// spread queues news in place of older news of the same member; it needs the lock.
func (f *Fleet) spread(news News) {
	told := &rumour{
		news: news,
		left: 2 * (1 + bits.Len(uint(len(f.records)))),
	}
	for i, queued := range f.rumours {
		if queued.news.Member.ID() == news.Member.ID() {
			f.rumours[i] = told
			return
		}
	}
	f.rumours = append(f.rumours, told)
}

// tell returns the news for one heartbeat; it needs the lock.
func (f *Fleet) tell() []News {
	slices.SortStableFunc(f.rumours, func(a, b *rumour) int {
		return b.left - a.left
	})
	var told []News
	for _, queued := range f.rumours[:min(rumoursPerBeat, len(f.rumours))] {
		told = append(told, queued.news)
		queued.left--
	}
	f.rumours = slices.DeleteFunc(f.rumours, func(queued *rumour) bool {
		return queued.left <= 0
	})
	return told
}

// take takes news in and passes on what was new. What is said of this process itself is passed over.
func (f *Fleet) take(all []News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, news := range all {
		changed = f.takeOne(news) || changed
	}
	changed = f.judge() || changed
	if changed {
		f.rebuild()
	}
}

func (f *Fleet) takeOne(news News) bool {
	id := ID(news.Member.ID())
	if id == ID(f.self.ID()) {
		return false
	}
	rec := f.records[id]
	if rec == nil {
		return f.meet(id, news)
	}
	before := len(rec.suspects)
	changed := news.Leaving && !rec.leaving
	rec.leaving = rec.leaving || news.Leaving
	if news.Sequence > rec.sequence {
		changed = true
		rec.sequence = news.Sequence
		clear(rec.suspects)
		before = 0
		f.find(rec)
	}
	f.suspect(rec, news)
	if changed || len(rec.suspects) != before {
		f.spread(rec.news())
		return true
	}
	return false
}

// meet takes in a member that was not known; it needs the lock.
func (f *Fleet) meet(id ID, news News) bool {
	// What ran at this process's own address before it is gone, whatever is said.
	if news.Lost || news.Member.Address == f.self.Address {
		return false
	}
	rec := &record{
		id:       id,
		member:   news.Member,
		sequence: news.Sequence,
		leaving:  news.Leaving,
		changed:  time.Now(),
	}
	f.records[id] = rec
	f.log.Info("member found", "member", id)
	f.suspect(rec, news)
	f.spread(rec.news())
	return true
}

// refute raises the own sequence above that at which this process was doubted; it needs the lock. Only a call that
// reached this process may lead to it, for that shows that it can be reached.
func (f *Fleet) refute(at Sequence, doubted bool) {
	if doubted && at >= f.sequence {
		f.sequence = at + 1
		f.spread(f.selfNews())
	}
}

func (f *Fleet) suspect(rec *record, news News) {
	if news.Sequence != rec.sequence {
		return
	}
	for _, by := range news.Suspects {
		f.doubt(rec, by)
	}
}

// doubt needs the lock.
func (f *Fleet) doubt(rec *record, by ID) {
	if rec.suspects == nil {
		rec.suspects = map[ID]bool{}
	}
	rec.suspects[by] = true
	f.suspected[rec.id] = rec
}

func (f *Fleet) find(rec *record) {
	if rec.lost {
		rec.lost = false
		rec.changed = time.Now()
		f.log.Info("member found", "member", rec.id)
	}
}

func (f *Fleet) lose(rec *record, why string) {
	rec.lost = true
	rec.changed = time.Now()
	f.log.Info("member lost", "member", rec.id, "why", why)
}

// judge finds members lost that enough of their watchers find silent, unless they answered this process lately;
// it needs the lock and reports whether the roster changed.
func (f *Fleet) judge() bool {
	changed := false
	for id, rec := range f.suspected {
		if rec.lost || len(rec.suspects) == 0 {
			delete(f.suspected, id)
			continue
		}
		if time.Since(rec.heard) < f.silence {
			continue
		}
		needed, agreed := f.verdict(rec)
		if agreed >= needed {
			f.lose(rec, "silent")
			changed = true
		}
	}
	return changed
}

// verdict returns how many watchers of a member must agree and how many do. The watchers are its nearest predecessors
// that nobody doubts.
func (f *Fleet) verdict(rec *record) (needed, agreed int) {
	own := ID(f.self.ID())
	found := 0
	f.roster.Load().predecessors(placeOf(&rec.member).at, func(p place) bool {
		if p.id == rec.id {
			return true
		}
		if other := f.records[p.id]; p.id != own && (other == nil || other.doubted()) {
			return true
		}
		found++
		if rec.suspects[p.id] {
			agreed++
		}
		return found < watchers
	})
	return max(1, min(agreeing, found)), agreed
}

// prune forgets members that were lost long ago; it needs the lock.
func (f *Fleet) prune() {
	for id, rec := range f.records {
		if rec.lost && time.Since(rec.changed) > lostKept {
			delete(f.records, id)
		}
	}
}
