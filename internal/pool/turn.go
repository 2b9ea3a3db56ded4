package pool

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/turn"
)

// Cost is the size of a run in tokens of prompt and output.
type Cost int64

// riskHorizon is how long before its Start a batch item counts as at risk of missing its due time: about the length of a
// batch run. An item with less time left may find that each slot is freed once before its Start, and a flood of others
// then comes first. With 3 s, of the items of organisations beside a flood of jobs fewer were done in time; with 8 s, hardly
// more.
const riskHorizon = 5 * time.Second

// position is the place of a waiting ticket in the order of turns, as of the last decision that considered it.
type position struct {
	// line is that of the ticket's organisation and rank.
	line  *line
	group lineGroup
	// index is the ticket's index in the queue in the order of compareTickets.
	index int
	// start is the virtual time at which the ticket's run starts if its organisation is served in turn; behind is how
	// far that was after the virtual time: the service that the organisation has received or waits for ahead of it.
	start, behind turn.Time
}

// lineGroup is the part of a line that is served in the same pass: see grantOnline.
type lineGroup int

const (
	groupBegun lineGroup = iota
	groupOnTime
	groupLate
	groupCount
)

// line is the line of an organisation's waiting tickets of one rank.
type line struct {
	rank         *rankTurns
	organisation turn.ID
	// decision is the number of the decision for which costs and next are valid. costs is the sum of each group, next the
	// virtual start time of its next ticket.
	decision uint64
	costs    [groupCount]turn.Time
	next     [groupCount]turn.Time
	// late is how many late tickets wait, overdue how many others were found that will be late before they are served.
	late, overdue int
	// arrivals is the sum of the costs of the tickets received, decaying over arrivalWindow, as of countedAt.
	arrivals  float64
	countedAt time.Time
}

// rankTurns keeps the turns of one rank. Each has a clock, as the ranks are served one after the other.
type rankTurns struct {
	clock *turn.Clock
	lines map[route.OrganisationID]*line
	// rates are the lines' arrivals per second as of the decision ratedIn, the smallest first; sums holds the sum of those
	// before each.
	rates, sums []float64
	ratedIn     uint64
}

// entry is a ticket in the order of turns. It is small because hundreds are sorted for a decision.
type entry struct {
	start turn.Time
	index int
}

// turns makes organisations whose tickets of the same class and rank wait take turns by the service that they received.
// Without organisations it is not used.
type turns struct {
	ranks map[int]*rankTurns
	// entries and tickets are kept to be used again by the next decision.
	entries  []entry
	tickets  []Ticket
	decision uint64
}

// maxLines is how many lines of a rank are kept when no ticket waits. Some may be of organisations that are no longer
// configured.
const maxLines = 4096

func newTurns() *turns {
	return &turns{
		ranks: map[int]*rankTurns{},
	}
}

func (t *Ticket) cost() turn.Time {
	return turn.Time(max(1, t.Cost))
}

// groupAt returns in which pass the ticket is served.
func (t *Ticket) groupAt(now time.Time) lineGroup {
	switch {
	case t.Begun:
		return groupBegun
	case t.late(now):
		return groupLate
	}
	return groupOnTime
}

// join adds a ticket to the line of its organisation.
func (o *turns) join(t *Ticket) {
	if t.position != nil {
		return
	}
	r := o.ranks[t.Rank]
	if r == nil {
		r = &rankTurns{
			clock: turn.NewClock(),
			lines: map[route.OrganisationID]*line{},
		}
		o.ranks[t.Rank] = r
	}
	l := r.lines[t.Organisation]
	if l == nil {
		l = &line{
			rank:         r,
			organisation: turn.ID(t.Organisation),
		}
		r.lines[t.Organisation] = l
	}
	t.position = &position{
		line: l,
	}
}

// arrange puts tickets in the order of compareTickets into the order of turns: by rank, then by the virtual start time in
// the line of the organisation. In a line, the tickets of earlier passes come first, so that tickets which are passed
// over do not delay those that are served. Its time is that of sorting the tickets.
func (o *turns) arrange(queue []Ticket, now time.Time) {
	o.decision++
	for from := 0; from < len(queue); {
		to := from
		for to < len(queue) && queue[to].Rank == queue[from].Rank {
			to++
		}
		o.arrangeSection(queue[from:to], from, now)
		from = to
	}
}

// arrangeAtRisk does the same to batch tickets that are at risk, and leaves the others where they are. It reports whether
// restore must be called. If no ticket is at risk, all organisations become equal.
func (o *turns) arrangeAtRisk(queue []Ticket, now time.Time) bool {
	o.decision++
	atRisk := false
	for from := 0; from < len(queue); {
		to := from
		for to < len(queue) && queue[to].Rank == queue[from].Rank && queue[to].atRisk(now) {
			to++
		}
		if to == from {
			o.join(&queue[from])
			queue[from].position.index = from
			from++
			continue
		}
		o.arrangeSection(queue[from:to], from, now)
		atRisk = true
		from = to
	}
	if !atRisk {
		o.reset()
	}
	return atRisk
}

