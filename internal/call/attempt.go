package call

import (
	"context"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/tablestore"
)

// State is the state of an attempt as its own gateway reports it.
type State string

const (
	// StateUnknown means that the gateway has no record of the attempt, because the attempt has ended or the gateway
	// was restarted.
	StateUnknown State = "Unknown"
	// StateRunning means that the attempt is running or its answer is being stored.
	StateRunning State = "Running"
	// StateNotRun means that the attempt was not run and never will be.
	StateNotRun State = "NotRun"
)

// maxRememberedNotRun bounds how many attempts are remembered as not run. The oldest are forgotten first and become
// unknown.
const maxRememberedNotRun = 100_000

// attempts holds the states of the attempts of one gateway.
type attempts struct {
	mu     sync.Mutex
	keys   map[tablestore.Key]document.Hash
	states map[request.ID]State
	notRun []request.ID
}

func newAttempts() *attempts {
	return &attempts{
		keys:   map[tablestore.Key]document.Hash{},
		states: map[request.ID]State{},
	}
}

// register registers an attempt as running, unless one with the same key is already running in this gateway.
func (a *attempts) register(key tablestore.Key, hash document.Hash, attempt request.ID) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if running, ok := a.keys[key]; ok {
		if running != hash {
			return ErrKeyReused
		}
		return ErrInProgress
	}
	a.keys[key] = hash
	a.states[attempt] = StateRunning
	return nil
}

// unregister ends an attempt. If notRun is set, the attempt is remembered as not run for other gateways that find its
// record in the table.
func (a *attempts) unregister(key tablestore.Key, attempt request.ID, notRun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.keys, key)
	if !notRun {
		delete(a.states, attempt)
		return
	}
	a.states[attempt] = StateNotRun
	a.notRun = append(a.notRun, attempt)
	if len(a.notRun) > maxRememberedNotRun {
		delete(a.states, a.notRun[0])
		a.notRun = a.notRun[1:]
	}
}

func (a *attempts) forget(attempt request.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.states, attempt)
}

func (a *attempts) state(attempt request.ID) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, ok := a.states[attempt]
	if !ok {
		return StateUnknown
	}
	return state
}

// MethodState is the net/rpc method that returns an attempt's state.
const MethodState = "Call.State"

// queryTimeout bounds the query to a record's owner.
const queryTimeout = time.Second

// Query is the argument of MethodState.
type Query struct {
	Attempt request.ID
}

// Reply is the reply of MethodState.
type Reply struct {
	State State
}

// attemptState queries the owner of the record for the state of its attempt. The state is unknown if the owner can't be
// reached.
func (c *Calls) attemptState(ctx context.Context, rec record) State {
	if rec.Owner.Address == c.self.Address {
		return c.attempts.state(rec.Attempt)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var reply Reply
	err := c.caller.Call(ctx, rec.Owner.Address, MethodState, Query{
		Attempt: rec.Attempt,
	}, &reply)
	if err != nil {
		return StateUnknown
	}
	return reply.State
}

// Service is the net/rpc service that reports the states of attempts to peers, registered as "Call".
type Service struct {
	calls *Calls
}

// NewService returns the service of a gateway's calls.
func NewService(calls *Calls) *Service {
	return &Service{
		calls: calls,
	}
}

// State returns the state of an attempt.
func (s *Service) State(query Query, reply *Reply) error {
	reply.State = s.calls.attempts.state(query.Attempt)
	return nil
}
