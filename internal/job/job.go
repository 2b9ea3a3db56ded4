// Package job holds batch jobs, their lots and items, and keeps them in the platform.
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

// ID names a job. It comes from the organisation and the idempotency key, so that a resend finds the same job.
type ID string

// FileID names an input file.
type FileID string

// LotID names a lot within its job; ids sort in the order of the input.
type LotID string

// File is an input file, kept as lots in the object store.
type File struct {
	ID           FileID
	Organisation document.OrganisationID
	Name         string
	Purpose      string
	Bytes        int64
	Items        int
	Lots         int
	// Path is the path that every item names.
	Path string
	// Model is the model that every item names; it is empty for plain services.
	Model   document.ModelName
	Created time.Time
	// Hash is the hash of the items, so that a resend that uploads them again is known.
	Hash document.Hash
	// Deleted is when the organisation deleted the file, or zero.
	Deleted time.Time
}

// State is a job's state.
type State string

const (
	// StateRunning is the state of a job whose items run or will run.
	StateRunning State = "Running"
	// StateCancelling is the state of a cancelled job with lots still held.
	StateCancelling State = "Cancelling"
	// StateCompleted is the state of a job whose every item completed or failed for good.
	StateCompleted State = "Completed"
	// StateCancelled is the state of a cancelled job that has stopped.
	StateCancelled State = "Cancelled"
)

// Ended reports whether nothing of the job runs any more.
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
	// Once says that the items may run at most once.
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
	// RequestHash is the hash of the request's body, to know a resend by.
	RequestHash document.Hash
	// BodyHash is the hash of the request that made the job.
	BodyHash document.Hash
}

// Counts counts a job's items.
type Counts struct {
	Completed int
	Failed    int
}

// Active is the row of a job that has not ended, in the partition that dispatchers read.
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
	// Once says that the items may run at most once.
	Once bool
}

// LotState is a lot's state; a lot that nobody claimed yet has no row.
type LotState string

const (
	// LotFree is the state of a remainder that nobody holds.
	LotFree LotState = "Free"
	// LotClaimed is the state of a lot that a session holds.
	LotClaimed LotState = "Claimed"
	// LotDone is the state of a lot whose results are stored; it never changes again.
	LotDone LotState = "Done"
)

// Lot is the row of a lot.
type Lot struct {
	ID      LotID
	State   LotState
	Session lease.SessionID
	// Claim counts the claims of the lot and is part of its objects' names.
	Claim int
	// Remainder is zero for a lot of the input, and counts how often the items were split off as a remainder.
	Remainder int
	// Hops counts how often the lot was handed on because its holder had no endpoint for it.
	Hops int
	// Input is the object with the lot's items.
	Input tablestore.ObjectName
	// Checkpoint is the object with the progress of earlier claims, or empty.
	Checkpoint tablestore.ObjectName
	// Results and Errors are the objects with the finished items, or empty.
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

// ResultResponse is an item's answer.
type ResultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  request.ID      `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// ResultError says why an item failed.
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
	// Only lists the items of the input that belong to a remainder; nil means all.
	Only []int
	// Results holds the finished items by their index in the lot.
	Results map[int]Result
	// Partial holds what unfinished items have generated.
	Partial map[int]request.Saved
	// Attempts counts the failed attempts of unfinished items.
	Attempts map[int]int
	// Avoid lists the endpoints at which an unfinished item failed.
	Avoid map[int][]endpoint.ID
	// Started lists the items, of a job that runs them at most once, whose start was committed.
	Started map[int]bool
}

// NewCheckpoint returns the progress of a lot that nobody worked on.
func NewCheckpoint() Checkpoint {
	return Checkpoint{
		Results:  map[int]Result{},
		Partial:  map[int]request.Saved{},
		Attempts: map[int]int{},
		Avoid:    map[int][]endpoint.ID{},
		Started:  map[int]bool{},
	}
}

// BaseLot returns the id of the lot with the number in its input file.
func BaseLot(number int) LotID {
	return LotID(fmt.Sprintf("%08d", number))
}

// RemainderLot returns the id of the remainder that is split off a lot; it sorts behind the lot.
func RemainderLot(lot LotID) LotID {
	return lot + "-1"
}

// InputObject returns the object of a lot of an input file.
func InputObject(file FileID, number int) tablestore.ObjectName {
	return tablestore.ObjectName(fmt.Sprintf("file/%s/%08d", file, number))
}

// ResultObject returns the object of a claim's results; kind tells output, errors and progress, and attempts, apart.
func ResultObject(job ID, lot LotID, session lease.SessionID, claim int, kind string) tablestore.ObjectName {
	return tablestore.ObjectName(fmt.Sprintf("result/%s/%s/%d-%s/%s", job, lot, claim, session, kind))
}

// IDFor returns the id of the job that the organisation makes with the idempotency key.
func IDFor(organisation document.OrganisationID, key string) ID {
	return ID("batch_" + document.HashOf(string(organisation) + "\x00" + key)[:32])
}
