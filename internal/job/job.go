// Package job defines batch jobs and stores them in the platform's table and object store.
//
// A job's input file is split into lots, each a run of consecutive items that is stored as one object. A dispatcher
// claims a lot for its session, runs the items and stores their results. Slow items and items that another process
// must try are split off as a remainder, which is a lot of its own.
//
// Every write of a lot's row is conditional on the row's version. The version thus acts as a fencing token: a process
// whose claim was taken over gets ErrFenced.
package job

import (
	"encoding/json"
	"fmt"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/lease"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/tablestore"
)

// ID identifies a job. It is derived from the organisation and the idempotency key, so that a resent request finds the
// same job.
type ID string

// FileID identifies an input file.
type FileID string

// LotID identifies a lot within its job. IDs sort in the order of the input.
type LotID string

// File is an input file, stored as lots in the object store.
type File struct {
	ID           FileID
	Organisation document.OrganisationID
	Name         string
	Purpose      string
	Bytes        int64
	Items        int
	Lots         int
	// Path is the path of every item.
	Path string
	// Model is the model of every item. It is empty for plain services.
	Model   document.ModelName
	Created time.Time
	// Hash is the hash of the items. It identifies the content if the same items are uploaded again.
	Hash document.Hash
	// Deleted is the time at which the organisation deleted the file, or zero.
	Deleted time.Time
}

// State is a job's state.
type State string

const (
	// StateRunning is the state of a job that has neither ended nor been cancelled.
	StateRunning State = "Running"
	// StateCancelling is the state of a cancelled job of which lots may still be held.
	StateCancelling State = "Cancelling"
	// StateCompleted is the state of a job all of whose items have completed or finally failed.
	StateCompleted State = "Completed"
	// StateCancelled is the state of a cancelled job that has stopped.
	StateCancelled State = "Cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool {
	return s == StateCompleted || s == StateCancelled
}

// Job is a batch job.
type Job struct {
	ID           ID
	Organisation document.OrganisationID
	Service      document.ServiceName
	File         FileID
	Path         string
	// Once reports whether each item may run at most once.
	Once      bool
	State     State
	Items     int
	Lots      int
	Window    string
	Metadata  map[string]string
	Created   time.Time
	Due       time.Time
	Cancelled time.Time
	Ended     time.Time
	// Counts are final once the job has ended.
	Counts Counts
	// RequestHash is the hash of the request's body as it was sent.
	RequestHash document.Hash
	// BodyHash is the hash of the request's decoded body, in which the hash of the items replaces the file's ID. A
	// request with the same idempotency key finds this job if it has the same BodyHash, even if the items were uploaded
	// again.
	BodyHash document.Hash
}

// Counts holds the numbers of finished items.
type Counts struct {
	Completed int
	Failed    int
}

// Active is the row of a job that has not ended, in the partition that all dispatchers read.
type Active struct {
	Job          ID
	Organisation document.OrganisationID
	Service      document.ServiceName
	File         FileID
	Lots         int
	Items        int
	Due          time.Time
	Created      time.Time
	Cancelled    bool
	// Once reports whether each item may run at most once.
	Once bool
}

// LotState is a lot's state. A lot of the input has no row, and so no state, until it is first claimed.
type LotState string

const (
	// LotFree is the state of a lot that has a row and is not held.
	LotFree LotState = "Free"
	// LotClaimed is the state of a lot that a session holds.
	LotClaimed LotState = "Claimed"
	// LotDone is the state of a lot whose results are stored. It is final.
	LotDone LotState = "Done"
)

// Lot is the row of a lot.
type Lot struct {
	ID      LotID
	State   LotState
	Session lease.SessionID
	// Claim counts the claims of the lot. It is part of the names of the lot's objects.
	Claim int
	// Remainder counts how often the items were split off as a remainder. It is zero for a lot of the input.
	Remainder int
	// Hops counts how often the lot was freed for another process because its holder had no usable endpoint for it.
	Hops int
	// Input is the object with the lot's items.
	Input tablestore.ObjectName
	// Checkpoint is the object with the progress of the last save or of earlier claims, or empty.
	Checkpoint tablestore.ObjectName
	// Results and Errors are the objects with the results of the completed and the failed items, or empty.
	Results tablestore.ObjectName
	Errors  tablestore.ObjectName
	Counts  Counts
}

// Item is one line of an input file.
type Item struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// Result is one line of an output or error file.
type Result struct {
	ID       request.ID      `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *ResultResponse `json:"response"`
	Error    *ResultError    `json:"error"`
}

// ResultResponse is the endpoint's answer to an item.
type ResultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  request.ID      `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// ResultError is the reason why an item failed.
type ResultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Failed reports whether the item failed.
func (r Result) Failed() bool {
	return r.Error != nil
}

// Checkpoint is the progress of a lot's items.
type Checkpoint struct {
	// Only lists the indexes, in the input object, of the items of a remainder; nil means all items.
	Only []int
	// Results holds the results of the finished items by their index in the input object.
	Results map[int]Result
	// Partial holds the partial output of unfinished items.
	Partial map[int]request.Saved
	// Attempts counts the failed attempts of unfinished items.
	Attempts map[int]int
	// Avoid lists the endpoints at which an unfinished item has failed.
	Avoid map[int][]endpoint.ID
	// Started has the items whose start was committed. It is used only by jobs whose items may run at most once.
	Started map[int]bool
}

// NewCheckpoint returns empty progress.
func NewCheckpoint() Checkpoint {
	return Checkpoint{
		Results:  map[int]Result{},
		Partial:  map[int]request.Saved{},
		Attempts: map[int]int{},
		Avoid:    map[int][]endpoint.ID{},
		Started:  map[int]bool{},
	}
}

// BaseLot returns the ID of the lot of the input with the given number.
func BaseLot(number int) LotID {
	return LotID(fmt.Sprintf("%08d", number))
}

// RemainderLot returns the ID of the remainder that is split off a lot. It sorts after the lot's ID.
func RemainderLot(lot LotID) LotID {
	return lot + "-1"
}

// InputObject returns the name of the object with a lot of an input file.
func InputObject(file FileID, number int) tablestore.ObjectName {
	return tablestore.ObjectName(fmt.Sprintf("file/%s/%08d", file, number))
}

// ResultObject returns the name of an object that a claim stores. kind distinguishes output, errors and progress, and
// the attempts to store each of them.
func ResultObject(job ID, lot LotID, session lease.SessionID, claim int, kind string) tablestore.ObjectName {
	return tablestore.ObjectName(fmt.Sprintf("result/%s/%s/%d-%s/%s", job, lot, claim, session, kind))
}

// IDFor returns the ID of the job that the organisation creates with the idempotency key.
func IDFor(organisation document.OrganisationID, key string) ID {
	return ID("batch_" + document.HashOf(string(organisation) + "\x00" + key)[:32])
}
