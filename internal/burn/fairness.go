package burn

import (
	"cmp"
	"slices"

	"rhubarbrudder/internal/document"
)

// Share compares an organisation with the rest of a service within the last minutes.
type Share struct {
	Service      document.ServiceName
	Organisation document.OrganisationID
	Requests     uint64
	// P50Milliseconds and P99Milliseconds are times to the first token; the Rest fields are those of all others.
	P50Milliseconds     int64
	RestP50Milliseconds int64
	P99Milliseconds     int64
	RestP99Milliseconds int64
	// RefusedShare and FailedShare are shares of the requests.
	RefusedShare     float64
	RestRefusedShare float64
	FailedShare      float64
	RestFailedShare  float64
	// Worse says that the organisation is served clearly worse than the rest.
	Worse bool
}

// Fairness is the report on how organisations are served against the rest.
type Fairness struct {
	Shares []Share
	// Silent names the processes that did not answer.
	Silent []string
}

const (
	// fewestRequests is how many requests a comparison needs.
	fewestRequests = 20
	// worseTimes is how many times worse than the rest is clearly worse: two buckets of the histogram.
	worseTimes = 2
	// worseShare is the share of requests beyond the rest's that is clearly worse.
	worseShare = 0.05
)

// Fairness compares each organisation with the rest of its services, worse ones first.
func (m *Merged) Fairness() Fairness {
	report := Fairness{
		Shares: []Share{},
	}
	for _, one := range m.organisations {
		if total := m.services[one.Service]; total != nil {
			report.Shares = append(report.Shares, share(*one, *total))
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

func share(one, total Series) Share {
	own := one.Windows[0]
	rest := total.Windows[0]
	rest.Refused -= min(rest.Refused, own.Refused)
	rest.Failed -= min(rest.Failed, own.Failed)
	rest.Answers -= min(rest.Answers, own.Answers)
	others := total.First.without(one.First)
	made := Share{
		Service:             one.Service,
		Organisation:        one.Organisation,
		Requests:            own.requests(),
		P50Milliseconds:     one.First.Quantile(0.5).Milliseconds(),
		RestP50Milliseconds: others.Quantile(0.5).Milliseconds(),
		P99Milliseconds:     one.First.Quantile(0.99).Milliseconds(),
		RestP99Milliseconds: others.Quantile(0.99).Milliseconds(),
		RefusedShare:        part(own.Refused, own),
		RestRefusedShare:    part(rest.Refused, rest),
		FailedShare:         part(own.Failed, own),
		RestFailedShare:     part(rest.Failed, rest),
	}
	slower := made.P50Milliseconds >= worseTimes*max(1, made.RestP50Milliseconds) || made.P99Milliseconds >= worseTimes*max(1, made.RestP99Milliseconds)
	refused := made.RefusedShare > made.RestRefusedShare+worseShare || made.FailedShare > made.RestFailedShare+worseShare
	made.Worse = own.requests() >= fewestRequests && rest.requests() >= fewestRequests && (slower || refused)
	return made
}

func part(of uint32, all Counts) float64 {
	return float64(of) / float64(max(1, all.requests()))
}
