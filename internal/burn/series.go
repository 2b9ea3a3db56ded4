// Package burn counts how answers compare with their services' objectives, and how fast the budgets for misses are used.
package burn

import (
	"math"
	"time"

	"rhubarbrudder/internal/document"
)

// Counts counts requests and tokens of one organisation at one service.
type Counts struct {
	// Answers, Failed and Refused count requests by how they ended.
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

// Add adds other to the counts; a count that is full stays full.
func (c *Counts) Add(other Counts) {
	c.Answers = add(c.Answers, other.Answers)
	c.Failed = add(c.Failed, other.Failed)
	c.Refused = add(c.Refused, other.Refused)
	c.First = add(c.First, other.First)
	c.SlowFirst = add(c.SlowFirst, other.SlowFirst)
	c.Tokens = add(c.Tokens, other.Tokens)
	c.SlowTokens = add(c.SlowTokens, other.SlowTokens)
	c.Jobs = add(c.Jobs, other.Jobs)
	c.LateJobs = add(c.LateJobs, other.LateJobs)
}

func add(a, b uint32) uint32 {
	if b > math.MaxUint32-a {
		return math.MaxUint32
	}
	return a + b
}

// requests counts all requests.
func (c Counts) requests() uint64 {
	return uint64(c.Answers) + uint64(c.Failed) + uint64(c.Refused)
}

// bad counts what an organisation may complain of.
func (c Counts) bad() uint64 {
	return uint64(c.Failed) + uint64(c.Refused) + uint64(c.SlowFirst) + uint64(c.LateJobs)
}

// Key names a series.
type Key struct {
	Organisation document.OrganisationID
	Service      document.ServiceName
}

// windows is how many windows are kept.
const windows = 4

// Windows returns the lengths of the windows, shortest first.
func Windows() [windows]time.Duration {
	return [windows]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

const (
	// partsPerWindow is how many slots make a window.
	partsPerWindow = 4
	// slots hold a window and the slot that is being filled; a sum covers up to a quarter more than the window.
	slots = partsPerWindow + 1
)

// ring holds the counts of one window.
type ring struct {
	slots  [slots]Counts
	latest int64
}

// at moves the ring forward to the slot and returns it.
func (r *ring) at(slot int64) *Counts {
	for step := max(r.latest+1, slot-slots+1); step <= slot; step++ {
		r.slots[step%slots] = Counts{}
	}
	r.latest = max(r.latest, slot)
	return &r.slots[r.latest%slots]
}

func (r *ring) sum(slot int64) Counts {
	r.at(slot)
	var sum Counts
	for _, counts := range r.slots {
		sum.Add(counts)
	}
	return sum
}

// buckets is how many buckets a histogram of first tokens has.
const buckets = 32

// Histogram counts first tokens by their time; bucket i ends at 1 ms times the square root of 2 to the power i.
type Histogram [buckets]uint32

func bucket(took time.Duration) int {
	milliseconds := float64(took) / float64(time.Millisecond)
	if milliseconds <= 1 {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(milliseconds))), buckets-1)
}

// Add adds other to the histogram.
func (h *Histogram) Add(other Histogram) {
	for i, count := range other {
		h[i] = add(h[i], count)
	}
}

// without returns the histogram less part, which it holds.
func (h *Histogram) without(part Histogram) Histogram {
	var rest Histogram
	for i, count := range h {
		rest[i] = count - min(count, part[i])
	}
	return rest
}

// Quantile returns the time within which the share of first tokens came, to the end of its bucket; zero if there are none.
func (h *Histogram) Quantile(share float64) time.Duration {
	var total, seen uint64
	for _, count := range h {
		total += uint64(count)
	}
	if total == 0 {
		return 0
	}
	wanted := uint64(math.Ceil(share * float64(total)))
	for i, count := range h {
		seen += uint64(count)
		if seen >= wanted {
			return time.Duration(math.Pow(2, float64(i)/2) * float64(time.Millisecond)).Round(time.Millisecond)
		}
	}
	return 0
}

// series is what is kept of a key. The histograms cover the current and the last half of the shortest window.
type series struct {
	rings  [windows]ring
	halves [2]Histogram
	half   int64
}

func (s *series) add(since time.Duration, counts Counts) {
	for i, window := range Windows() {
		s.rings[i].at(int64(since / (window / partsPerWindow))).Add(counts)
	}
}

func (s *series) histogram(since time.Duration) *Histogram {
	half := int64(since / (Windows()[0] / 2))
	for step := max(s.half+1, half-1); step <= half; step++ {
		s.halves[step%2] = Histogram{}
	}
	s.half = max(s.half, half)
	return &s.halves[s.half%2]
}

func (s *series) read(key Key, since time.Duration) Series {
	read := Series{
		Organisation: key.Organisation,
		Service:      key.Service,
	}
	for i, window := range Windows() {
		read.Windows[i] = s.rings[i].sum(int64(since / (window / partsPerWindow)))
	}
	s.histogram(since)
	read.First.Add(s.halves[0])
	read.First.Add(s.halves[1])
	return read
}
