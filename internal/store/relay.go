package store

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"
)

// Kinds of RelayError.
const (
	relayConflict    = "Conflict"
	relayUnavailable = "Unavailable"
	relayUnknown     = "Unknown"
	relayNotFound    = "NotFound"
	relayHistoryGone = "HistoryGone"
	relayInvalid     = "Invalid"
)

// relayOutcomes maps names to errors, as errors don't keep their identity on their way between VMs.
var relayOutcomes = map[string]error{
	relayConflict:    ErrConflict,
	relayUnavailable: ErrUnavailable,
	relayUnknown:     ErrUnknown,
	relayNotFound:    ErrNotFound,
	relayHistoryGone: ErrHistoryGone,
	relayInvalid:     ErrInvalid,
}

// RelayArgs is a call that another VM makes for this one; one of the fields is set.
type RelayArgs struct {
	Commit     *Transaction
	Read       *Range
	PutName    string
	PutData    []byte
	ObjectName string
	// Within is how long the call may take.
	Within time.Duration
}

// RelayReply is the store's answer.
type RelayReply struct {
	Commit Commit
	Page   Page
	Object []byte
	// Failure names the outcome, empty for success; Detail says more.
	Failure string
	Detail  string
}

// NotRelayed is the reply of a VM that can't make the call.
func NotRelayed() RelayReply {
	return RelayReply{
		Failure: relayUnavailable,
		Detail:  "not relayed",
	}
}

// Serve makes the call at the store.
func (a RelayArgs) Serve(ctx context.Context, s Store) RelayReply {
	ctx, cancel := context.WithTimeout(ctx, a.Within)
	defer cancel()
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
	reply.Failure = failureOf(err)
	return reply
}

// failureOf names the outcome of a call; an error that says nothing leaves it unknown.
func failureOf(err error) string {
	if errors.Is(err, ErrUnknown) {
		return relayUnknown
	}
	for name, outcome := range relayOutcomes {
		if errors.Is(err, outcome) {
			return name
		}
	}
	return relayUnknown
}

// Err returns the failure as an error of this package.
func (r RelayReply) Err() error {
	if r.Failure == "" {
		return nil
	}
	outcome, known := relayOutcomes[r.Failure]
	if !known {
		outcome = ErrUnknown
	}
	return errors.Join(outcome, errors.New(r.Detail))
}

// Peers makes calls at the store from other VMs. ErrUnavailable means that no VM made the call, ErrUnknown that one may
// have.
type Peers interface {
	Relay(ctx context.Context, args RelayArgs) (RelayReply, error)
}

const (
	// directTimeout is how long a call may take before it is tried from another VM; a store that is well answers
	// in some ten milliseconds, a slow one in several hundred.
	directTimeout = 900 * time.Millisecond
	// directRest is for how long the store is asked through other VMs after it failed to answer this one.
	directRest = time.Second
)

// Relay is a store that is asked through other VMs while it does not answer this one.
type Relay struct {
	direct Store
	peers  Peers
	log    *slog.Logger
	mu     sync.Mutex
	restTo time.Time
}

// NewRelay returns a store that is reached directly or through peers.
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

// Changes returns changes as seen from this VM alone.
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

// DropObject removes an object.
func (r *Relay) DropObject(ctx context.Context, name string) error {
	return r.direct.DropObject(ctx, name)
}

// call makes a call directly unless the store did not answer a moment ago, and otherwise through another VM. A call whose
// outcome is unknown is not made again: that is for its caller to decide.
func (r *Relay) call(ctx context.Context, args RelayArgs) (RelayReply, error) {
	args.Within = directTimeout
	if deadline, ok := ctx.Deadline(); ok {
		args.Within = min(args.Within, time.Until(deadline))
	}
	if args.Commit == nil {
		// A read that gets no answer can be made again; time is kept for that.
		args.Within /= 2
	}
	if r.rests() {
		if reply, err := r.peers.Relay(ctx, args); err == nil {
			return reply, reply.Err()
		} else if errors.Is(err, ErrUnknown) {
			return reply, err
		}
	}
	reply := args.Serve(ctx, r.direct)
	err := reply.Err()
	if reply.Failure != relayUnavailable && reply.Failure != relayUnknown {
		r.answered()
		return reply, err
	}
	if r.rest() {
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

func (r *Relay) rests() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.restTo)
}

// rest avoids the direct way for a while and reports whether that is news.
func (r *Relay) rest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := r.restTo.IsZero()
	r.restTo = time.Now().Add(directRest)
	return news
}

func (r *Relay) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.restTo.IsZero() && time.Now().After(r.restTo) {
		r.restTo = time.Time{}
		r.log.Info("store answers directly again")
	}
}
