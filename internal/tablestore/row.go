// Package tablestore contains the clients of the platform: a table service that speaks DynamoDB's JSON protocol, an
// object store that speaks S3's REST protocol, and a list of VMs.
package tablestore

import "time"

// Version is the version of a row. Each write increments it. Zero means that the row does not exist.
type Version int64

// Key identifies a row.
type Key struct {
	Partition string
	Sort      string
}

// Row is a row as read.
type Row struct {
	Key     Key
	Version Version
	Data    []byte
}

// Condition is the precondition on a row for a write to apply.
type Condition int

const (
	// ConditionVersion requires the row to have exactly Write.Version; version zero requires it to be absent.
	ConditionVersion Condition = iota
	// ConditionNone always holds.
	ConditionNone
)

// Action is what a write does to its row.
type Action int

const (
	// ActionPut stores Data under version Write.Version+1.
	ActionPut Action = iota
	// ActionDelete removes the row.
	ActionDelete
	// ActionCheck checks the condition without changing the row.
	ActionCheck
)

// Write is one row's part of a transaction.
type Write struct {
	Key       Key
	Action    Action
	Condition Condition
	Version   Version
	Data      []byte
	// Expires is when the platform may delete the row. The zero time keeps the row.
	Expires time.Time
}

// Class is the priority class of a write when the budget is short. Classes with smaller numbers, the more
// urgent ones, go first.
type Class int

const (
	// ClassSession is for session rows, which keep claims alive.
	ClassSession Class = iota
	// ClassCommit is for results and acknowledgements.
	ClassCommit
	// ClassClaim is for new claims.
	ClassClaim
	// ClassReport is for writes that can wait.
	ClassReport
	// ClassCount is the number of classes.
	ClassCount
)

// Txn is a set of at most MaxWrites writes that are applied together or not at all.
type Txn struct {
	Class  Class
	Writes []Write
}

// MaxWrites is the maximum number of writes that the table service accepts in one transaction.
const MaxWrites = 100

// MaxRowBytes is the maximum size of the data of one row.
const MaxRowBytes = 350 << 10
