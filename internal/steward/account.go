package steward

import (
	"time"

	"rhubarbrudder/internal/endpoint"
)

// account is what a steward knows of one endpoint's slots.
type account struct {
	online map[uint64]onlineCount
	grants []*Grant
	// past holds what was accounted for over the last seconds, oldest first.
	past []accounted
	// unexplained is how many requests the engine had beyond those accounted for at that time:
	// those of gateways whose reports are lost or not yet heard, and of a second steward.
	unexplained int
	opened      time.Time
	loadHeard   time.Time
	loadAsked   time.Time
	floor       floorCredit
	arrivals    arrivals
}

type onlineCount struct {
	count    int
	sequence uint64
	heard    time.Time
}

type accounted struct {
	at    time.Time
	total int
}

const (
	// onlineKept is how long a gateway's count is believed without a new report.
	onlineKept = 2 * time.Second
	// pastKept is the greatest lag of an engine's load that is made good.
	pastKept = 10 * time.Second
	// reportSkew is by how much a report may be late without its requests being unexplained.
	reportSkew = 100 * time.Millisecond
	// openGrace is how long an endpoint without a reported load gets no batch work after its steward opened the account.
	openGrace = 3 * time.Second
)

func newAccount(now time.Time) *account {
	return &account{
		online: map[uint64]onlineCount{},
		opened: now,
	}
}

// told returns the online requests that gateways reported.
func (a *account) told(now time.Time) int {
	told := 0
	for gateway, online := range a.online {
		if now.Sub(online.heard) > onlineKept {
			delete(a.online, gateway)
			continue
		}
		told += online.count
	}
	return told
}

// used returns how many requests are taken to be at the endpoint.
func (a *account) used(now time.Time) int {
	return len(a.grants) + a.told(now) + a.unexplained
}

// open reports whether enough is known of the endpoint to grant its slots.
func (a *account) open(now time.Time) bool {
	return !a.loadHeard.IsZero() || now.Sub(a.opened) > openGrace
}

// reopen forgets what was known of the endpoint's load, but not the process's own grants.
func (a *account) reopen(now time.Time) {
	a.opened = now
	a.loadHeard = time.Time{}
	a.loadAsked = time.Time{}
}

// note keeps what is accounted for now.
func (a *account) note(now time.Time) {
	for len(a.past) > 1 && now.Sub(a.past[1].at) > pastKept {
		a.past = a.past[1:]
	}
	a.past = append(a.past, accounted{
		at:    now,
		total: len(a.grants) + a.told(now),
	})
}

// at returns the most that was accounted for around a time.
func (a *account) at(then time.Time) int {
	from, to := then.Add(-reportSkew), then.Add(reportSkew)
	most := 0
	for i, entry := range a.past {
		if entry.at.After(to) {
			break
		}
		ends := i+1 < len(a.past) && !a.past[i+1].at.After(from)
		if !ends {
			most = max(most, entry.total)
		}
	}
	return most
}

// takeLoad compares an engine's reported load with what was accounted for when it was measured.
func (a *account) takeLoad(now time.Time, load endpoint.Load) {
	a.loadHeard = now
	measured := now.Add(-time.Duration(load.AgeMilliseconds) * time.Millisecond)
	a.unexplained = max(0, load.Running+load.Waiting-a.at(measured))
}

// take keeps a gateway's count unless a later one was heard, and reports whether it was kept.
func (a *account) take(from uint64, sequence uint64, count int, now time.Time) bool {
	if known, ok := a.online[from]; ok && known.sequence >= sequence {
		return false
	}
	if begun := count - a.online[from].count; begun > 0 {
		a.arrivals.add(begun, now)
	}
	a.online[from] = onlineCount{
		count:    count,
		sequence: sequence,
		heard:    now,
	}
	return true
}

// release takes a grant out and reports whether it was there.
func (a *account) release(grant *Grant) bool {
	for i, held := range a.grants {
		if held == grant {
			a.grants = append(a.grants[:i], a.grants[i+1:]...)
			return true
		}
	}
	return false
}
