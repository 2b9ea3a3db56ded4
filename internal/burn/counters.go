package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
)

// Sample is one request that has ended.
type Sample struct {
	Key    Key
	Counts Counts
	// First is the time to the first token, or zero if the answer was not streamed.
	First time.Duration
}

// Counters keeps a process's counts in bounded memory.
type Counters struct {
	now     func() time.Time
	started time.Time
	mu      sync.Mutex
	series  map[Key]*series
}

const (
	// mostSeries bounds the memory; what is beyond is counted for the service alone.
	mostSeries = 50000
	// Others is the organisation that stands for those beyond the bound.
	Others document.OrganisationID = "(others)"
)

// NewCounters returns counters without counts; now is time.Now but in tests.
func NewCounters(now func() time.Time) *Counters {
	return &Counters{
		now:     now,
		started: now(),
		series:  map[Key]*series{},
	}
}

// Observe counts a request that has ended.
func (c *Counters) Observe(sample Sample) {
	since := c.now().Sub(c.started)
	c.mu.Lock()
	defer c.mu.Unlock()
	into := c.of(sample.Key)
	into.add(since, sample.Counts)
	if sample.First > 0 {
		into.histogram(since)[bucket(sample.First)]++
	}
}

func (c *Counters) of(key Key) *series {
	found := c.series[key]
	if found == nil && len(c.series) >= mostSeries {
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
	// Organisation is whose series are wanted; empty for those with the largest shares of misses.
	Organisation document.OrganisationID
	// Most bounds the series of organisations in the answer.
	Most int
}

// Series is the counts of one organisation at one service, or of a whole service if the organisation is empty.
type Series struct {
	Organisation document.OrganisationID
	Service      document.ServiceName
	Windows      [windows]Counts
	First        Histogram
}

func (s *Series) add(other Series) {
	for i, counts := range other.Windows {
		s.Windows[i].Add(counts)
	}
	s.First.Add(other.First)
}

// Answer holds a process's counts.
type Answer struct {
	// Lived is how long the process has counted.
	Lived         time.Duration
	Services      []Series
	Organisations []Series
}

// Counts answers a query.
func (c *Counters) Counts(query Query) Answer {
	since := c.now().Sub(c.started)
	answer := Answer{
		Lived: since,
	}
	totals := map[document.ServiceName]*Series{}
	c.mu.Lock()
	for key, kept := range c.series {
		read := kept.read(key, since)
		total := totals[key.Service]
		if total == nil {
			total = &Series{
				Service: key.Service,
			}
			totals[key.Service] = total
		}
		total.add(read)
		if query.Organisation == "" || query.Organisation == key.Organisation {
			answer.Organisations = append(answer.Organisations, read)
		}
	}
	c.mu.Unlock()
	for _, total := range totals {
		answer.Services = append(answer.Services, *total)
	}
	slices.SortFunc(answer.Organisations, worstFirst)
	answer.Organisations = answer.Organisations[:min(query.Most, len(answer.Organisations))]
	return answer
}

// worstFirst orders series by their share of misses within the hour.
func worstFirst(a, b Series) int {
	return cmp.Or(
		cmp.Compare(misses(b.Windows[1]), misses(a.Windows[1])),
		cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Service, b.Service),
	)
}

func misses(c Counts) float64 {
	return float64(c.bad()) / float64(max(1, c.requests()))
}

// MethodCounts is the name of the method that answers queries.
const MethodCounts = "Burn.Counts"

// Service answers queries over net/rpc; it is registered as "Burn".
type Service struct {
	counters *Counters
}

// NewService returns the service of counters.
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
