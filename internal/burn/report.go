package burn

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrudder/internal/document"
)

// ObjectiveName names what a budget is for.
type ObjectiveName string

const (
	// ObjectiveFirstToken is for first tokens within the service's FirstTokenMilliseconds.
	ObjectiveFirstToken ObjectiveName = "FirstToken"
	// ObjectiveToken is for tokens within the service's TokenMilliseconds of the one before.
	ObjectiveToken ObjectiveName = "Token"
	// ObjectiveAnswer is for requests that are answered.
	ObjectiveAnswer ObjectiveName = "Answer"
	// ObjectiveJobDue is for jobs completed by their due time; a single late job uses up the budget.
	ObjectiveJobDue ObjectiveName = "JobDue"
)

const (
	// allowedSlow is the share of tokens that may be late: the objectives hold at the 95th percentile.
	allowedSlow = 0.05
	// allowedUnanswered is the share of requests that may be refused for lack of room, or fail.
	allowedUnanswered = 0.001
)

// Row is one budget of a service, or of one of its organisations.
type Row struct {
	Service      document.ServiceName
	Organisation document.OrganisationID
	Objective    ObjectiveName
	// LimitMilliseconds is the objective; zero for answers.
	LimitMilliseconds int
	// Events counts what the longest window holds.
	Events uint64
	// BudgetLeft is the share of the longest window's budget that is left; it is negative if too much was missed.
	BudgetLeft float64
	// Burn5m to Burn3d are how fast the budget is used: at 1 it is just used up.
	Burn5m float64
	Burn1h float64
	Burn6h float64
	Burn3d float64
}

// LateJob is a job that runs past its due time, or is about to.
type LateJob struct {
	Job          string
	Organisation document.OrganisationID
	Service      document.ServiceName
	Due          time.Time
	LateSeconds  int
}

// Report is the report on service-level burn.
type Report struct {
	// CountedSeconds is how long the longest living process has counted; longer windows are not full.
	CountedSeconds int
	Services       []Row
	Organisations  []Row
	// LateJobs lists the jobs past their due time that still run.
	LateJobs []LateJob
	// Silent names the processes that did not answer.
	Silent []string
}

// Merged is the counts of several processes put together.
type Merged struct {
	lived         time.Duration
	services      map[document.ServiceName]*Series
	organisations map[Key]*Series
}

// NewMerged returns a merge of nothing.
func NewMerged() *Merged {
	return &Merged{
		services:      map[document.ServiceName]*Series{},
		organisations: map[Key]*Series{},
	}
}

// Add takes a process's answer in.
func (m *Merged) Add(answer Answer) {
	m.lived = max(m.lived, answer.Lived)
	for _, one := range answer.Services {
		total := m.services[one.Service]
		if total == nil {
			total = &Series{
				Service: one.Service,
			}
			m.services[one.Service] = total
		}
		total.add(one)
	}
	for _, one := range answer.Organisations {
		key := Key{
			Organisation: one.Organisation,
			Service:      one.Service,
		}
		total := m.organisations[key]
		if total == nil {
			total = &Series{
				Organisation: one.Organisation,
				Service:      one.Service,
			}
			m.organisations[key] = total
		}
		total.add(one)
	}
}

// Report returns the budgets by the objectives of the view.
func (m *Merged) Report(view *document.View) Report {
	report := Report{
		CountedSeconds: int(m.lived.Seconds()),
		Services:       []Row{},
		Organisations:  []Row{},
		LateJobs:       []LateJob{},
	}
	for _, one := range m.services {
		report.Services = append(report.Services, rows(*one, view.Services[one.Service])...)
	}
	for _, one := range m.organisations {
		report.Organisations = append(report.Organisations, rows(*one, view.Services[one.Service])...)
	}
	slices.SortFunc(report.Services, byBudget)
	slices.SortFunc(report.Organisations, byBudget)
	return report
}

// byBudget orders the rows with the least left first.
func byBudget(a, b Row) int {
	return cmp.Or(
		cmp.Compare(a.BudgetLeft, b.BudgetLeft),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Objective, b.Objective),
	)
}

func rows(one Series, service document.Service) []Row {
	var made []Row
	if longest := one.Windows[windows-1]; longest.requests() > 0 {
		made = append(made, row(one, ObjectiveAnswer, 0, allowedUnanswered, func(c Counts) (uint64, uint64) {
			return uint64(c.Failed) + uint64(c.Refused), c.requests()
		}))
	}
	if longest := one.Windows[windows-1]; longest.Jobs > 0 {
		made = append(made, row(one, ObjectiveJobDue, 0, 1/float64(longest.Jobs), func(c Counts) (uint64, uint64) {
			return uint64(c.LateJobs), uint64(longest.Jobs)
		}))
	}
	if service.FirstTokenMilliseconds > 0 {
		made = append(made, row(one, ObjectiveFirstToken, service.FirstTokenMilliseconds, allowedSlow, func(c Counts) (uint64, uint64) {
			return uint64(c.SlowFirst), uint64(c.First)
		}))
	}
	if service.TokenMilliseconds > 0 {
		made = append(made, row(one, ObjectiveToken, service.TokenMilliseconds, allowedSlow, func(c Counts) (uint64, uint64) {
			return uint64(c.SlowTokens), uint64(c.Tokens)
		}))
	}
	return made
}

func row(one Series, name ObjectiveName, limit int, allowed float64, split func(c Counts) (missed, all uint64)) Row {
	rate := func(window int) float64 {
		missed, all := split(one.Windows[window])
		return float64(missed) / float64(max(1, all)) / allowed
	}
	_, events := split(one.Windows[windows-1])
	return Row{
		Service:           one.Service,
		Organisation:      one.Organisation,
		Objective:         name,
		LimitMilliseconds: limit,
		Events:            events,
		BudgetLeft:        1 - rate(windows-1),
		Burn5m:            rate(0),
		Burn1h:            rate(1),
		Burn6h:            rate(2),
		Burn3d:            rate(3),
	}
}
