package allowance

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrudder/internal/route"
)

// account is the state of one organisation in a ledger.
type account struct {
	limit  route.Allowance
	bucket Bucket
	// reserved is the number of requests that wait for slots with a token in the bucket.
	reserved int
	// events counts the requests admitted within the window, in the order of their intervals.
	events []event
	// retryAt is the latest time that a refusal named.
	retryAt time.Time
	// epoch and share are those of the ledger when the bucket was last computed from the events.
	epoch int
	share float64
}

type event struct {
	interval Interval
	count    int
}

// account returns the account of an organisation, which it creates if there is none.
func (l *Ledger) account(id route.OrganisationID) *account {
	a := l.accounts[id]
	if a == nil {
		a = &account{
			epoch: -1,
		}
		l.accounts[id] = a
	}
	a.limit = l.limits[id]
	return a
}

// addEvent adds admitted requests to an interval, which usually is the last one.
func (a *account) addEvent(interval Interval, count int) {
	at, found := slices.BinarySearchFunc(a.events, interval, func(e event, wanted Interval) int {
		return cmp.Compare(e.interval, wanted)
	})
	if found {
		a.events[at].count += count
		return
	}
	a.events = slices.Insert(a.events, at, event{
		interval: interval,
		count:    count,
	})
}

// removeEvent removes the latest admitted request.
func (a *account) removeEvent() {
	last := len(a.events) - 1
	if a.events[last].count--; a.events[last].count == 0 {
		a.events = a.events[:last]
	}
}

// idle reports whether the account differs from a new one in nothing.
func (a *account) idle(l *Ledger, now time.Time) bool {
	if len(a.events) > 0 || a.reserved > 0 {
		return false
	}
	if a.limit.Limited() {
		l.refresh(a, now)
	}
	// A bucket for less than a token is not full when it is new.
	return !a.limit.Limited() || a.bucket.tokens >= l.size(a)-rounding && l.size(a) <= fullSize(a.limit)*l.share
}

func (a *account) prune(oldest Interval) {
	first := 0
	for first < len(a.events) && a.events[first].interval < oldest {
		first++
	}
	a.events = slices.Delete(a.events, 0, first)
}

// fullSize returns the size of an organisation's bucket at all ledgers together.
func fullSize(limit route.Allowance) float64 {
	return max(1, limit.Burst)
}

// size returns the size of an organisation's bucket here, which holds at least one token.
func (l *Ledger) size(a *account) float64 {
	return max(1, fullSize(a.limit)*l.share)
}

// capacity returns the size of the bucket with the tokens that are reserved. These are still in the bucket, and must not
// keep it from filling for a while.
func (l *Ledger) capacity(a *account) float64 {
	extra := (overage*(a.limit.Rate*l.window.Seconds()+a.limit.Burst) + slack) * l.share
	return l.size(a) + min(float64(a.reserved), extra)
}

// refresh fills the bucket, or computes its level from the events if those or the share have changed.
func (l *Ledger) refresh(a *account, now time.Time) {
	if a.epoch == l.epoch {
		a.bucket.Fill(a.limit.Rate*l.share, l.capacity(a), now)
		return
	}
	level := l.replay(a, now)
	if a.epoch >= 0 {
		// The bucket may have been empty for longer than the window. VMs that register bring their part of a full one.
		a.bucket.Fill(a.limit.Rate*a.share, l.capacity(a), now)
		level = min(level, a.bucket.tokens+fullSize(a.limit)*max(0, l.share-a.share))
	}
	a.bucket.Set(level, now)
	a.epoch = l.epoch
	a.share = l.share
}

// replay returns the level of a bucket that was full at the beginning of the window and from which the events since then
// were taken. Any window thus has no more admitted requests than the limit allows, whichever stewards admitted them. The
// level does not fall below zero, because the limit or the share may have been higher at the time of the events.
func (l *Ledger) replay(a *account, now time.Time) float64 {
	filled := now.Add(-l.window)
	// A VM that has just started and is alone gets its share of a token, not a whole one: there may be many.
	level := fullSize(a.limit) * l.share
	if l.emptied.After(filled) {
		filled = l.emptied
		level = 0
	}
	rate, size := a.limit.Rate*l.share, l.size(a)
	for _, e := range l.withStarts(a) {
		at := intervalEnd(l.base, e.interval)
		if at.After(now) {
			at = now
		}
		since := at.Sub(filled)
		if since < 0 {
			continue
		}
		level = min(max(level, size), level+rate*since.Seconds())
		level = max(0, level-e.tokens)
		filled = at
	}
	return min(max(level, size), level+rate*now.Sub(filled).Seconds())
}

// debit is a number of tokens taken in an interval.
type debit struct {
	interval Interval
	tokens   float64
}

// withStarts returns the events of an account and the starts of VMs in the order of time.
func (l *Ledger) withStarts(a *account) []debit {
	debits := make([]debit, 0, len(a.events)+len(l.starts))
	for _, e := range a.events {
		debits = append(debits, debit{
			interval: e.interval,
			tokens:   float64(e.count),
		})
	}
	for interval, vms := range l.starts {
		debits = append(debits, debit{
			interval: interval,
			tokens:   fullSize(a.limit) * float64(vms) / float64(max(1, l.vms)),
		})
	}
	slices.SortFunc(debits, func(a, b debit) int {
		return cmp.Compare(a.interval, b.interval)
	})
	return debits
}
