// Package burn measures answers against their services' objectives and reports how fast the error budgets are used.
//
// An objective allows a share of events to miss it; that share is its budget. The burn rate of a time window is the share
// of misses in the window, divided by the allowed share.
package burn

import (
	"math"
	"time"

	"rhubarbrudder/internal/document"
)

// Counts holds numbers of requests, tokens and jobs of one organisation at one service.
type Counts struct {
	// Answers, Failed and Refused count requests by their outcome.
	Answers uint32
	Failed  uint32
	Refused uint32
	// First counts first tokens, SlowFirst those later than the objective.
	First     uint32
	SlowFirst uint32
	// Tokens counts the tokens after the first, SlowTokens those later than the objective.
	Tokens     uint32
	SlowTokens uint32
	// Jobs counts jobs that were completed, LateJobs those completed after their due time.
	Jobs     uint32
	LateJobs uint32
}

// Add adds other to the counts. A count that would overflow stays at its maximum.
func (c *Counts) Add(other Counts) {
	c.Answers = addSaturating(c.Answers, other.Answers)
	c.Failed = addSaturating(c.Failed, other.Failed)
	c.Refused = addSaturating(c.Refused, other.Refused)
	c.First = addSaturating(c.First, other.First)
	c.SlowFirst = addSaturating(c.SlowFirst, other.SlowFirst)
	c.Tokens = addSaturating(c.Tokens, other.Tokens)
	c.SlowTokens = addSaturating(c.SlowTokens, other.SlowTokens)
	c.Jobs = addSaturating(c.Jobs, other.Jobs)
	c.LateJobs = addSaturating(c.LateJobs, other.LateJobs)
}

func addSaturating(a, b uint32) uint32 {
	if b > math.MaxUint32-a {
		return math.MaxUint32
	}
	return a + b
}

// requests returns the number of all requests.
func (c Counts) requests() uint64 {
	return uint64(c.Answers) + uint64(c.Failed) + uint64(c.Refused)
}

// misses returns the number of failed and refused requests, late first tokens and late jobs.
func (c Counts) misses() uint64 {
	return uint64(c.Failed) + uint64(c.Refused) + uint64(c.SlowFirst) + uint64(c.LateJobs)
}

// Key identifies a series.
type Key struct {
	Organisation document.OrganisationID
	Service      document.ServiceName
}

// windowCount is the number of time windows.
const windowCount = 4

// Windows returns the lengths of the windows, shortest first.
func Windows() [windowCount]time.Duration {
	return [windowCount]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

const (
	// slotsPerWindow is the number of slots that cover a window.
	slotsPerWindow = 4
	// slotCount covers a window and the slot that is being filled; a sum covers up to a quarter more than the window.
	slotCount = slotsPerWindow + 1
)

// ring holds the counts of one window in a ring of time slots.
type ring struct {
	slots  [slotCount]Counts
	latest int64
}

// advance moves the ring forward to the slot, clears the slots in between, and returns the counts of the latest slot.
func (r *ring) advance(slot int64) *Counts {
	for step := max(r.latest+1, slot-slotCount+1); step <= slot; step++ {
		r.slots[step%slotCount] = Counts{}
	}
	r.latest = max(r.latest, slot)
	return &r.slots[r.latest%slotCount]
}

func (r *ring) sum(slot int64) Counts {
	r.advance(slot)
	var sum Counts
	for _, counts := range r.slots {
		sum.Add(counts)
	}
	return sum
}

// bucketCount is the number of buckets of a Histogram.
const bucketCount = 32

// Histogram counts first tokens by the time they took; bucket i ends at 1 ms times the square root of 2 to the power i.
type Histogram [bucketCount]uint32

func bucketIndex(took time.Duration) int {
	milliseconds := float64(took) / float64(time.Millisecond)
	if milliseconds <= 1 {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(milliseconds))), bucketCount-1)
}

// Add adds other to the histogram.
func (h *Histogram) Add(other Histogram) {
	for i, count := range other {
		h[i] = addSaturating(h[i], count)
	}
}

// subtract returns the histogram without the counts of part, which must be a part of it.
func (h *Histogram) subtract(part Histogram) Histogram {
	var rest Histogram
	for i, count := range h {
		rest[i] = count - min(count, part[i])
	}
	return rest
}

// Quantile returns the time within which the given share of first tokens arrived, rounded up to the end of its bucket. It
// returns zero if there are none.
func (h *Histogram) Quantile(share float64) time.Duration {
	var total, seen uint64
	for _, count := range h {
		total += uint64(count)
	}
	if total == 0 {
		return 0
	}
	rank := uint64(math.Ceil(share * float64(total)))
	for i, count := range h {
		seen += uint64(count)
		if seen >= rank {
			return time.Duration(math.Pow(2, float64(i)/2) * float64(time.Millisecond)).Round(time.Millisecond)
		}
	}
	return 0
}

// series holds the counts of a key. The two histograms cover the current and the previous half of the shortest window.
type series struct {
	rings  [windowCount]ring
	halves [2]Histogram
	half   int64
}

func (s *series) add(since time.Duration, counts Counts) {
	for i, window := range Windows() {
		s.rings[i].advance(int64(since / (window / slotsPerWindow))).Add(counts)
	}
}

func (s *series) currentHistogram(since time.Duration) *Histogram {
	half := int64(since / (Windows()[0] / 2))
	for step := max(s.half+1, half-1); step <= half; step++ {
		s.halves[step%2] = Histogram{}
	}
	s.half = max(s.half, half)
	return &s.halves[s.half%2]
}

func (s *series) snapshot(key Key, since time.Duration) Series {
	read := Series{
		Organisation: key.Organisation,
		Service:      key.Service,
	}
	for i, window := range Windows() {
		read.Windows[i] = s.rings[i].sum(int64(since / (window / slotsPerWindow)))
	}
	s.currentHistogram(since)
	read.First.Add(s.halves[0])
	read.First.Add(s.halves[1])
	return read
}
