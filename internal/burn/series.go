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
	// Answers, Failed and Refused count requests by their outcome: answered, failed or refused.
	Answers uint32
	Failed  uint32
	Refused uint32
	// First counts the first tokens of answers, SlowFirst those later than the objective.
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
	slots [slotCount]Counts
	// latest is the number of the slot that is being filled.
	latest int64
}

// advance moves the ring forward to the slot, clears the slots after the previous latest one, up to and including slot,
// and returns the counts of the latest slot. Slots are numbered from the start of the process.
func (r *ring) advance(slot int64) *Counts {
	for cleared := max(r.latest+1, slot-slotCount+1); cleared <= slot; cleared++ {
		r.slots[cleared%slotCount] = Counts{}
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

// Histogram counts first tokens by the time they took. Bucket i ends at 2^(i/2) ms; the last bucket has no end.
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

// subtract returns the histogram without the counts of part. A bucket for which part has the larger count becomes zero.
func (h *Histogram) subtract(part Histogram) Histogram {
	var rest Histogram
	for i, count := range h {
		rest[i] = count - min(count, part[i])
	}
	return rest
}

// Quantile returns the time within which the given share of first tokens arrived: the end of its bucket, rounded to the
// nearest millisecond. Times in the last bucket count as 2^15.5 ms, about 46 s. It returns zero if there are no first
// tokens.
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

// series holds the counts of a key.
type series struct {
	rings [windowCount]ring
	// halves holds the histograms of the current and the previous half of the shortest window. Halves are numbered from
	// the start of the process; half i is at index i%2.
	halves [2]Histogram
	// latestHalf is the number of the current half.
	latestHalf int64
}

func (s *series) add(elapsed time.Duration, counts Counts) {
	for i, window := range Windows() {
		s.rings[i].advance(int64(elapsed / (window / slotsPerWindow))).Add(counts)
	}
}

// currentHistogram returns the histogram of the current half, after clearing those that are outdated.
func (s *series) currentHistogram(elapsed time.Duration) *Histogram {
	half := int64(elapsed / (Windows()[0] / 2))
	for cleared := max(s.latestHalf+1, half-1); cleared <= half; cleared++ {
		s.halves[cleared%2] = Histogram{}
	}
	s.latestHalf = max(s.latestHalf, half)
	return &s.halves[s.latestHalf%2]
}

// snapshot returns the sums of the windows that end now.
func (s *series) snapshot(key Key, elapsed time.Duration) Series {
	result := Series{
		Organisation: key.Organisation,
		Service:      key.Service,
	}
	for i, window := range Windows() {
		result.Windows[i] = s.rings[i].sum(int64(elapsed / (window / slotsPerWindow)))
	}
	// The call clears outdated halves; its result is not needed.
	s.currentHistogram(elapsed)
	result.First.Add(s.halves[0])
	result.First.Add(s.halves[1])
	return result
}
