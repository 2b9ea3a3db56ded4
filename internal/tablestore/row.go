// Package tablestore is the client of a DynamoDB-protocol table service, an S3-protocol object store and a VM list.
//
// The table service is spoken to in DynamoDB's JSON protocol and the object store in S3's REST protocol.
package tablestore

import "time"

// Version is the version of a row; it grows by one with each write. Zero means the row does not exist.
type Version int64

// Key names a row.
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

// Condition says what must hold of a row for a write to apply.
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
	// ActionCheck only checks the condition.
	ActionCheck
)

// Write is one row's part of a transaction.
type Write struct {
	Key       Key
	Action    Action
	Condition Condition
	Version   Version
	Data      []byte
	// Expires is when the platform may drop the row; zero keeps it.
	Expires time.Time
}

// Class ranks writes when the budget is short; a lower class goes first.
type Class int

const (
	// ClassSession is for session rows, which keep claims alive.
	ClassSession Class = iota
	// ClassCommit is for results and acknowledgements.
	ClassCommit
	// ClassClaim is for new claims.
	ClassClaim
	// ClassReport is for what may wait.
	ClassReport
	// ClassCount is the number of classes.
	ClassCount
)

// Txn is a set of writes that apply together or not at all. A transaction has at most MaxWrites writes.
type Txn struct {
	Class  Class
	Writes []Write
}

// MaxWrites is the most writes the table service takes in one transaction.
const MaxWrites = 100

// MaxRowBytes is the most data one row holds.
const MaxRowBytes = 350 << 10
