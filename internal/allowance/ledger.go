package allowance

import (
	"math/rand/v2"
	"time"

	"rhubarbrudder/internal/route"
)

const (
	// maxRetryAfter is the longest time for which an organisation's requests are refused at once. A VM that asks again
	// after that finds out whether other VMs have left something.
	maxRetryAfter = 200 * time.Millisecond
	// minRetryAfter keeps a VM from asking again at once when the next token is nearly there.
	minRetryAfter = 2 * time.Millisecond
	// prunePeriod is the time between removals of accounts that are no longer in use.
	prunePeriod = time.Second
	// overage and slack are the part of what a window allows, and the number of requests, by which the bucket of an
	// organisation may be larger while its requests wait for slots. They are half and a quarter of what may be admitted
	// beyond the limit in a window; the rest is for several stewards at a time.
	overage = 0.05
	slack   = 5
)

// Ledger holds the token buckets of all organisations of one steward. A request reserves a token when it arrives and spends
// it when it is granted a slot, so that the bucket bounds what reaches endpoints, however long requests wait. It is not safe
// for use by several goroutines.
type Ledger struct {
	id     LedgerID
	window time.Duration
	// base is the start of interval 0.
	base   time.Time
	limits map[route.OrganisationID]route.Allowance
	// accounts holds the organisations that called within the window.
	accounts map[route.OrganisationID]*account
	// share is the part of the limits that this ledger may use, vms the number of VMs among which the limits are shared.
	share float64
	vms   int
	// starts counts the VMs that started, by the time of their start. Each counts as having used its part of the burst.
	starts map[Interval]int
	// known holds what the VMs have reported, so that a repeated report counts once.
	known map[VM]*knownHistory
	// epoch changes when all levels are to be computed anew.
	epoch int
	// emptied is when all buckets were emptied.
	emptied time.Time
	pruned  time.Time
}

// VM names a VM that reports its history.
type VM string

// knownHistory is what a VM reported last.
type knownHistory struct {
	history  HistoryID
	reported time.Time
	counts   map[knownCount]int
}

type knownCount struct {
	interval Interval
	admission
}

// NewLedger returns a ledger without organisations that may use the whole limits.
func NewLedger(window time.Duration, now time.Time) *Ledger {
	return &Ledger{
		id:       LedgerID(rand.Uint64() | 1),
		window:   window,
		base:     now,
		limits:   map[route.OrganisationID]route.Allowance{},
		accounts: map[route.OrganisationID]*account{},
		share:    1,
		vms:      1,
		starts:   map[Interval]int{},
		known:    map[VM]*knownHistory{},
		pruned:   now,
	}
}

// ID identifies the ledger in histories.
func (l *Ledger) ID() LedgerID {
	return l.id
}

// Limited reports whether an organisation has a limit.
func (l *Ledger) Limited(id route.OrganisationID) bool {
	return l.limits[id].Limited()
}

// Reserve reserves a token for a request and reports whether there is one. There always is if the organisation has no limit.
func (l *Ledger) Reserve(id route.OrganisationID, now time.Time) bool {
	l.prune(now)
	if !l.Limited(id) {
		return true
	}
	a := l.account(id)
	if l.missing(a, now) > rounding {
		return false
	}
	a.reserved++
	return true
}

// missing returns how much of a token is missing for a further request.
func (l *Ledger) missing(a *account, now time.Time) float64 {
	l.refresh(a, now)
	return 1 - (a.bucket.tokens - float64(a.reserved))
}

// RetryAfter returns how long requests of an organisation without a token are to be refused. Each call names a later time
// than the one before, up to maxRetryAfter, so that the VMs ask again in turn.
func (l *Ledger) RetryAfter(id route.OrganisationID, now time.Time) time.Duration {
	a := l.account(id)
	missing := l.missing(a, now)
	rate := a.limit.Rate * l.share
	at := now.Add(seconds(missing / rate))
	if next := a.retryAt.Add(seconds(1 / rate)); next.After(at) {
		at = next
	}
	a.retryAt = now.Add(min(max(at.Sub(now), minRetryAfter), maxRetryAfter))
	return a.retryAt.Sub(now)
}

