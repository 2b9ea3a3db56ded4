package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Operator is a client for operators. It sends requests to a controller.
type Operator struct {
	connection
}

// NewOperator returns a client of the controller at the URL that sends the operator's token.
func NewOperator(client *http.Client, url, token string) *Operator {
	return &Operator{
		connection: newConnection(client, url, token, operatorFailure),
	}
}

// operatorFailure decodes an error of a controller.
func operatorFailure(status int, data []byte) *Failure {
	failure := &Failure{}
	if err := json.Unmarshal(data, failure); err != nil || failure.Code == "" {
		failure.Code = http.StatusText(status)
		failure.Message = string(data)
	}
	failure.Status = status
	return failure
}

// Section is one version of a section of the document.
type Section struct {
	Name string
	// Version counts the accepted changes of the section.
	Version int64
	// Revision counts the accepted changes of the whole document. The section was read at this revision.
	Revision int64
	Entries  map[string]json.RawMessage
}

// Change is an accepted change to a section.
type Change struct {
	// ID is the idempotency key that the editor chose.
	ID      string
	Section string
	// Base is the section version that the change was made from.
	Base int64
	// Set holds the entries that were added or replaced, and Remove the names of those that were removed.
	Set    map[string]json.RawMessage
	Remove []string
	// Revision is the revision of the document that the change led to.
	Revision int64
	Author   string
	// Accepted is the time of the acceptance.
	Accepted time.Time
}

// Section returns the section in force.
func (o *Operator) Section(ctx context.Context, name string) (Section, error) {
	var section Section
	err := o.do(ctx, o.base.New().Get("/document/"+url.PathEscape(name)), &section)
	return section, err
}

// Put replaces the section's entries if the section still has the given version. id is the idempotency key of the
// change: sending it again has no further effect. Put retries while the controller is unavailable.
func (o *Operator) Put(ctx context.Context, section Section, id string) (Change, error) {
	body := struct {
		Entries map[string]json.RawMessage
	}{
		Entries: section.Entries,
	}
	var change Change
	err := retry(ctx, func() error {
		request := o.base.New().Put("/document/"+url.PathEscape(section.Name)).
			Set("If-Match", strconv.Quote(strconv.FormatInt(section.Version, 10))).
			Set("Idempotency-Key", id).
			BodyJSON(body)
		return o.do(ctx, request, &change)
	}, func(err error) bool {
		return errors.Is(err, ErrUnavailable)
	})
	return change, err
}

// History returns the changes accepted after the given revision, oldest first. The controller returns at most 100; to
// read on, call History again with the revision of the last change.
func (o *Operator) History(ctx context.Context, after int64) ([]Change, error) {
	var changes []Change
	err := o.do(ctx, o.base.New().Get("/history?after="+strconv.FormatInt(after, 10)), &changes)
	return changes, err
}

// Get sends a GET request for the path and returns the JSON of the response.
func (o *Operator) Get(ctx context.Context, path string) (json.RawMessage, error) {
	var response json.RawMessage
	err := o.do(ctx, o.base.New().Get(path), &response)
	return response, err
}

// Fact is one piece of evidence for a decision.
type Fact struct {
	Name  string
	Value string
}

// Note records a decision of a process.
type Note struct {
	At time.Time
	// By names the process.
	By string
	// Subject is the id of what the decision is about, such as a request or a job.
	Subject  string
	Decision string
	Evidence []Fact
}

// Explanation holds the notes of all processes about a subject.
type Explanation struct {
	Subject string
	// Job is set if the subject is a job.
	Job   *JobState
	Notes []Note
	// Silent names the processes that did not answer.
	Silent []string
}

// JobState is the stored state of a job. A lot is a group of its items that one dispatcher runs at a time.
type JobState struct {
	ID           string
	Organisation string
	Service      string
	State        string
	Items        int
	Completed    int
	Failed       int
	LotsDone     int
	Lots         int
	Created      time.Time
	Due          time.Time
	// Ended is zero until the job has ended.
	Ended time.Time
}

// Explain returns the decisions about a request, job, lot, item, endpoint or revision.
func (o *Operator) Explain(ctx context.Context, id string) (Explanation, error) {
	var explanation Explanation
	err := o.do(ctx, o.base.New().Get("/explain/"+url.PathEscape(id)), &explanation)
	return explanation, err
}