// arrangeSection puts tickets of one rank into the order of turns. The first one has the index offset in the queue.
func (o *turns) arrangeSection(section []Ticket, offset int, now time.Time) {
	for i := range section {
		t := &section[i]
		o.join(t)
		t.position.group = t.groupAt(now)
		t.position.line.add(t, o.decision)
	}
	o.entries = o.entries[:0]
	sorted := true
	for i := range section {
		t := &section[i]
		t.position.index = offset + i
		t.position.line.place(t)
		sorted = sorted && (i == 0 || o.entries[i-1].start <= t.position.start)
		o.entries = append(o.entries, entry{
			start: t.position.start,
			index: i,
		})
	}
	if sorted {
		return
	}
	slices.SortFunc(o.entries, compareEntries)
	o.tickets = append(o.tickets[:0], section...)
	for i, e := range o.entries {
		section[i] = o.tickets[e.index]
	}
}

// add counts a waiting ticket in its line.
func (l *line) add(t *Ticket, decision uint64) {
	if l.decision != decision {
		l.decision = decision
		l.costs = [groupCount]turn.Time{}
		l.late, l.overdue = 0, 0
		l.next[groupBegun] = l.rank.clock.Next(l.organisation)
	}
	if t.position.group == groupLate {
		l.late++
	}
	l.costs[t.position.group] += t.cost()
	l.next[groupOnTime] = l.next[groupBegun] + l.costs[groupBegun]
	l.next[groupLate] = l.next[groupOnTime] + l.costs[groupOnTime]
}

// place sets the start of a ticket. It is called for the tickets of a line in their order, after all have been added.
func (l *line) place(t *Ticket) {
	p := t.position
	p.start = l.next[p.group]
	p.behind = p.start - l.rank.clock.Now()
	l.next[p.group] += t.cost()
}

func compareEntries(a, b entry) int {
	if a.start != b.start {
		return cmp.Compare(a.start, b.start)
	}
	return a.index - b.index
}

// restore puts what is left of arranged tickets back into the order of compareTickets. total is the number of tickets
// that were arranged.
func (o *turns) restore(queue []Ticket, total int) {
	o.entries = slices.Grow(o.entries[:0], total)[:total]
	for i := range o.entries {
		o.entries[i].index = -1
	}
	for i := range queue {
		o.entries[queue[i].position.index].index = i
	}
	o.tickets = append(o.tickets[:0], queue...)
	next := 0
	for _, e := range o.entries {
		if e.index >= 0 {
			queue[next] = o.tickets[e.index]
			next++
		}
	}
}

// decideOnline grants and refuses online tickets; where there are organisations, in the order of their turns. They become
// equal whenever no ticket waits.
func (p *Pool) decideOnline(now time.Time) {
	if !p.fair.organised {
		p.grantOnline(now)
		p.refuseUnservable(now)
		return
	}
	total := len(p.online)
	p.fair.online.arrange(p.online, now)
	p.grantOnline(now)
	p.refuseUnservable(now)
	p.fair.online.restore(p.online, total)
	if len(p.online) == 0 {
		p.fair.online.reset()
		p.fair.online.prune()
	}
}

// decideBatch grants batch tickets; where there are organisations, those at risk in the order of their turns.
func (p *Pool) decideBatch(now time.Time) {
	if !p.fair.organised || len(p.online) > 0 || !p.slotFree(now) {
		p.grantBatch(now)
		return
	}
	total := len(p.batch)
	arranged := p.fair.batch.arrangeAtRisk(p.batch, now)
	p.grantBatch(now)
	if arranged {
		p.fair.batch.restore(p.batch, total)
	}
	if len(p.batch) == 0 {
		p.fair.batch.prune()
	}
}

// slotFree reports whether an endpoint can take a ticket.
func (p *Pool) slotFree(now time.Time) bool {
	return slices.ContainsFunc(p.byID, func(e *endpoint) bool {
		return e.accepts(nil, now) && e.running < e.limit()
	})
}

// atRisk reports whether a batch item may miss its due time if it gets no slot soon. If it is late, it has missed it.
func (t *Ticket) atRisk(now time.Time) bool {
	return !t.late(now) && !t.Start.After(now.Add(riskHorizon))
}

// logger returns a logger for the decision on a ticket. Where there are organisations it adds that of the ticket and its
// turn: the tokens of service that the organisation had received, or waited for, ahead of the ticket.
func (o *Outcome) logger(log *slog.Logger) *slog.Logger {
	if o.position == nil {
		return log
	}
	return log.With("organisation", o.position.line.organisation, "turn", int64(o.position.behind))
}
