// Package quarantine finds the parts of prompts at which endpoints crash, and lists them so that requests with such a
// part are withheld from all endpoints.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/prompt"
)

// The weight of a crash counts against the parts of the runs that were lost in it.
const (
	// weightBegun is the weight if the answer had begun, weightWaiting that if the request may have been waiting.
	weightBegun   = 2
	weightWaiting = 1
	// weightNeeded is the weight of crashes in a row at which a part is their cause if it occurs in most crashes
	// meanwhile: three with answers that had begun. With two, parts that are rarely used would be blamed for crashes with
	// other causes.
	weightNeeded = 6
	// weightNeededAlone is the weight that is needed if endpoints crash for other reasons as well, or if the part has
	// been answered before and so is less likely the cause than another part of the same prompts.
	weightNeededAlone = 12
	// answersNeeded is how many answers must have been seen in all to know which parts are usually answered. Before, all
	// parts count as answered.
	answersNeeded = 60
	// weightSuspicious is the weight at which a part that was never answered is a suspect: one such crash.
	weightSuspicious = 2
)

const (
	// settleTime is how long after the last report of a lost run the reports of others are waited for.
	settleTime = 100 * time.Millisecond
	// evidenceTTL is how long a crash is remembered, and maxCrashes how many are.
	evidenceTTL = 10 * time.Minute
	maxCrashes  = 64
	// maxRuns is how many lost runs of a crash are remembered, more than an endpoint has slots.
	maxRuns = 64
	// maxAnswered is how many answered parts are remembered in each of two generations, of about 100 bytes each.
	maxAnswered = 2048
)

// LostRun is a run that was at the beginning of its answer when its endpoint crashed.
type LostRun struct {
	// Parts are the parts of the prompt that other requests may have as well, in order.
	Parts []prompt.PartID
	// Granted is when the run got its slot.
	Granted time.Time
	// Begun means that the answer had begun. Otherwise the request may have been waiting at the endpoint.
	Begun bool
	// Answered is how long the content of the answer had been arriving.
	Answered time.Duration
}

// crash is the end of an endpoint's process.
type crash struct {
	endpoint inventory.Lifetime
	at       time.Time
	// reported is when a lost run was last reported.
	reported time.Time
	runs     []LostRun
	// judged means that the crash has been considered by Culprits.
	judged bool
}

// Evidence judges which parts of prompts make the endpoints of a service crash, from the runs that were lost and those
// that were answered. Crashes have other causes as well, and take down runs that have nothing to do with them. A part is
// the cause if endpoints crash under it time after time, each time at the beginning of an answer in a run that was
// granted after the crash before, and no answer with it has got beyond its beginning meanwhile.
type Evidence struct {
	crashes []crash
	// answered holds when the last answer with a part arrived; older is the previous generation of the map.
	answered map[prompt.PartID]time.Time
	older    map[prompt.PartID]time.Time
	// answers is the number of answers with any parts.
	answers int
	// listed holds the parts that are listed as a cause already, with the time until which they are withheld. They
	// account for the crashes in which they occur, and after that time one more crash is enough to blame them again.
	listed map[prompt.PartID]time.Time
	// suspects holds the parts that may be the cause of the latest crashes.
	suspects map[prompt.PartID]bool
}

// NewEvidence returns an Evidence without observations.
func NewEvidence() *Evidence {
	return &Evidence{
		answered: map[prompt.PartID]time.Time{},
		suspects: map[prompt.PartID]bool{},
	}
}

// SetListed replaces the parts that are listed as a cause of crashes, with the time until which each is withheld.
func (e *Evidence) SetListed(parts map[prompt.PartID]time.Time) {
	e.listed = parts
	e.updateSuspects()
}

// AddAnswer records an answer to a request with the parts that was complete or got beyond its beginning.
func (e *Evidence) AddAnswer(parts []prompt.PartID, now time.Time) {
	e.answers++
	for _, part := range parts {
		e.addAnswered(part, now)
	}
}

func (e *Evidence) addAnswered(part prompt.PartID, at time.Time) {
	if len(e.answered) >= maxAnswered {
		e.older = e.answered
		e.answered = map[prompt.PartID]time.Time{}
	}
	if at.After(e.answered[part]) {
		e.answered[part] = at
	}
	delete(e.suspects, part)
}

