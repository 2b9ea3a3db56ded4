package store

import (
	"context"
	"encoding/base64"
	"errors"
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/progress"
)

// Values of RelayReply.Failure.
const (
	relayConflict    = "Conflict"
	relayUnavailable = "Unavailable"
	relayUnknown     = "Unknown"
	relayNotFound    = "NotFound"
	relayHistoryGone = "HistoryGone"
	relayInvalid     = "Invalid"
)

// relayErrors maps failure names to errors, because net/rpc does not preserve the identity of errors.
var relayErrors = map[string]error{
	relayConflict:    ErrConflict,
	relayUnavailable: ErrUnavailable,
	relayUnknown:     ErrUnknown,
	relayNotFound:    ErrNotFound,
	relayHistoryGone: ErrHistoryGone,
	relayInvalid:     ErrInvalid,
}

// RelayArgs is a store call that one VM asks another VM to make. Exactly one of Commit, Read, PutName (with PutData) and
// ObjectName is set.
type RelayArgs struct {
	Commit     *Transaction
	Read       *Range
	PutName    string
	PutData    []byte
	ObjectName string
	// Within is how long the call may go on without progress.
	Within time.Duration
}

// size returns about how many bytes the call sends to the store.
func (a RelayArgs) size() int {
	bytes := len(a.PutData)
	if a.Commit != nil {
		for _, put := range a.Commit.Put {
			bytes += base64.StdEncoding.EncodedLen(len(put.Value))
		}
	}
	return bytes
}

// RelayReply is the store's answer.
type RelayReply struct {
	Commit Commit
	Page   Page
	Object []byte
	// Failure names the error of the call and is empty on success; Detail is the error's text.
	Failure string
	Detail  string
	// Moved means that the call has made progress before it failed.
	Moved bool
}

// NotRelayed returns the reply of a VM that does not make the call because it cannot reach the store either.
func NotRelayed() RelayReply {
	return RelayReply{
		Failure: relayUnavailable,
		Detail:  "not relayed",
	}
}

// isRead reports whether the call sends nothing to be stored.
func (a RelayArgs) isRead() bool {
	return a.Read != nil || a.ObjectName != ""
}

// limit returns how long the call may make no progress.
func (a RelayArgs) limit(ctx context.Context) time.Duration {
	limit := directTimeout + time.Duration(a.size())*time.Second/leastRate
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline))
	}
	if a.Commit == nil {
		// A call without an answer is repeated through another VM, unless it is a commit; half of the time is reserved
		// for that.
		limit /= 2
	}
	return limit
}

// Serve makes the call to the store. It ends the call when that has made no progress for a.Within, or after maxCallTime.
func (a RelayArgs) Serve(ctx context.Context, s Store) RelayReply {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	ctx, stop := progress.WithLimit(ctx, a.Within)
	defer stop()
	var reply RelayReply
	var err error
	switch {
	case a.Commit != nil:
		reply.Commit, err = s.Commit(ctx, *a.Commit)
	case a.Read != nil:
		reply.Page, err = s.Read(ctx, *a.Read)
	case a.PutName != "":
		err = s.PutObject(ctx, a.PutName, a.PutData)
	default:
		reply.Object, err = s.Object(ctx, a.ObjectName)
	}
	if err == nil {
		return reply
	}
	reply.Detail = err.Error()
	reply.Failure = failureName(err)
	reply.Moved = progress.Made(ctx)
	return reply
}

// failureName returns the failure name of an error; the outcome of a call with any other error is unknown.
func failureName(err error) string {
	if errors.Is(err, ErrUnknown) {
		return relayUnknown
	}
	for name, sentinel := range relayErrors {
		if errors.Is(err, sentinel) {
			return name
		}
	}
	return relayUnknown
}

// Err returns the failure as one of this package's errors, joined with its details.
func (r RelayReply) Err() error {
	if r.Failure == "" {
		return nil
	}
	sentinel, known := relayErrors[r.Failure]
	if !known {
		sentinel = ErrUnknown
	}
	return errors.Join(sentinel, errors.New(r.Detail))
}

// Peers makes calls to the store through other VMs. ErrUnavailable means that no VM made the call, ErrUnknown that one
// may have made it.
type Peers interface {
	Relay(ctx context.Context, args RelayArgs) (RelayReply, error)
}

