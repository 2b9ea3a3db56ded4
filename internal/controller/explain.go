package controller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/explain"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/job"
)

// Jobs looks up jobs of any organisation.
type Jobs interface {
	Lookup(ctx context.Context, id job.ID) (found job.Job, lotsDone int, err error)
	Active(ctx context.Context) ([]job.ActiveRow, error)
}

// Explanation holds the notes of all processes about a subject.
type Explanation struct {
	Subject explain.Subject
	// Job describes the job if the subject is a job.
	Job   *JobState `json:",omitempty"`
	Notes []explain.Note
	// Silent lists the processes that did not answer or answered with an error. It also holds the error of the
	// platform's table if the job could not be read.
	Silent []string
}

// JobState describes a job and its progress.
type JobState struct {
	ID           job.ID
	Organisation document.OrganisationID
	Service      document.ServiceName
	State        job.State
	Items        int
	// Completed and Failed are the numbers of items with each outcome.
	Completed int
	Failed    int
	// LotsDone counts the lots whose results are stored.
	LotsDone int
	Lots     int
	Created  time.Time
	Due      time.Time
	Ended    time.Time
}

// serveExplain collects the notes of all processes about a subject.
func (c *Controller) serveExplain(w http.ResponseWriter, r *http.Request, token document.Hash) {
	if !equalHashes(token, c.root) {
		// The owner of a section may not see the activity of all organisations' callers.
		writeJSON(w, http.StatusForbidden, Failure{
			Code:    "Forbidden",
			Message: "only the operator's token may ask for explanations",
		})
		return
	}
	subject := explain.Subject(r.PathValue("id"))
	body := Explanation{
		Subject: subject,
	}
	body.Notes, body.Silent = c.gatherNotes(r.Context(), subject)
	state, err := c.jobState(r.Context(), job.ID(subject))
	if err != nil && !errors.Is(err, job.ErrNotFound) {
		body.Silent = append(body.Silent, "the platform's table: "+err.Error())
	}
	body.Job = state
	writeJSON(w, http.StatusOK, body)
}

func (c *Controller) gatherNotes(ctx context.Context, subject explain.Subject) ([]explain.Note, []string) {
	var mu sync.Mutex
	notes := []explain.Note{}
	members := c.expectedMembers(fleet.RoleGateway, fleet.RoleDispatcher, fleet.RoleController)
	silent := gatherFrom(ctx, members, func(ctx context.Context, member fleet.Member) error {
		var answer explain.Answer
		err := c.caller.Call(ctx, member.Address, explain.MethodAbout, explain.Query{
			Subject: subject,
		}, &answer)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		notes = append(notes, answer.Notes...)
		return nil
	})
	slices.SortStableFunc(notes, func(a, b explain.Note) int {
		return a.At.Compare(b.At)
	})
	return notes, silent
}

func (c *Controller) jobState(ctx context.Context, id job.ID) (*JobState, error) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	found, done, err := c.jobs.Lookup(ctx, id)
	if err != nil {
		return nil, err
	}
	return &JobState{
		ID:           found.ID,
		Organisation: found.Organisation,
		Service:      found.Service,
		State:        found.State,
		Items:        found.Items,
		Completed:    found.Counts.Completed,
		Failed:       found.Counts.Failed,
		LotsDone:     done,
		Lots:         found.Lots,
		Created:      found.Created,
		Due:          found.Due,
		Ended:        found.Ended,
	}, nil
}