// AddCrash records a run that was lost at the beginning of its answer because its endpoint crashed.
func (e *Evidence) AddCrash(endpoint inventory.Lifetime, run LostRun, now time.Time) {
	e.addCrash(endpoint, run, now, now)
}

// addCrash records a run that was lost in a crash at a time.
func (e *Evidence) addCrash(endpoint inventory.Lifetime, run LostRun, at, now time.Time) {
	if len(run.Parts) == 0 {
		return
	}
	defer e.addSuspects(run.Parts)
	for i := range e.crashes {
		c := &e.crashes[i]
		if c.endpoint == endpoint {
			// A VM that registers again reports its runs once more.
			if len(c.runs) < maxRuns {
				c.runs = append(c.runs, run)
			}
			c.reported = now
			return
		}
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool {
		return now.Sub(c.at) > evidenceTTL
	})
	if len(e.crashes) >= maxCrashes {
		e.crashes = slices.Delete(e.crashes, 0, 1)
	}
	// The crashes stay in the order of time.
	position := len(e.crashes)
	for position > 0 && e.crashes[position-1].at.After(at) {
		position--
	}
	e.crashes = slices.Insert(e.crashes, position, crash{
		endpoint: endpoint,
		at:       at,
		reported: now,
		runs:     []LostRun{run},
	})
}

// Pending reports whether Culprits must be called again, because the reports of a crash are not complete yet.
func (e *Evidence) Pending() bool {
	return slices.ContainsFunc(e.crashes, func(c crash) bool {
		return !c.judged
	})
}

// updateSuspects finds the parts that may be the cause of the latest crashes.
func (e *Evidence) updateSuspects() {
	clear(e.suspects)
	for i := range e.crashes {
		e.addSuspects(e.crashes[i].parts())
	}
}

// addSuspects adds those of the parts to the suspects that may be the cause of the latest crashes.
func (e *Evidence) addSuspects(parts []prompt.PartID) {
	for _, part := range parts {
		if e.neverAnswered(part) && e.answers >= answersNeeded && e.weight(part) >= weightSuspicious {
			e.suspects[part] = true
		}
	}
}

// Suspect reports whether a part is listed as a cause of crashes, or may be the cause of the latest ones.
func (e *Evidence) Suspect(part prompt.PartID) bool {
	_, listed := e.listed[part]
	return listed || e.suspects[part]
}

// Unjudged reports whether a crash in which a run with the part was lost has not been judged yet.
func (e *Evidence) Unjudged(part prompt.PartID) bool {
	return slices.ContainsFunc(e.crashes, func(c crash) bool {
		return !c.judged && c.has(part)
	})
}

// Culprits returns the parts that are the cause of the crashes whose reports are complete. Each is returned once
// for the crashes that it caused.
func (e *Evidence) Culprits(now time.Time) []prompt.PartID {
	var culprits []prompt.PartID
	for i := range e.crashes {
		c := &e.crashes[i]
		if c.judged || now.Sub(c.reported) < settleTime {
			continue
		}
		c.judged = true
		for _, part := range c.parts() {
			until, listed := e.listed[part]
			// Until then, runs may be lost that were granted before the part was listed.
			if listed && c.at.After(until) && !slices.Contains(culprits, part) {
				culprits = append(culprits, part)
			}
		}
		if part, found := e.culpritOf(c); found {
			culprits = append(culprits, part)
			e.forgetCrashesOf(part)
			e.updateSuspects()
			return append(culprits, e.Culprits(now)...)
		}
	}
	return culprits
}

// suspicion is what speaks for a part as the cause of crashes.
type suspicion struct {
	part prompt.PartID
	// presence is the weight of all crashes with the part since its last answer, in a row or not.
	presence int
	// answered means that the part has been answered before.
	answered bool
	// longestAnswer is how long an answer with the part had been arriving at most when its endpoint crashed.
	longestAnswer time.Duration
	// position is the part's place in the prompt.
	position int
}

// stronger reports whether s blames its part more than other does. The part with the most crashes comes first; then parts
// that were never answered; then those whose answers had made the least progress; then those that come later in the
// prompt, as what comes first is shared with more requests that are sound.
func (s suspicion) stronger(other suspicion) bool {
	if s.presence == other.presence && s.answered != other.answered {
		return other.answered
	}
	return cmp.Or(
		cmp.Compare(other.presence, s.presence),
		cmp.Compare(s.longestAnswer, other.longestAnswer),
		cmp.Compare(other.position, s.position),
		cmp.Compare(s.part, other.part),
	) < 0
}

