package vm

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/route"
)

const (
	// maxNamed is the number of organisations that have metrics of their own. All others share those of otherOrganisations.
	maxNamed = 20
	// namedPeriod is the time between choices of the organisations with metrics of their own, and recentWeight the factor by
	// which requests before the last choice count less in the next one.
	namedPeriod  = 10 * time.Second
	recentWeight = 0.5
	// minRecent is the weighted number of requests below which an organisation is no longer counted.
	minRecent = 0.1
	// otherOrganisations is the label of the metrics that organisations share.
	otherOrganisations = "other"
)

// Labels of the requests of an organisation.
const (
	labelAdmitted      = "admitted"
	labelOverAllowance = "over allowance"
	labelRefused       = "refused"
	// labelLeft is for requests whose callers left before they were admitted.
	labelLeft = "left"
)

// organisationTotals are the metrics of one label.
type organisationTotals struct {
	// outcomes counts the requests by their label.
	outcomes map[string]int64
	waited   time.Duration
	// first is the sum of the times to the first event, answers the number of requests that had one.
	first   time.Duration
	answers int64
}

// organisationMetrics counts requests by organisation, with a bounded number of labels. A series never decreases while it exists;
// it ends when its organisation is no longer one of the largest.
type organisationMetrics struct {
	now func() time.Time

	mu     sync.Mutex
	chosen time.Time
	// recent holds the weighted number of requests of each organisation.
	recent map[route.OrganisationID]float64
	named  map[route.OrganisationID]*organisationTotals
	other  *organisationTotals
}

func newOrganisationMetrics(now func() time.Time) *organisationMetrics {
	return &organisationMetrics{
		now:    now,
		chosen: now(),
		recent: map[route.OrganisationID]float64{},
		named:  map[route.OrganisationID]*organisationTotals{},
		other:  newOrganisationTotals(),
	}
}

func newOrganisationTotals() *organisationTotals {
	return &organisationTotals{
		outcomes: map[string]int64{},
	}
}

// record counts a request, unless it was made without an organisation.
func (m *organisationMetrics) record(served forward.Served) {
	if served.Organisation == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.choose()
	m.recent[served.Organisation]++
	totals := m.named[served.Organisation]
	if totals == nil && len(m.named) < maxNamed {
		totals = newOrganisationTotals()
		m.named[served.Organisation] = totals
	}
	if totals == nil {
		totals = m.other
	}
	totals.outcomes[admissionLabel(served)]++
	totals.waited += served.Waited
	if served.First > 0 {
		totals.first += served.First
		totals.answers++
	}
}

func admissionLabel(served forward.Served) string {
	switch {
	case served.Outcome == forward.OutcomeOverAllowance:
		return labelOverAllowance
	case served.Outcome == forward.OutcomeRefused:
		return labelRefused
	case !served.Admitted:
		return labelLeft
	}
	return labelAdmitted
}

// choose gives the largest organisations metrics of their own, once in namedPeriod. The lock must be held.
func (m *organisationMetrics) choose() {
	if m.now().Sub(m.chosen) < namedPeriod {
		return
	}
	m.chosen = m.now()
	largest := slices.SortedFunc(maps.Keys(m.recent), func(a, b route.OrganisationID) int {
		return cmp.Or(cmp.Compare(m.recent[b], m.recent[a]), cmp.Compare(a, b))
	})
	named := make(map[route.OrganisationID]*organisationTotals, maxNamed)
	for _, id := range largest[:min(maxNamed, len(largest))] {
		named[id] = m.named[id]
		if named[id] == nil {
			named[id] = newOrganisationTotals()
		}
	}
	m.named = named
	for id := range m.recent {
		m.recent[id] *= recentWeight
		if m.recent[id] < minRecent {
			delete(m.recent, id)
		}
	}
}

// each calls visit with the metrics of each label.
func (m *organisationMetrics) each(visit func(label string, totals *organisationTotals)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, totals := range m.named {
		label := string(id)
		if label == otherOrganisations {
			// An organisation of that name is not told apart from the shared metrics.
			label = "organisation " + label
		}
		visit(label, totals)
	}
	if len(m.other.outcomes) > 0 {
		visit(otherOrganisations, m.other)
	}
}

// observe registers the metrics by organisation.
func (m *organisationMetrics) observe(meter metric.Meter) error {
	const counted = " The largest organisations have their own label, all others share one."
	seconds := metric.WithUnit("s")
	requests, requestsErr := meter.Int64ObservableCounter("rhubarbrudder.organisation.admissions", metric.WithDescription("Online requests by organisation and whether they were admitted."+counted))
	waited, waitedErr := meter.Float64ObservableCounter("rhubarbrudder.organisation.waited", seconds, metric.WithDescription("Sum of the times that online requests waited for slots, by organisation."+counted))
	first, firstErr := meter.Float64ObservableCounter("rhubarbrudder.organisation.first", seconds, metric.WithDescription("Sum of the times to the first part of an answer, by organisation."+counted))
	answers, answersErr := meter.Int64ObservableCounter("rhubarbrudder.organisation.answers", metric.WithDescription("Answers that began, by organisation."+counted))
	if err := errors.Join(requestsErr, waitedErr, firstErr, answersErr); err != nil {
		return err
	}
	_, err := meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		m.each(func(label string, totals *organisationTotals) {
			organisation := attribute.String("organisation", label)
			for outcome, count := range totals.outcomes {
				observer.ObserveInt64(requests, count, metric.WithAttributes(organisation, attribute.String("outcome", outcome)))
			}
			observer.ObserveFloat64(waited, totals.waited.Seconds(), metric.WithAttributes(organisation))
			observer.ObserveFloat64(first, totals.first.Seconds(), metric.WithAttributes(organisation))
			observer.ObserveInt64(answers, totals.answers, metric.WithAttributes(organisation))
		})
		return nil
	}, requests, waited, first, answers)
	return err
}
