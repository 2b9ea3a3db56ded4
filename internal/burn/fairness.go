package burn

import (
	"cmp"
	"slices"

	"rhubarbrudder/internal/document"
)

// Share compares how an organisation is served with the others at the same service, within the shortest window.
type Share struct {
	Service      document.ServiceName
	Organisation document.OrganisationID
	Requests     uint64
	// P50Milliseconds and P99Milliseconds are times to the first token; the Rest fields are for all other organisations.
	P50Milliseconds     int64
	RestP50Milliseconds int64
	P99Milliseconds     int64
	RestP99Milliseconds int64
	// RefusedShare and FailedShare are the shares of refused and failed requests.
	RefusedShare     float64
	RestRefusedShare float64
	FailedShare      float64
	RestFailedShare  float64
	// Worse is true if the organisation is served clearly worse than the rest.
	Worse bool
}

// Fairness is the report that compares how each organisation is served with the rest.
type Fairness struct {
	Shares []Share
	// Silent lists the processes that did not answer or answered with an error.
	Silent []string
}

const (
	// minRequests is the minimum number of requests on both sides of a comparison.
	minRequests = 20
	// worseFactor is how many times the rest's latency counts as clearly worse; it corresponds to two histogram buckets.
	worseFactor = 2
	// worseMargin is by how much a share of refused or failed requests must exceed the rest's to count as clearly worse.
	worseMargin = 0.05
)

// Fairness compares each organisation with the rest at each of its services. The organisations that are served worse come
// first.
func (m *Merged) Fairness() Fairness {
	report := Fairness{
		Shares: []Share{},
	}
	for _, entry := range m.organisations {
		if total := m.services[entry.Service]; total != nil {
			report.Shares = append(report.Shares, newShare(*entry, *total))
		}
	}
	slices.SortFunc(report.Shares, func(a, b Share) int {
		if a.Worse != b.Worse {
			if a.Worse {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(b.P99Milliseconds, a.P99Milliseconds),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Organisation, b.Organisation),
		)
	})
	return report
}

func newShare(organisation, total Series) Share {
	own := organisation.Windows[0]
	rest := total.Windows[0]
	rest.Refused -= min(rest.Refused, own.Refused)
	rest.Failed -= min(rest.Failed, own.Failed)
	rest.Answers -= min(rest.Answers, own.Answers)
	restFirst := total.First.subtract(organisation.First)
	result := Share{
		Service:             organisation.Service,
		Organisation:        organisation.Organisation,
		Requests:            own.requests(),
		P50Milliseconds:     organisation.First.Quantile(0.5).Milliseconds(),
		RestP50Milliseconds: restFirst.Quantile(0.5).Milliseconds(),
		P99Milliseconds:     organisation.First.Quantile(0.99).Milliseconds(),
		RestP99Milliseconds: restFirst.Quantile(0.99).Milliseconds(),
		RefusedShare:        shareOf(own.Refused, own),
		RestRefusedShare:    shareOf(rest.Refused, rest),
		FailedShare:         shareOf(own.Failed, own),
		RestFailedShare:     shareOf(rest.Failed, rest),
	}
	slower := result.P50Milliseconds >= worseFactor*max(1, result.RestP50Milliseconds) || result.P99Milliseconds >= worseFactor*max(1, result.RestP99Milliseconds)
	refused := result.RefusedShare > result.RestRefusedShare+worseMargin || result.FailedShare > result.RestFailedShare+worseMargin
	result.Worse = own.requests() >= minRequests && rest.requests() >= minRequests && (slower || refused)
	return result
}

func shareOf(count uint32, all Counts) float64 {
	return float64(count) / float64(max(1, all.requests()))
}
