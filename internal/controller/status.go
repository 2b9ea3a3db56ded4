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

// StatusBody says per process what is in force.
type StatusBody struct {
	Revision document.Revision
	Versions map[document.SectionName]document.SectionVersion
	// InForce is how many of the processes have the revision.
	InForce   int
	Processes []ProcessStatus
}

// ProcessStatus is what is in force in one process.
type ProcessStatus struct {
	Member   fleet.Member
	Reached  bool
	Fresh    bool
	Revision document.Revision
	Sections []SectionStatus
}

// SectionStatus is the version of a section in force in one process and for how long it has been.
type SectionStatus struct {
	Name    document.SectionName
	Version document.SectionVersion
	Seconds float64
}

const (
	// statusCalls is how many processes are asked at once.
	statusCalls = 64
	// statusTimeout bounds the answer of one process.
	statusTimeout = 2 * time.Second
)

// serveStatus asks every process alive what is in force there.
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
	places := make(chan struct{}, statusCalls)
	for i := range body.Processes {
		places <- struct{}{}
		group.Go(func() {
			c.ask(r.Context(), &body.Processes[i])
			<-places
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

func (c *Controller) ask(ctx context.Context, process *ProcessStatus) {
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
