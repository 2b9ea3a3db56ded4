// Package call runs calls that may not be repeated at most once.
//
// A call's record is put, if absent, before anything is sent. Only the attempt that the record names may run. A
// record without an answer whose attempt is not running is never run again, unless the attempt's own gateway
// says that it did not run.
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

// Table is what calls need of the table service.
type Table interface {
	Get(ctx context.Context, key tablestore.Key) (tablestore.Row, error)
	Commit(ctx context.Context, txn tablestore.Txn) error
}

// Objects keeps large answers.
type Objects interface {
	Put(ctx context.Context, name tablestore.ObjectName, data []byte) error
	Get(ctx context.Context, name tablestore.ObjectName) ([]byte, error)
}

// Caller calls a method of a peer.
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

// New returns the calls of the gateway self.
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

// Claim is the right to run a call once. It ends with exactly one of Finish, Release and Abandon.
type Claim struct {
	calls  *Calls
	key    tablestore.Key
	stored stored
}

// mostRounds bounds how often a record that others keep changing is read.
const mostRounds = 5

// Begin returns the claim to run the call, or the answer of an earlier request with the same name.
// Whatever the error, this attempt was not run.
func (c *Calls) Begin(ctx context.Context, name Name, hash document.Hash, attempt request.ID) (*Claim, *Answer, error) {
	key := name.row()
	if err := c.attempts.enter(key, hash, attempt); err != nil {
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
		c.attempts.leave(key, attempt, err != nil && errors.Is(err, ErrUnavailable))
	}
	return claim, answer, err
}

func (c *Calls) begin(ctx context.Context, key tablestore.Key, own record) (*Claim, *Answer, error) {
	version := tablestore.Version(0)
	for range mostRounds {
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
		answer, free, err := c.earlier(ctx, key, own.Request)
		if answer != nil || err != nil {
			return nil, answer, err
		}
		version = free
	}
	return nil, nil, ErrInProgress
}

const (
	// firstPause and longestPause space the tries to settle a write of unknown outcome.
	firstPause   = 20 * time.Millisecond
	longestPause = time.Second
	// settleTimeout bounds how long a caller waits until its record is known to be written.
	settleTimeout = 10 * time.Second
)

// put writes the record over the version. A write of unknown outcome is sent again: the same attempt can only be
// written once, and a conflict is settled by reading back whose attempt the record names.
func (c *Calls) put(ctx context.Context, key tablestore.Key, own record, version tablestore.Version) (stored, error) {
	write, err := own.write(key, version)
	if err != nil {
		return stored{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		err := c.table.Commit(ctx, tablestore.Txn{
			Class:  tablestore.ClassCommit,
			Writes: []tablestore.Write{write},
		})
		switch {
		case err == nil:
			return stored{
				record:  own,
				version: version + 1,
			}, nil
		case errors.Is(err, tablestore.ErrConflict):
			return c.readBack(ctx, key, own)
		case settled(err):
			return stored{}, storeError(err)
		}
		if !wait(ctx, pause) {
			return stored{}, storeError(err)
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

// readBack tells whether the record in the table is the own one after all.
func (c *Calls) readBack(ctx context.Context, key tablestore.Key, own record) (stored, error) {
	row, err := c.table.Get(ctx, key)
	if errors.Is(err, tablestore.ErrNotFound) {
		return stored{}, errTaken
	}
	if err != nil {
		return stored{}, storeError(err)
	}
	found, err := decode(row)
	if err != nil {
		return stored{}, err
	}
	same := found.record.Attempt == own.Attempt && (found.record.Answer != nil) == (own.Answer != nil) && found.record.Released == own.Released
	if !same {
		return stored{}, errTaken
	}
	return found, nil
}

// earlier looks at the record that is in the way. It returns its answer, or the version that may be written over
// because the attempt did not run, or why neither can be had.
func (c *Calls) earlier(ctx context.Context, key tablestore.Key, hash document.Hash) (*Answer, tablestore.Version, error) {
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
	state := c.ask(ctx, found.record)
	if state == StateRunning {
		return nil, 0, ErrInProgress
	}
	if state == StateNotRun {
		return nil, found.version, nil
	}
	return c.lost(ctx, key, found)
}

// lost looks once more at a record whose attempt nobody runs: it may have ended since it was read.
func (c *Calls) lost(ctx context.Context, key tablestore.Key, before stored) (*Answer, tablestore.Version, error) {
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

// read returns the record, or one of version zero if there is none.
func (c *Calls) read(ctx context.Context, key tablestore.Key) (stored, error) {
	row, err := c.table.Get(ctx, key)
	if errors.Is(err, tablestore.ErrNotFound) {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, storeError(err)
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