const (
	// directTimeout is how long a direct commit may make no progress. Other calls may be repeated through another VM and get half
	// of it. A healthy store answers within about 10 ms, a slow one within several hundred.
	directTimeout = 900 * time.Millisecond
	// leastRate is the bandwidth in bytes a second that a call has at least for what it sends, which may all lie in the buffers of
	// the connection when the last progress is noted.
	leastRate = 512 << 10
	// maxCallTime bounds a call that makes progress all the time.
	maxCallTime = 30 * time.Second
	// directPause is how long calls are tried through other VMs first, after a direct call has failed.
	directPause = time.Second
)

// Relay is a Store that makes its calls through other VMs while the underlying store does not answer this VM.
type Relay struct {
	direct            Store
	peers             Peers
	log               *slog.Logger
	mu                sync.Mutex
	directPausedUntil time.Time
}

// NewRelay returns a Relay that reaches the store directly or through peers.
func NewRelay(direct Store, peers Peers, log *slog.Logger) *Relay {
	return &Relay{
		direct: direct,
		peers:  peers,
		log:    log,
	}
}

// Commit applies a transaction.
func (r *Relay) Commit(ctx context.Context, txn Transaction) (Commit, error) {
	reply, err := r.call(ctx, RelayArgs{
		Commit: &txn,
	})
	return reply.Commit, err
}

// Read returns rows.
func (r *Relay) Read(ctx context.Context, rows Range) (Page, error) {
	reply, err := r.call(ctx, RelayArgs{
		Read: &rows,
	})
	return reply.Page, err
}

// Changes returns changes; it always calls the store directly.
func (r *Relay) Changes(ctx context.Context, table Table, after Revision, wait time.Duration) (Page, error) {
	return r.direct.Changes(ctx, table, after, wait)
}

// PutObject stores an object.
func (r *Relay) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := r.call(ctx, RelayArgs{
		PutName: name,
		PutData: data,
	})
	return err
}

// Object returns an object.
func (r *Relay) Object(ctx context.Context, name string) ([]byte, error) {
	reply, err := r.call(ctx, RelayArgs{
		ObjectName: name,
	})
	return reply.Object, err
}

// DropObject removes an object; it always calls the store directly.
func (r *Relay) DropObject(ctx context.Context, name string) error {
	return r.direct.DropObject(ctx, name)
}

// call makes a call directly and, if that fails, through another VM. A call fails when it makes no progress for a time, and lasts as
// long as it makes some: how long that is depends on its size and on what else the VM's link carries. For directPause after a failure
// it tries another VM first. A commit whose outcome is unknown is not repeated; its caller decides about that.
func (r *Relay) call(ctx context.Context, args RelayArgs) (RelayReply, error) {
	args.Within = args.limit(ctx)
	if r.directPaused() {
		if reply, err := r.peers.Relay(ctx, args); err == nil {
			return reply, reply.Err()
		} else if errors.Is(err, ErrUnknown) {
			return reply, err
		}
	}
	reply := args.Serve(ctx, r.direct)
	err := reply.Err()
	if reply.Failure != relayUnavailable && reply.Failure != relayUnknown {
		r.markAnswered()
		return reply, err
	}
	if ctx.Err() != nil && args.isRead() && reply.Moved {
		// The store answers, over a link that carries much else.
		return reply, err
	}
	if r.pauseDirect() {
		// This is logged once, when the period begins; markAnswered logs its end.
		r.log.Warn("store asked through peers", "err", err)
	}
	if args.Commit != nil && reply.Failure == relayUnknown || ctx.Err() != nil {
		return reply, err
	}
	relayed, relayErr := r.peers.Relay(ctx, args)
	if errors.Is(relayErr, ErrUnavailable) {
		return reply, err
	}
	if relayErr != nil {
		return relayed, relayErr
	}
	return relayed, relayed.Err()
}

// directPaused reports whether calls go through peers first at present.
func (r *Relay) directPaused() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.directPausedUntil)
}

// pauseDirect makes calls go through peers first for directPause. It reports whether they went directly before.
func (r *Relay) pauseDirect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.directPausedUntil.IsZero()
	r.directPausedUntil = time.Now().Add(directPause)
	return first
}

// markAnswered makes calls go directly again if directPause has passed since the last failure.
func (r *Relay) markAnswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.directPausedUntil.IsZero() && time.Now().After(r.directPausedUntil) {
		r.directPausedUntil = time.Time{}
		r.log.Info("store answers directly again")
	}
}
