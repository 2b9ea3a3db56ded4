// Package batch keeps batch jobs: accepts them into the store, runs their items in the pool's idle slots, and lists
// each item's result once.
package batch

import (
	"errors"
	"time"

	"rhubarbrudder/internal/store"
)

type (
	// JobID names a batch job; its caller chose it.
	JobID string
	// ItemID names an item of a batch job.
	ItemID string
)

var (
	// ErrNotFound means that there is no such job or item.
	ErrNotFound = errors.New("batch: not found")
	// ErrFull means that the job does not fit the tokens that may wait; nothing of it runs.
	ErrFull = errors.New("batch: too many tokens waiting")
	// ErrNotAccepted means that the job was not accepted; nothing of it runs.
	ErrNotAccepted = errors.New("batch: not accepted")
	// ErrUncertain means that the job may have been accepted.
	ErrUncertain = errors.New("batch: outcome unknown")
	// ErrUnavailable means that the store can't be read now.
	ErrUnavailable = errors.New("batch: store unavailable")
	// errLost means that this VM does not own the job any more.
	errLost = errors.New("batch: job lost")
)

// Item is one request of a job.
type Item struct {
	ID     ItemID
	Path   string
	Header map[string]string
	Body   []byte
	// Tokens are the tokens of the prompt and the output at most.
	Tokens int64
	// OutputTokens are the tokens of the output at most, or zero.
	OutputTokens int64
	// LengthHint is the caller's estimate of the output's tokens, or zero.
	LengthHint int64
}

// Submission is a job as its caller hands it in.
type Submission struct {
	ID    JobID
	Host  string
	Path  string
	Items []Item
}

// State is how an item ended.
type State string

const (
	// StateSucceeded items have their whole output.
	StateSucceeded State = "Succeeded"
	// StateDead items were given up.
	StateDead State = "Dead"
)

// Result is the end of an item.
type Result struct {
	Item   ItemID
	State  State
	Output string
}

// Listing is a part of a job's results, in their order.
type Listing struct {
	Total   int
	Results []Result
}

// manifest is what never changes of a job.
type manifest struct {
	Host      string
	Path      string
	Submitted store.Clock
	// Window and Abandon count from Submitted.
	Window   time.Duration
	Abandon  time.Duration
	Attempts int
	Items    []manifestItem
	// Chunks is the number of rows that hold the items; zero if an object does.
	Chunks int
}

type manifestItem struct {
	ID     ItemID
	Tokens int64
}

// claim is the row of a job that is not complete. Every write to the job expects its revision, so that only its newest
// owner can write.
type claim struct {
	Owner       string
	Incarnation string
	Number      int
	// Results is how many results are listed, Tokens the tokens of the items without one.
	Results int
	Tokens  int64
}
