// Package call guarantees that non-idempotent calls run at most once per idempotency key.
//
// A record of the call is stored, by a conditional write, before anything is sent. Only the attempt that the record
// names may run. If a record has no answer and its attempt is not running, the call is not run again, unless the
// gateway of that attempt reports that the attempt did not run.
package call

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/tablestore"
)

// Table is the part of the table service that calls use.
type Table interface {
	Get(ctx context.Context, key tablestore.Key) (tablestore.Row, error)
	Commit(ctx context.Context, txn tablestore.Txn) error
}

// Objects stores the bodies of large answers.
type Objects interface {
	Put(ctx context.Context, name tablestore.ObjectName, data []byte) error
	Get(ctx context.Context, name tablestore.ObjectName) ([]byte, error)
}

// Caller calls a net/rpc method of a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Calls begins and ends the calls of one gateway.
type Calls struct {
	table    Table
	objects  Objects
	caller   Caller
	self     Owner
	log      *slog.Logger
	attempts *attempts
	storing  sync.WaitGroup
}

// New returns the calls of the gateway self, which owns the records that it writes.
func New(table Table, objects Objects, caller Caller, self Owner, log *slog.Logger) *Calls {
	return &Calls{
		table:    table,
		objects:  objects,
		caller:   caller,
		self:     self,
		log:      log,
		attempts: newAttempts(),
	}
}

// Claim is the right to run a call once. Its holder must call exactly one of Finish, Release and Abandon.
type Claim struct {
	calls  *Calls
	key    tablestore.Key
	stored versionedRecord
}

// maxRounds bounds how often Begin retries while other attempts change the record.
const maxRounds = 5

// Begin returns a claim to run the call, or the answer of an earlier request with the same name. If it returns an
// error, the attempt has not run and must not run.
func (c *Calls) Begin(ctx context.Context, name Name, hash document.Hash, attempt request.ID) (*Claim, *Answer, error) {
	key := name.rowKey()
	if err := c.attempts.register(key, hash, attempt); err != nil {
		return nil, nil, err
	}
	own := record{
		Organisation: name.Organisation,
		Service:      name.Service,
		Request:      hash,
		Attempt:      attempt,
		Owner:        c.self,
		Started:      time.Now().UTC(),
	}
	claim, answer, err := c.begin(ctx, key, own)
	if claim == nil {
		// Only after ErrUnavailable may a record of this attempt have reached the table, because the outcome of its
		// write may be unknown. Otherwise the record in the table is that of another attempt.
		c.attempts.unregister(key, attempt, err != nil && errors.Is(err, ErrUnavailable))
	}
	return claim, answer, err
}

func (c *Calls) begin(ctx context.Context, key tablestore.Key, own record) (*Claim, *Answer, error) {
	version := tablestore.Version(0)
	for range maxRounds {
		written, err := c.put(ctx, key, own, version)
		if err == nil {
			return &Claim{
				calls:  c,
				key:    key,
				stored: written,
			}, nil, nil
		}
		if !errors.Is(err, errTaken) {
			return nil, nil, err
		}
		answer, replaceable, err := c.checkExisting(ctx, key, own.Request)
		if answer != nil || err != nil {
			return nil, answer, err
		}
		version = replaceable
	}
	return nil, nil, ErrInProgress
}

const (
	// minPause and maxPause bound the exponential backoff between attempts to write a record.
	minPause = 20 * time.Millisecond
	maxPause = time.Second
	// settleTimeout bounds how long a write is retried while its outcome is unknown.
	settleTimeout = 10 * time.Second
)

// put replaces the record if its row has the given version. A write whose outcome is unknown is sent again, which is
// safe because the version lets it take effect only once. After a conflict, the record is read back to see whether this
// attempt's write took effect.
func (c *Calls) put(ctx context.Context, key tablestore.Key, own record, version tablestore.Version) (versionedRecord, error) {
	write, err := own.toWrite(key, version)
	if err != nil {
		return versionedRecord{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		err := c.table.Commit(ctx, tablestore.Txn{
			Class:  tablestore.ClassCommit,
			Writes: []tablestore.Write{write},
		})
		switch {
		case err == nil:
			return versionedRecord{
				record:  own,
				version: version + 1,
			}, nil
		case errors.Is(err, tablestore.ErrConflict):
			return c.readBack(ctx, key, own)
		case isNotApplied(err):
			return versionedRecord{}, storeError(err)
		}
		if !wait(ctx, pause) {
			return versionedRecord{}, storeError(err)
		}
	}
}

func wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// readBack returns the stored record if it is the one that this attempt wrote, and errTaken otherwise.
func (c *Calls) readBack(ctx context.Context, key tablestore.Key, own record) (versionedRecord, error) {
	row, err := c.table.Get(ctx, key)
	if errors.Is(err, tablestore.ErrNotFound) {
		return versionedRecord{}, errTaken
	}
	if err != nil {
		return versionedRecord{}, storeError(err)
	}
	found, err := decode(row)
	if err != nil {
		return versionedRecord{}, err
	}
	same := found.record.Attempt == own.Attempt && (found.record.Answer != nil) == (own.Answer != nil) && found.record.Released == own.Released
	if !same {
		return versionedRecord{}, errTaken
	}
	return found, nil
}

// checkExisting examines the existing record of an earlier attempt. It returns the record's answer; or the version that
// may be overwritten, because the earlier attempt did not run or there is no record any more; or an error if there is
// neither.
func (c *Calls) checkExisting(ctx context.Context, key tablestore.Key, hash document.Hash) (*Answer, tablestore.Version, error) {
	found, err := c.read(ctx, key)
	if err != nil || found.version == 0 {
		return nil, 0, err
	}
	if found.record.Released {
		return nil, found.version, nil
	}
	if found.record.Request != hash {
		return nil, 0, ErrKeyReused
	}
	if found.record.Answer != nil {
		answer, err := c.answer(ctx, found.record)
		return answer, 0, err
	}
	state := c.attemptState(ctx, found.record)
	if state == StateRunning {
		return nil, 0, ErrInProgress
	}
	if state == StateNotRun {
		return nil, found.version, nil
	}
	return c.recheck(ctx, key, found)
}

// recheck reads a record a second time if its attempt is not known to be running, since the attempt may have stored its
// answer after the first read.
func (c *Calls) recheck(ctx context.Context, key tablestore.Key, before versionedRecord) (*Answer, tablestore.Version, error) {
	found, err := c.read(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	if found.version == before.version {
		return nil, 0, ErrOutcomeUnknown
	}
	if found.record.Answer != nil && found.record.Attempt == before.record.Attempt {
		answer, err := c.answer(ctx, found.record)
		return answer, 0, err
	}
	return nil, 0, ErrInProgress
}

// read returns the record with its version, or a zero value if there is none.
func (c *Calls) read(ctx context.Context, key tablestore.Key) (versionedRecord, error) {
	row, err := c.table.Get(ctx, key)
	if errors.Is(err, tablestore.ErrNotFound) {
		return versionedRecord{}, nil
	}
	if err != nil {
		return versionedRecord{}, storeError(err)
	}
	return decode(row)
}

func (c *Calls) answer(ctx context.Context, from record) (*Answer, error) {
	answer := *from.Answer
	if from.Object == "" {
		return &answer, nil
	}
	body, err := c.objects.Get(ctx, from.Object)
	if err != nil {
		return nil, storeError(err)
	}
	answer.Body = body
	return &answer, nil
}
