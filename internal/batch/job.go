// Package batch accepts batch jobs into the store, runs their items in idle slots of the service's pool, and commits
// each item's result exactly once.
//
// Each open job has one owner, the VM that runs it. The owner is recorded in a row of the store, the job's claim. Every
// write to the job is conditional on the claim being unchanged, which fences off former owners. A job is complete when
// all items have a result, and ended if a caller stopped it before it was complete. A job without a living owner is an
// orphan; a supervisor assigns it to another VM, which adopts it.
package batch

import (
	"errors"
	"time"

	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

type (
	// JobID names a batch job; the caller chooses it.
	JobID string
	// ItemID names an item of a batch job.
	ItemID string
)

var (
	// ErrNotFound means that there is no such job or item.
	ErrNotFound = errors.New("batch: not found")
	// ErrFull means that the job would exceed the cap on the tokens of open jobs; none of its items run.
	ErrFull = errors.New("batch: too many tokens waiting")
	// ErrNotAccepted means that the job was not accepted; none of its items run.
	ErrNotAccepted = errors.New("batch: not accepted")
	// ErrUncertain means that the job may have been accepted.
	ErrUncertain = errors.New("batch: outcome unknown")
	// ErrKeyNeeded means that the job belongs to an organisation and the caller has no key that is known.
	ErrKeyNeeded = errors.New("batch: job needs the key of an organisation")
	// ErrUnavailable means that the store cannot be read at present.
	ErrUnavailable = errors.New("batch: store unavailable")
	// errNotOwner means that this VM does not own the job, no longer owns it, or can't become its owner. Its text is sent
	// to other VMs.
	errNotOwner = errors.New("batch: job lost")
	// errRetiring means that this VM is retiring and adopts no jobs. Its text is sent to other VMs.
	errRetiring = errors.New("batch: vm is retiring")
)

// Item is one request of a job.
type Item struct {
	ID     ItemID
	Path   string
	Header map[string]string
	Body   []byte
	// Tokens is the maximum number of tokens of prompt and output together.
	Tokens int64
	// OutputTokens is the maximum number of output tokens, or zero if unknown.
	OutputTokens int64
	// LengthHint is the caller's estimate of the number of output tokens, or zero.
	LengthHint int64
}

// Submission is a job as submitted by its caller.
type Submission struct {
	ID    JobID
	Host  string
	Path  string
	Items []Item
	// Organisation is on whose behalf the job was submitted. It is empty if the deployment has no organisations.
	Organisation route.OrganisationID
}

// State is the final state of an item.
type State string

const (
	// StateSucceeded items have their complete output.
	StateSucceeded State = "Succeeded"
	// StateDead items are not run again; their output may be incomplete.
	StateDead State = "Dead"
)

// Result is the final state and output of an item.
type Result struct {
	Item   ItemID
	State  State
	Output string
}

// Listing is a page of a job's results, in the order in which they were committed. Total is the job's number of items.
type Listing struct {
	Total   int
	Results []Result
}

// manifest is the immutable part of a job.
type manifest struct {
	Host      string
	Path      string
	Submitted store.Clock
	// Window is the time until the job is due, and Abandon the time after which items without a result are dead. Both
	// count from Submitted.
	Window  time.Duration
	Abandon time.Duration
	// Attempts is that of the route when the job was submitted. It counts if the job has no batch route any more.
	Attempts int
	Items    []manifestItem
	// Organisation is that of the submission. If it is empty, everyone may make calls about the job.
	Organisation route.OrganisationID `json:",omitempty"`
	// Chunks is the number of rows that hold the items; zero means that an object holds them.
	Chunks int
	// cached is when this VM put the manifest into its cache.
	cached time.Time
}

type manifestItem struct {
	ID     ItemID
	Tokens int64
}

// claim is the row of an open job, one that is neither complete nor ended. Every write to the job expects the claim's
// revision, so that only the newest owner can write.
type claim struct {
	// Owner is the name of the VM that runs the job, Incarnation that of its process.
	Owner       string
	Incarnation string
	// Number increases with each change of the owner. It distinguishes repeated ownership by one process.
	Number int
	// Results is the number of committed results, Tokens the sum of the tokens of the items without one.
	Results int
	Tokens  int64
	// Attempts holds the attempts of items without a result at which endpoints failed or crashed. It is in the store because
	// their number is limited, whichever VMs run the job.
	Attempts map[ItemID]attempts `json:",omitempty"`
}

// attempts counts what became of the attempts of an item, as in Progress.
type attempts struct {
	Failures int `json:",omitempty"`
	Crashes  int `json:",omitempty"`
}
