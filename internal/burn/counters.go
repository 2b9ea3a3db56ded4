package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
)

// Sample holds the measurements of one request or job that has ended.
type Sample struct {
	Key    Key
	Counts Counts
	// TimeToFirstToken is zero if no token was streamed.
	TimeToFirstToken time.Duration
}

// Counters keeps a process's counts in bounded memory.
type Counters struct {
	now     func() time.Time
	started time.Time
	mu      sync.Mutex
	series  map[Key]*series
}

const (
	// maxSeries bounds the memory. Once there are so many series, samples that need a new one are counted under Others,
	// with one series for each service.
	maxSeries = 50000
	// Others is the organisation under which organisations without a series of their own are counted.
	Others document.OrganisationID = "(others)"
)

// NewCounters returns empty counters; now is time.Now except in tests.
func NewCounters(now func() time.Time) *Counters {
	return &Counters{
		now:     now,
		started: now(),
		series:  map[Key]*series{},
	}
}

// Observe adds a sample to the counts.
func (c *Counters) Observe(sample Sample) {
	elapsed := c.now().Sub(c.started)
	c.mu.Lock()
	defer c.mu.Unlock()
	target := c.seriesFor(sample.Key)
	target.add(elapsed, sample.Counts)
	if sample.TimeToFirstToken > 0 {
		target.currentHistogram(elapsed)[bucketIndex(sample.TimeToFirstToken)]++
	}
}

func (c *Counters) seriesFor(key Key) *series {
	found := c.series[key]
	if found == nil && len(c.series) >= maxSeries {
		key.Organisation = Others
		found = c.series[key]
	}
	if found == nil {
		found = &series{}
		c.series[key] = found
	}
	return found
}

// Query asks for counts.
type Query struct {
	// Organisation selects the series of one organisation; if it is empty, those with the most misses per request
	// are returned.
	Organisation document.OrganisationID
	// Most is the limit on the number of organisations' series in the answer.
	Most int
}

// Series holds the counts of one organisation at one service, or of a whole service if the organisation is empty.
type Series struct {
	Organisation document.OrganisationID
	Service      document.ServiceName
	// Windows holds the counts of each time window, shortest first.
	Windows [windowCount]Counts
	// First holds the times to the first token within the shortest window.
	First Histogram
}

func (s *Series) add(other Series) {
	for i, counts := range other.Windows {
		s.Windows[i].Add(counts)
	}
	s.First.Add(other.First)
}

// Answer is the answer to a Query: a process's counts.
type Answer struct {
	// Lived is the time since the process began to count.
	Lived time.Duration
	// Services holds a series for each service with the totals of all organisations.
	Services []Series
	// Organisations holds the series of organisations that the query selects.
	Organisations []Series
}

// Counts answers a query.
func (c *Counters) Counts(query Query) Answer {
	elapsed := c.now().Sub(c.started)
	answer := Answer{
		Lived: elapsed,
	}
	totals := map[document.ServiceName]*Series{}
	c.mu.Lock()
	for key, stored := range c.series {
		current := stored.snapshot(key, elapsed)
		total := totals[key.Service]
		if total == nil {
			total = &Series{
				Service: key.Service,
			}
			totals[key.Service] = total
		}
		total.add(current)
		if query.Organisation == "" || query.Organisation == key.Organisation {
			answer.Organisations = append(answer.Organisations, current)
		}
	}
	c.mu.Unlock()
	for _, total := range totals {
		answer.Services = append(answer.Services, *total)
	}
	slices.SortFunc(answer.Organisations, compareMissRatio)
	answer.Organisations = answer.Organisations[:min(query.Most, len(answer.Organisations))]
	return answer
}

// compareMissRatio orders series by their misses per request within the last hour, largest first.
func compareMissRatio(a, b Series) int {
	return cmp.Or(
		cmp.Compare(missRatio(b.Windows[1]), missRatio(a.Windows[1])),
		cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Service, b.Service),
	)
}

// missRatio returns the number of misses per request. It can exceed 1, because one request can miss several objectives
// and late jobs count as misses as well.
func missRatio(c Counts) float64 {
	return float64(c.misses()) / float64(max(1, c.requests()))
}

// MethodCounts is the name of the method that answers queries.
const MethodCounts = "Burn.Counts"

// Service is the net/rpc service that answers queries; it is registered as "Burn".
type Service struct {
	counters *Counters
}

// NewService returns a net/rpc service that answers queries from the counters.
func NewService(counters *Counters) *Service {
	return &Service{
		counters: counters,
	}
}

// Counts answers a query.
func (s *Service) Counts(args Query, reply *Answer) error {
	*reply = s.counters.Counts(args)
	return nil
}
