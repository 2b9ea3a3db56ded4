package steward

import (
	"time"

	"rhubarbrudder/internal/endpoint"
)

// account is a steward's record of how one endpoint's slots are used.
type account struct {
	// online holds the latest count of each gateway by Report.From.
	online map[uint64]onlineCount
	// grants holds the grants that are not released yet, the latest last.
	grants []*Grant
	// history holds the number of requests accounted for over the last seconds, oldest first.
	history []historyEntry
	// unexplained is how many requests the engine had beyond those accounted for when its load was measured. They come
	// from gateways whose reports are lost or still on the way, and from a second steward.
	unexplained int
	// opened is when the account was opened or last reopened. A load counts only if it was measured after settled.
	opened  time.Time
	settled time.Time
	// loadReceived and loadRequested are when the engine's load was last received and requested.
	loadReceived  time.Time
	loadRequested time.Time
	floor         floorCredit
	arrivals      arrivals
}

// onlineCount is the number of online requests in a gateway's report.
type onlineCount struct {
	count    int
	sequence uint64
	received time.Time
}

// historyEntry is the number of requests accounted for from a time on, until the next entry.
type historyEntry struct {
	at    time.Time
	total int
}

const (
	// onlineTTL is how long a gateway's count is used without a new report.
	onlineTTL = 2 * time.Second
	// historyTTL is the largest lag of an engine's load report for which the accounted number is still known.
	historyTTL = 10 * time.Second
	// reportSkew is how late a report may arrive without its requests counting as unexplained.
	reportSkew = 100 * time.Millisecond
	// settleTime is how long a process reads, after a pause, the answers that arrived during it. Until then it takes
	// requests that have ended at the engine for running, and so mistakes those of others for its own.
	settleTime = 500 * time.Millisecond
	// openGrace is how long an endpoint whose load is unknown gets no batch work after its account was opened.
	openGrace = 3 * time.Second
)

func newAccount(now time.Time) *account {
	return &account{
		online: map[uint64]onlineCount{},
		opened: now,
	}
}

// reportedOnline returns how many online requests gateways report, and drops reports that are too old.
func (a *account) reportedOnline(now time.Time) int {
	reportedOnline := 0
	for gateway, online := range a.online {
		if now.Sub(online.received) > onlineTTL {
			delete(a.online, gateway)
			continue
		}
		reportedOnline += online.count
	}
	return reportedOnline
}

// used estimates how many requests the endpoint has.
func (a *account) used(now time.Time) int {
	return len(a.grants) + a.reportedOnline(now) + a.unexplained
}

// isOpen reports whether slots of the endpoint may be granted: its load is known or openGrace has passed.
func (a *account) isOpen(now time.Time) bool {
	return !a.loadReceived.IsZero() || now.Sub(a.opened) > openGrace
}

// reopen discards the endpoint's load and restarts openGrace, but keeps the process's own grants.
func (a *account) reopen(now time.Time) {
	a.opened = now
	a.settled = now.Add(settleTime)
	a.loadReceived = time.Time{}
	a.loadRequested = time.Time{}
}

// record adds the number of requests accounted for now to the history.
func (a *account) record(now time.Time) {
	for len(a.history) > 1 && now.Sub(a.history[1].at) > historyTTL {
		a.history = a.history[1:]
	}
	a.history = append(a.history, historyEntry{
		at:    now,
		total: len(a.grants) + a.reportedOnline(now),
	})
}

// maxAround returns the largest number of requests accounted for within reportSkew of a time.
func (a *account) maxAround(then time.Time) int {
	from, to := then.Add(-reportSkew), then.Add(reportSkew)
	most := 0
	for i, entry := range a.history {
		if entry.at.After(to) {
			break
		}
		endedBefore := i+1 < len(a.history) && !a.history[i+1].at.After(from)
		if !endedBefore {
			most = max(most, entry.total)
		}
	}
	return most
}

// setLoad compares an engine's reported load with the number of requests accounted for when it was measured. It ignores a
// load that was measured too early after a pause, and makes the next request due.
func (a *account) setLoad(now time.Time, load endpoint.Load) {
	measured := now.Add(-time.Duration(load.AgeMilliseconds) * time.Millisecond)
	if measured.Add(-reportSkew).Before(a.settled) {
		a.loadRequested = time.Time{}
		return
	}
	a.loadReceived = now
	a.unexplained = max(0, load.Running+load.Waiting-a.maxAround(measured))
}

// setOnline stores a gateway's count, unless a later one is known, and reports whether it stored it.
func (a *account) setOnline(from uint64, sequence uint64, count int, now time.Time) bool {
	if known, ok := a.online[from]; ok && known.sequence >= sequence {
		return false
	}
	if started := count - a.online[from].count; started > 0 {
		a.arrivals.add(started, now)
	}
	a.online[from] = onlineCount{
		count:    count,
		sequence: sequence,
		received: now,
	}
	return true
}

// release removes a grant and reports whether it was present.
func (a *account) release(grant *Grant) bool {
	for i, held := range a.grants {
		if held == grant {
			a.grants = append(a.grants[:i], a.grants[i+1:]...)
			return true
		}
	}
	return false
}