// Spend records that a request with a reserved token was granted a slot.
func (l *Ledger) Spend(id route.OrganisationID, now time.Time) {
	a := l.accounts[id]
	if a == nil {
		return
	}
	l.refresh(a, now)
	a.bucket.Add(-1)
	a.reserved = max(0, a.reserved-1)
	a.addEvent(intervalAt(l.base, now), 1)
}

// Cancel returns a reserved token.
func (l *Ledger) Cancel(id route.OrganisationID, now time.Time) {
	a := l.accounts[id]
	if a == nil {
		return
	}
	l.refresh(a, now)
	a.reserved = max(0, a.reserved-1)
}

// Refund returns a token that was spent for a request that did not run.
func (l *Ledger) Refund(id route.OrganisationID, now time.Time) {
	a := l.accounts[id]
	if a == nil || len(a.events) == 0 {
		return
	}
	l.refresh(a, now)
	a.bucket.Add(1)
	a.bucket.Cut(l.capacity(a))
	a.removeEvent()
}

// SetLimits applies the limits of a configuration. A lower limit cuts the bucket, a higher one adds the difference in
// burst.
func (l *Ledger) SetLimits(organisations []route.Organisation, now time.Time) {
	limits := make(map[route.OrganisationID]route.Allowance, len(organisations))
	for i := range organisations {
		if organisations[i].Allowance.Limited() {
			limits[organisations[i].ID] = organisations[i].Allowance
		}
	}
	for id, a := range l.accounts {
		before, after := l.limits[id], limits[id]
		switch {
		case before == after:
			continue
		case !after.Limited():
			delete(l.accounts, id)
			continue
		case before.Limited():
			l.refresh(a, now)
			a.limit = after
			a.bucket.Add(max(0, fullSize(after)-fullSize(before)) * l.share)
			a.bucket.Cut(l.size(a))
		default:
			a.limit = after
			a.epoch = -1
		}
	}
	l.limits = limits
}

// SetShare sets the part of the limits that this ledger may use, and the number of VMs among which they are shared.
func (l *Ledger) SetShare(share float64, vms int) {
	if share == l.share && vms == l.vms {
		return
	}
	l.share = share
	l.vms = vms
	l.epoch++
}

// Empty empties all buckets.
func (l *Ledger) Empty(now time.Time) {
	clear(l.accounts)
	l.emptied = now
	l.epoch++
}

// Restore adds what a VM reports when it registers. Requests that this ledger admitted, and those that the VM has reported
// before, are not counted again. A VM without a report has just started.
func (l *Ledger) Restore(vm VM, report *Report, now time.Time) {
	if report == nil {
		report = &Report{
			Started: 1,
		}
	}
	known := l.known[vm]
	if known == nil || known.history != report.History {
		known = &knownHistory{
			history: report.History,
		}
		if report.Started > 0 {
			l.starts[intervalAt(l.base, now.Add(-report.Started))]++
			l.epoch++
		}
	}
	l.known[vm] = &knownHistory{
		history:  report.History,
		reported: now,
		counts:   map[knownCount]int{},
	}
	for _, past := range report.Intervals {
		for _, counted := range past.Admissions {
			if counted.Ledger == l.id {
				continue
			}
			k := knownCount{
				interval: past.Interval,
				admission: admission{
					organisation: counted.Organisation,
					ledger:       counted.Ledger,
				},
			}
			l.known[vm].counts[k] = counted.Count
			if added := counted.Count - known.counts[k]; added > 0 {
				middle := now.Add(-past.Ago - Resolution/2)
				l.account(counted.Organisation).addEvent(intervalAt(l.base, middle), added)
				l.epoch++
			}
		}
	}
}

// prune removes, once per prunePeriod, what is older than the window.
func (l *Ledger) prune(now time.Time) {
	if now.Sub(l.pruned) < prunePeriod {
		return
	}
	l.pruned = now
	oldest := intervalAt(l.base, now.Add(-l.window))
	for interval := range l.starts {
		if interval < oldest {
			delete(l.starts, interval)
		}
	}
	for vm, known := range l.known {
		if now.Sub(known.reported) > l.window {
			delete(l.known, vm)
		}
	}
	for id, a := range l.accounts {
		a.prune(oldest)
		if a.idle(l, now) {
			delete(l.accounts, id)
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
