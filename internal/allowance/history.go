package allowance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"rhubarbrudder/internal/route"
)

type (
	// LedgerID identifies a ledger, which lives as long as the steward that holds it.
	LedgerID uint64
	// HistoryID identifies the history of a VM, which lives as long as the VM's process.
	HistoryID uint64
	// Interval is the number of an interval of Resolution, counted by whoever records it.
	Interval int64
)

// Resolution is the length of the intervals in which admitted requests are counted.
const Resolution = 100 * time.Millisecond

// Admissions is the number of requests of an organisation that a ledger admitted.
type Admissions struct {
	Organisation route.OrganisationID
	Ledger       LedgerID
	Count        int
}

// PastInterval holds the admissions of one interval that ended a time ago.
type PastInterval struct {
	Interval   Interval
	Ago        time.Duration
	Admissions []Admissions
}

// Report is a history in a message.
type Report struct {
	History HistoryID
	// Started is how long ago the VM started, if that is within the window, and zero otherwise.
	Started   time.Duration
	Intervals []PastInterval
}

// History records the requests that a VM was granted within the last window. Its size is bounded by the number of these
// requests; organisations without any take no memory. It is safe for use by several goroutines.
type History struct {
	id      HistoryID
	window  time.Duration
	started time.Time
	mu      sync.Mutex
	// intervals is ordered by time.
	intervals []intervalCounts
}

type intervalCounts struct {
	interval Interval
	counts   map[admission]int
}

// admission identifies a count within an interval.
type admission struct {
	organisation route.OrganisationID
	ledger       LedgerID
}

// NewHistory returns the empty history of a VM that starts now.
func NewHistory(window time.Duration, now time.Time) *History {
	return &History{
		id:      HistoryID(rand.Uint64() | 1),
		window:  window,
		started: now,
	}
}

// Record counts a request that a ledger admitted.
func (h *History) Record(id route.OrganisationID, ledger LedgerID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(now)
	current := intervalAt(h.started, now)
	if n := len(h.intervals); n == 0 || h.intervals[n-1].interval != current {
		h.intervals = append(h.intervals, intervalCounts{
			interval: current,
			counts:   map[admission]int{},
		})
	}
	h.intervals[len(h.intervals)-1].counts[admission{organisation: id, ledger: ledger}]++
}

// Remove takes back the latest admission of an organisation, as the request was not sent.
func (h *History) Remove(id route.OrganisationID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, past := range slices.Backward(h.intervals) {
		for counted, count := range past.counts {
			if counted.organisation != id {
				continue
			}
			if count == 1 {
				delete(past.counts, counted)
			} else {
				past.counts[counted]--
			}
			return
		}
	}
}

// Report returns the history for a message.
func (h *History) Report(now time.Time) *Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(now)
	report := &Report{
		History: h.id,
	}
	if since := now.Sub(h.started); since < h.window {
		report.Started = max(since, 1)
	}
	for _, past := range h.intervals {
		if len(past.counts) == 0 {
			continue
		}
		reported := PastInterval{
			Interval: past.interval,
			Ago:      max(0, now.Sub(intervalEnd(h.started, past.interval))),
		}
		for counted, count := range past.counts {
			reported.Admissions = append(reported.Admissions, Admissions{
				Organisation: counted.organisation,
				Ledger:       counted.ledger,
				Count:        count,
			})
		}
		slices.SortFunc(reported.Admissions, func(a, b Admissions) int {
			return strings.Compare(string(a.Organisation), string(b.Organisation))
		})
		report.Intervals = append(report.Intervals, reported)
	}
	return report
}

func (h *History) prune(now time.Time) {
	first := 0
	for first < len(h.intervals) && now.Sub(intervalEnd(h.started, h.intervals[first].interval)) > h.window {
		first++
	}
	h.intervals = slices.Delete(h.intervals, 0, first)
}

// intervalAt returns the interval in which a time lies.
func intervalAt(base, at time.Time) Interval {
	since := at.Sub(base)
	if since < 0 {
		since -= Resolution - 1
	}
	return Interval(since / Resolution)
}

// intervalEnd returns the time at which an interval ends.
func intervalEnd(base time.Time, interval Interval) time.Time {
	return base.Add(time.Duration(interval+1) * Resolution)
}
