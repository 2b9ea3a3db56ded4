package burn

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrudder/internal/document"
)

// ObjectiveName is the name of an objective, each of which has a budget of misses.
type ObjectiveName string

const (
	// ObjectiveFirstToken requires the first token within the service's FirstTokenMilliseconds.
	ObjectiveFirstToken ObjectiveName = "FirstToken"
	// ObjectiveToken requires each further token within the service's TokenMilliseconds after the previous one.
	ObjectiveToken ObjectiveName = "Token"
	// ObjectiveAnswer requires that requests are answered.
	ObjectiveAnswer ObjectiveName = "Answer"
	// ObjectiveJobDue requires that jobs are completed by their due time; a single late job uses up the budget.
	ObjectiveJobDue ObjectiveName = "JobDue"
)

const (
	// allowedSlow is the share of tokens that may be late: the objectives apply to the 95th percentile.
	allowedSlow = 0.05
	// allowedUnanswered is the share of requests that may fail or be refused for lack of capacity.
	allowedUnanswered = 0.001
)

// Row reports one budget of a service, or of an organisation at a service.
type Row struct {
	Service      document.ServiceName
	Organisation document.OrganisationID
	Objective    ObjectiveName
	// LimitMilliseconds is the objective's time limit; it is zero for objectives about answers and jobs.
	LimitMilliseconds int
	// Events is the number of events in the longest window.
	Events uint64
	// BudgetLeft is the share of the longest window's budget that is left; it is negative if the budget is exceeded.
	BudgetLeft float64
	// Burn5m to Burn3d are the burn rates of the windows: at a rate of 1 the budget is just used up.
	Burn5m float64
	Burn1h float64
	Burn6h float64
	Burn3d float64
}

// LateJob is a job that is still running after its due time.
type LateJob struct {
	Job          string
	Organisation document.OrganisationID
	Service      document.ServiceName
	Due          time.Time
	LateSeconds  int
}

// Report is the report on the use of the services' budgets.
type Report struct {
	// CountedSeconds is how long the longest-running process has counted; windows longer than that are incomplete.
	CountedSeconds int
	Services       []Row
	Organisations  []Row
	// LateJobs lists the jobs that are still running after their due time.
	LateJobs []LateJob
	// Silent lists the processes that did not answer or answered with an error. It also holds the error of the
	// platform's table if the late jobs could not be read.
	Silent []string
}

// Merged holds the combined counts of several processes.
type Merged struct {
	longestLived  time.Duration
	services      map[document.ServiceName]*Series
	organisations map[Key]*Series
}

// NewMerged returns an empty Merged.
func NewMerged() *Merged {
	return &Merged{
		services:      map[document.ServiceName]*Series{},
		organisations: map[Key]*Series{},
	}
}

// Add adds a process's answer.
func (m *Merged) Add(answer Answer) {
	m.longestLived = max(m.longestLived, answer.Lived)
	for _, entry := range answer.Services {
		total := m.services[entry.Service]
		if total == nil {
			total = &Series{
				Service: entry.Service,
			}
			m.services[entry.Service] = total
		}
		total.add(entry)
	}
	for _, entry := range answer.Organisations {
		key := Key{
			Organisation: entry.Organisation,
			Service:      entry.Service,
		}
		total := m.organisations[key]
		if total == nil {
			total = &Series{
				Organisation: entry.Organisation,
				Service:      entry.Service,
			}
			m.organisations[key] = total
		}
		total.add(entry)
	}
}

// Report returns the budgets for the objectives of the services in the view.
func (m *Merged) Report(view *document.View) Report {
	report := Report{
		CountedSeconds: int(m.longestLived.Seconds()),
		Services:       []Row{},
		Organisations:  []Row{},
		LateJobs:       []LateJob{},
	}
	for _, entry := range m.services {
		report.Services = append(report.Services, newRows(*entry, view.Services[entry.Service])...)
	}
	for _, entry := range m.organisations {
		report.Organisations = append(report.Organisations, newRows(*entry, view.Services[entry.Service])...)
	}
	slices.SortFunc(report.Services, compareBudgetLeft)
	slices.SortFunc(report.Organisations, compareBudgetLeft)
	return report
}

// compareBudgetLeft orders rows by the budget left, smallest first.
func compareBudgetLeft(a, b Row) int {
	return cmp.Or(
		cmp.Compare(a.BudgetLeft, b.BudgetLeft),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Objective, b.Objective),
	)
}

func newRows(s Series, service document.Service) []Row {
	var result []Row
	if longest := s.Windows[windowCount-1]; longest.requests() > 0 {
		result = append(result, newRow(s, ObjectiveAnswer, 0, allowedUnanswered, func(c Counts) (uint64, uint64) {
			return uint64(c.Failed) + uint64(c.Refused), c.requests()
		}))
	}
	if longest := s.Windows[windowCount-1]; longest.Jobs > 0 {
		result = append(result, newRow(s, ObjectiveJobDue, 0, 1/float64(longest.Jobs), func(c Counts) (uint64, uint64) {
			return uint64(c.LateJobs), uint64(longest.Jobs)
		}))
	}
	if service.FirstTokenMilliseconds > 0 {
		result = append(result, newRow(s, ObjectiveFirstToken, service.FirstTokenMilliseconds, allowedSlow, func(c Counts) (uint64, uint64) {
			return uint64(c.SlowFirst), uint64(c.First)
		}))
	}
	if service.TokenMilliseconds > 0 {
		result = append(result, newRow(s, ObjectiveToken, service.TokenMilliseconds, allowedSlow, func(c Counts) (uint64, uint64) {
			return uint64(c.SlowTokens), uint64(c.Tokens)
		}))
	}
	return result
}

func newRow(s Series, name ObjectiveName, limit int, allowed float64, countMisses func(c Counts) (missed, all uint64)) Row {
	rate := func(window int) float64 {
		missed, all := countMisses(s.Windows[window])
		return float64(missed) / float64(max(1, all)) / allowed
	}
	_, events := countMisses(s.Windows[windowCount-1])
	return Row{
		Service:           s.Service,
		Organisation:      s.Organisation,
		Objective:         name,
		LimitMilliseconds: limit,
		Events:            events,
		BudgetLeft:        1 - rate(windowCount-1),
		Burn5m:            rate(0),
		Burn1h:            rate(1),
		Burn6h:            rate(2),
		Burn3d:            rate(3),
	}
}
