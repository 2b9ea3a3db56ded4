package controller

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
)

// StatusBody lists the revision and sections in force in each process.
type StatusBody struct {
	Revision document.Revision
	Versions map[document.SectionName]document.SectionVersion
	// InForce is the number of processes that apply this revision or a later one.
	InForce   int
	Processes []ProcessStatus
}

// ProcessStatus describes the revision and sections in force in one process.
type ProcessStatus struct {
	Member fleet.Member
	// Reached is true if the process answered the query. The fields below are set only then.
	Reached bool
	// Fresh is true if the process may accept new work under the revision in force.
	Fresh    bool
	Revision document.Revision
	Sections []SectionStatus
}

// SectionStatus describes a section's version that is in force in one process.
type SectionStatus struct {
	Name    document.SectionName
	Version document.SectionVersion
	// Seconds is how long the version has been in force.
	Seconds float64
}

const (
	// maxStatusCalls bounds how many processes are called concurrently.
	maxStatusCalls = 64
	// statusTimeout bounds the time to wait for one process's answer.
	statusTimeout = 2 * time.Second
)

// serveStatus queries every live process for its revision and sections in force.
func (c *Controller) serveStatus(w http.ResponseWriter, r *http.Request, _ document.Hash) {
	doc := c.documents.View().Document()
	body := StatusBody{
		Revision: doc.Revision,
		Versions: doc.Versions,
	}
	for _, role := range fleet.Roles() {
		for _, member := range c.members.Alive(role) {
			body.Processes = append(body.Processes, ProcessStatus{
				Member: member,
			})
		}
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, maxStatusCalls)
	for i := range body.Processes {
		slots <- struct{}{}
		group.Go(func() {
			c.queryStatus(r.Context(), &body.Processes[i])
			<-slots
		})
	}
	group.Wait()
	for _, process := range body.Processes {
		if process.Reached && process.Revision >= doc.Revision {
			body.InForce++
		}
	}
	writeJSON(w, http.StatusOK, body)
}

func (c *Controller) queryStatus(ctx context.Context, process *ProcessStatus) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	state, err := document.State(ctx, c.caller, process.Member.Address)
	if err != nil {
		return
	}
	process.Reached = true
	process.Fresh = state.Fresh
	process.Revision = state.Revision
	for section, version := range state.Versions {
		process.Sections = append(process.Sections, SectionStatus{
			Name:    section,
			Version: version,
			Seconds: state.Since[section].Seconds(),
		})
	}
	slices.SortFunc(process.Sections, func(a, b SectionStatus) int {
		return cmp.Compare(a.Name, b.Name)
	})
}
