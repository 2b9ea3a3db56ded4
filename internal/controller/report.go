package controller

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/burn"
	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
)

// maxOrganisations bounds the series of organisations that each process reports; those with the most misses per request
// come first.
const maxOrganisations = 500

// gatherCounts collects the counts of all gateways and dispatchers. It also returns the names of those that did not
// answer.
func (c *Controller) gatherCounts(ctx context.Context, organisation document.OrganisationID) (*burn.Merged, []string) {
	var mu sync.Mutex
	merged := burn.NewMerged()
	silent := gatherFrom(ctx, c.expectedMembers(fleet.RoleGateway, fleet.RoleDispatcher), func(ctx context.Context, member fleet.Member) error {
		var answer burn.Answer
		err := c.caller.Call(ctx, member.Address, burn.MethodCounts, burn.Query{
			Organisation: organisation,
			Most:         maxOrganisations,
		}, &answer)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		merged.Add(answer)
		return nil
	})
	return merged, silent
}

func (c *Controller) serveBurn(w http.ResponseWriter, r *http.Request, _ document.Hash) {
	merged, silent := c.gatherCounts(r.Context(), document.OrganisationID(r.URL.Query().Get("organisation")))
	report := merged.Report(c.documents.View())
	report.Silent = silent
	late, err := c.lateJobs(r.Context(), time.Now())
	if err != nil {
		report.Silent = append(report.Silent, "the platform's table: "+err.Error())
	}
	report.LateJobs = append(report.LateJobs, late...)
	writeJSON(w, http.StatusOK, report)
}

func (c *Controller) serveFairness(w http.ResponseWriter, r *http.Request, _ document.Hash) {
	merged, silent := c.gatherCounts(r.Context(), document.OrganisationID(r.URL.Query().Get("organisation")))
	report := merged.Fairness()
	report.Silent = silent
	writeJSON(w, http.StatusOK, report)
}

// lateJobs returns the running jobs that are past their due time, the most overdue first.
func (c *Controller) lateJobs(ctx context.Context, now time.Time) ([]burn.LateJob, error) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	active, err := c.jobs.Active(ctx)
	if err != nil {
		return nil, err
	}
	var late []burn.LateJob
	for _, row := range active {
		if row.Cancelled || now.Before(row.Due) {
			continue
		}
		late = append(late, burn.LateJob{
			Job:          string(row.Job),
			Organisation: row.Organisation,
			Service:      row.Service,
			Due:          row.Due,
			LateSeconds:  int(now.Sub(row.Due).Seconds()),
		})
	}
	slices.SortFunc(late, func(a, b burn.LateJob) int {
		return a.Due.Compare(b.Due)
	})
	return late, nil
}
