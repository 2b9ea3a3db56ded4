package pool

import "time"

// limiter limits the runs in flight at an endpoint, by what its answers have shown.
type limiter interface {
	// limit returns the largest number of runs, from 1 to slots.
	limit(slots int) int
	// answered records the beginning of an answer.
	answered(answer answerPace, slots int, now time.Time)
	// rejected records that the endpoint rejected a run while it had others: held is how many.
	rejected(held, slots int, now time.Time)
	// restart records that the endpoint has started, or has failed.
	restart()
	// advance records that time has passed.
	advance(slots int, now time.Time)
	// learnt returns the state for the next steward, and restore applies it.
	learnt() learntLimit
	restore(learnt learntLimit, now time.Time)
}

// answerPace is how soon an answer began.
type answerPace struct {
	// slowness is the time to the first event divided by the expected one, or zero if either is unknown.
	slowness float64
	// held is how many runs the endpoint had when the run began, with the run itself.
	held int
	// batch means that it is a batch run, whose prompt may be longer than those of online requests.
	batch bool
}

// slow reports whether the answer began late.
func (a answerPace) slow() bool {
	return a.slowness > tolerance
}

// learntLimit is what a limiter has learnt. A limit of zero means all slots, a ceiling of zero that there is none.
type learntLimit struct {
	Limit   int
	Ceiling int
}

const (
	// tolerance is how many times the expected time to first event an answer may take without counting as slow. At an
	// endpoint with all slots in use it takes up to one and a half times as long as the mean.
	tolerance = 2
	// slowAnswers is how many answers in a row must be slow for the limit to fall. A single one may have a long prompt.
	slowAnswers = 3
	// limitGrowth is the factor by which the limit grows with each timely answer.
	limitGrowth = 2
	// untestedGrowth is the time after which the limit grows by one run if no answer has begun: the runs in flight may be
	// long ones that tell nothing. In simulations, with 1 s a returned endpoint whose first prompt was long took up to 2.3 s
	// of demand to be in full use, and with 250 ms a cold one gave 5.2 late answers after each return instead of 3.2.
	untestedGrowth = 500 * time.Millisecond
	// ceilingHold is how long a ceiling is kept after the first rejection. Each rejection after that doubles it, up to
	// maxCeilingHold. A rejection may be due to runs that the steward does not know, which end within a second. With 8 s, an
	// endpoint that took all runs again stayed below its slots for so long, which cost more than a rejection a second.
	ceilingHold    = 250 * time.Millisecond
	maxCeilingHold = time.Second
)

// slowStart is a limiter that begins with one run and doubles the limit with each timely answer, at low demand as well. Slow
// answers in a row halve it. A rejection sets a ceiling, above which one run is tried after a hold that grows with each
// rejection.
type slowStart struct {
	// current is the limit, or zero for all slots.
	current int
	// ceiling is how many runs the endpoint had when it rejected another one, or zero.
	ceiling int
	// hold is for how long the ceiling is kept, until is its end. Then it is raised by one run; step is by how much it is
	// raised further as soon as that run was accepted, or zero before.
	hold  time.Duration
	until time.Time
	step  int
	// slowRow counts the last answers in a row that were slow.
	slowRow int
	// changed is when the limit last changed or an answer last began, zero if that was not observed yet.
	changed time.Time
}

func newSlowStart() limiter {
	return &slowStart{}
}

func (s *slowStart) limit(slots int) int {
	if s.current == 0 {
		return slots
	}
	return min(s.current, slots)
}

func (s *slowStart) answered(answer answerPace, slots int, now time.Time) {
	s.changed = now
	if answer.slow() {
		s.recordSlow(answer, slots)
		return
	}
	s.slowRow = 0
	if s.current == 0 {
		return
	}
	if s.step > 0 && answer.held >= s.ceiling {
		s.confirm(slots)
		return
	}
	s.grow(s.current*limitGrowth, slots)
}

// recordSlow halves the limit after several slow answers in a row. Those of batch runs prove nothing.
func (s *slowStart) recordSlow(answer answerPace, slots int) {
	if answer.batch {
		return
	}
	s.slowRow++
	if s.slowRow < slowAnswers {
		return
	}
	s.slowRow = 0
	s.current = max(1, s.limit(slots)/2)
}

// raise raises the ceiling by one run after the hold, and again after longer times in which no run was rejected: at low
// demand, no run shows that the endpoint takes more.
func (s *slowStart) raise(slots int, now time.Time) {
	if s.ceiling >= slots {
		s.ceiling = 0
		s.step = 0
		s.hold = 0
		return
	}
	full := s.current >= s.ceiling
	s.ceiling++
	s.step = 2
	s.until = now.Add(maxCeilingHold)
	if full {
		s.changed = now
		s.current = s.ceiling
	}
}

// confirm raises the ceiling after a run above the last one was accepted, or removes it if all slots were in use.
func (s *slowStart) confirm(slots int) {
	if s.ceiling >= slots {
		*s = slowStart{}
		return
	}
	s.ceiling = min(s.ceiling+s.step, slots)
	s.step *= 2
	s.current = s.ceiling
}

// grow raises the limit as far as the ceiling and the slots allow.
func (s *slowStart) grow(limit, slots int) {
	if s.ceiling > 0 {
		// All slots in use would have to be accepted before the ceiling is forgotten.
		s.current = min(limit, s.ceiling, slots)
		return
	}
	s.current = limit
	if limit >= slots {
		s.current = 0
	}
}

func (s *slowStart) rejected(held, slots int, now time.Time) {
	if held >= s.limit(slots) {
		// The endpoint still worked on cancelled runs. It took as many as it should.
		return
	}
	s.slowRow = 0
	s.changed = now
	if s.ceiling == 0 || s.step > 0 {
		s.hold = min(max(ceilingHold, 2*s.hold), maxCeilingHold)
	}
	s.ceiling = max(1, held)
	s.current = s.ceiling
	s.until = now.Add(s.hold)
	s.step = 0
}

func (s *slowStart) restart() {
	*s = slowStart{
		current: 1,
	}
}

func (s *slowStart) advance(slots int, now time.Time) {
	if s.current == 0 {
		return
	}
	if s.ceiling > 0 && !now.Before(s.until) {
		s.raise(slots, now)
	}
	if s.changed.IsZero() {
		s.changed = now
	}
	if now.Sub(s.changed) >= untestedGrowth {
		s.changed = now
		s.grow(s.current+1, slots)
	}
}

func (s *slowStart) learnt() learntLimit {
	return learntLimit{
		Limit:   s.current,
		Ceiling: s.ceiling,
	}
}

func (s *slowStart) restore(learnt learntLimit, now time.Time) {
	*s = slowStart{
		current: learnt.Limit,
		ceiling: learnt.Ceiling,
		changed: now,
	}
	if s.ceiling > 0 {
		s.hold = ceilingHold
		s.until = now.Add(s.hold)
	}
}
