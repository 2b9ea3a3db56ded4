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

// Operator is a client of a controller for operators.
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
	Name     string
	Version  int64
	Revision int64
	Entries  map[string]json.RawMessage
}

// Change is an accepted change to a section. Base is the section version that it was made from.
type Change struct {
	ID       string
	Section  string
	Base     int64
	Set      map[string]json.RawMessage
	Remove   []string
	Revision int64
	Author   string
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

// History returns changes accepted after the revision, oldest first.
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
	At       time.Time
	By       string
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
	Ended        time.Time
}

// Explain returns the decisions about a request, job, lot, item, endpoint or revision.
func (o *Operator) Explain(ctx context.Context, id string) (Explanation, error) {
	var explanation Explanation
	err := o.do(ctx, o.base.New().Get("/explain/"+url.PathEscape(id)), &explanation)
	return explanation, err
}
