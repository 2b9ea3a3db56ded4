package pool

import (
	"math"
	"slices"
	"time"
)

// This file estimates for refuseUnservable how many tickets are served before a waiting one, where organisations take
// turns. The tickets of an organisation that sends too much are overtaken by those that others send later.

// count counts a ticket that was received.
func (l *line) count(t *Ticket, now time.Time) {
	l.decay(now)
	l.arrivals += float64(t.cost())
}

func (l *line) decay(now time.Time) {
	if since := now.Sub(l.countedAt); since > 0 {
		l.arrivals *= math.Exp(-float64(since) / float64(arrivalWindow))
	}
	l.countedAt = now
}

// rate returns the cost of the tickets received, per second.
func (l *line) rate() float64 {
	return l.arrivals / arrivalWindow.Seconds()
}

// overtaking returns the cost of the tickets of other organisations that are expected to be served before the ticket if
// it is served at its Start. Each organisation overtakes it with what it sends until then, as long as it has received
// less service.
func (o *turns) overtaking(t *Ticket, now time.Time) float64 {
	left := t.Start.Sub(now).Seconds()
	if left <= 0 || t.position.behind <= 0 {
		return 0
	}
	r := t.position.line.rank
	if r.ratedIn != o.decision {
		r.ratedIn = o.decision
		r.sumRates(now)
	}
	bound := float64(t.position.behind) / left
	smaller, _ := slices.BinarySearch(r.rates, bound)
	all := r.sums[smaller] + bound*float64(len(r.rates)-smaller)
	return left * (all - min(bound, t.position.line.rate()))
}

// overtakers returns how many tickets of other organisations are expected to overtake the ticket before its Start. It is
// zero without organisations.
func (p *Pool) overtakers(t *Ticket, now time.Time) float64 {
	if t.position == nil || t.Begun || p.arrivals < minArrivals {
		return 0
	}
	return p.fair.online.overtaking(t, now) / p.fair.meanCost
}

// sumRates sorts the arrivals of the lines and adds them up.
func (r *rankTurns) sumRates(now time.Time) {
	r.rates = r.rates[:0]
	for _, l := range r.lines {
		l.decay(now)
		r.rates = append(r.rates, l.rate())
	}
	slices.Sort(r.rates)
	r.sums = append(r.sums[:0], 0)
	for i, rate := range r.rates {
		r.sums = append(r.sums, r.sums[i]+rate)
	}
}

// lateAhead corrects the number of late tickets that are served before a ticket, as counted in the order of turns. In its
// line, a ticket that is not late yet comes before the late ones. If it will be late before it is served, they are served
// first.
func (t *Ticket) lateAhead() int {
	switch {
	case t.position == nil || t.position.group == groupBegun:
		return 0
	case t.position.group == groupLate:
		return -t.position.line.overdue
	}
	return t.position.line.late
}

// keepLate counts a ticket that will be late before it is served.
func (t *Ticket) keepLate() {
	if t.position != nil && t.position.group == groupOnTime {
		t.position.line.overdue++
	}
}