// culpritOf returns the part that is most likely the cause of a crash, if enough speaks for it.
func (e *Evidence) culpritOf(c *crash) (prompt.PartID, bool) {
	if e.explained(c) {
		return "", false
	}
	var strongest suspicion
	for _, run := range c.runs {
		for position, part := range run.Parts {
			s := suspicion{
				part:          part,
				presence:      e.presence(part),
				answered:      !e.neverAnswered(part),
				longestAnswer: e.longestAnswer(part),
				position:      position,
			}
			if strongest.part == "" || s.stronger(strongest) {
				strongest = s
			}
		}
	}
	return strongest.part, e.enough(strongest.part)
}

// enough reports whether the crashes in a row suffice to blame the part.
func (e *Evidence) enough(part prompt.PartID) bool {
	weight := e.weight(part)
	if e.neverAnswered(part) && e.answers >= answersNeeded {
		return weight >= weightNeededAlone || weight >= weightNeeded && e.inMostCrashes(part)
	}
	return weight >= weightNeededAlone && e.inMostCrashes(part)
}

// inMostCrashes reports whether a run with the part was lost in at least half of the crashes since the first such one.
func (e *Evidence) inMostCrashes(part prompt.PartID) bool {
	with, all := 0, 0
	for i := range e.crashes {
		c := &e.crashes[i]
		has := c.has(part)
		if e.explained(c) || !has && all == 0 {
			continue
		}
		all++
		if has {
			with++
		}
	}
	return 2*with >= all
}

// weight returns the weight of the crashes in a row that count against the part: in each, a run with it was lost that was
// granted after the crash before and after the last answer with the part.
func (e *Evidence) weight(part prompt.PartID) int {
	since := e.lastAnswer(part)
	total := 0
	for i := range e.crashes {
		c := &e.crashes[i]
		weight := c.weight(part, since)
		if weight == 0 || e.explained(c) {
			continue
		}
		total += weight
		since = c.at
	}
	return total
}

// presence returns the weight of all crashes with the part since its last answer.
func (e *Evidence) presence(part prompt.PartID) int {
	since := e.lastAnswer(part)
	total := 0
	for i := range e.crashes {
		if c := &e.crashes[i]; !e.explained(c) {
			total += c.weight(part, since)
		}
	}
	return total
}

// longestAnswer returns how long an answer with the part had been arriving at most when its endpoint crashed.
func (e *Evidence) longestAnswer(part prompt.PartID) time.Duration {
	var longest time.Duration
	for _, c := range e.crashes {
		for _, run := range c.runs {
			if slices.Contains(run.Parts, part) {
				longest = max(longest, run.Answered)
			}
		}
	}
	return longest
}

// explained reports whether a listed part accounts for the crash.
func (e *Evidence) explained(c *crash) bool {
	return slices.ContainsFunc(c.parts(), func(part prompt.PartID) bool {
		_, listed := e.listed[part]
		return listed
	})
}

// forgetCrashesOf forgets the crashes that a part accounts for.
func (e *Evidence) forgetCrashesOf(part prompt.PartID) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool {
		return c.has(part)
	})
}

func (e *Evidence) lastAnswer(part prompt.PartID) time.Time {
	if at, ok := e.answered[part]; ok {
		return at
	}
	return e.older[part]
}

func (e *Evidence) neverAnswered(part prompt.PartID) bool {
	return e.lastAnswer(part).IsZero()
}

// parts returns the parts of the lost runs.
func (c *crash) parts() []prompt.PartID {
	var parts []prompt.PartID
	for _, run := range c.runs {
		parts = append(parts, run.Parts...)
	}
	return parts
}

// has reports whether a lost run has the part.
func (c *crash) has(part prompt.PartID) bool {
	return slices.Contains(c.parts(), part)
}

// weight returns the weight of the crash against a part, considering the runs granted after a time.
func (c *crash) weight(part prompt.PartID, since time.Time) int {
	weight := 0
	for _, run := range c.runs {
		switch {
		case !run.Granted.After(since) || !slices.Contains(run.Parts, part):
		case run.Begun:
			return weightBegun
		default:
			weight = weightWaiting
		}
	}
	return weight
}
