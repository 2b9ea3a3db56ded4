package call

import (
	"context"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/tablestore"
)

// State is what a gateway knows of an attempt of its own.
type State string

const (
	// StateUnknown means the gateway does not know the attempt: it has ended, or was another incarnation's.
	StateUnknown State = "Unknown"
	// StateRunning means the attempt is running or its answer is being stored.
	StateRunning State = "Running"
	// StateNotRun means the attempt was not run and never will be.
	StateNotRun State = "NotRun"
)

// mostNotRun bounds how many attempts are remembered as not run; an attempt forgotten is unknown.
const mostNotRun = 100_000

// attempts are the attempts of one gateway.
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

// enter begins an attempt, unless one with the same key is running here.
func (a *attempts) enter(key tablestore.Key, hash document.Hash, attempt request.ID) error {
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

// leave ends an attempt; notRun says that it was not run, which is remembered for those who find its record.
func (a *attempts) leave(key tablestore.Key, attempt request.ID, notRun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.keys, key)
	if !notRun {
		delete(a.states, attempt)
		return
	}
	a.states[attempt] = StateNotRun
	a.notRun = append(a.notRun, attempt)
	if len(a.notRun) > mostNotRun {
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

// MethodState is the name of the method that tells an attempt's state.
const MethodState = "Call.State"

// askTimeout bounds the question to a record's owner.
const askTimeout = time.Second

// Query asks for the state of an attempt.
type Query struct {
	Attempt request.ID
}

// Reply is the answer to a query.
type Reply struct {
	State State
}

// ask asks the gateway that runs the attempt. One that can't be reached leaves the state unknown.
func (c *Calls) ask(ctx context.Context, of record) State {
	if of.Owner.Address == c.self.Address {
		return c.attempts.state(of.Attempt)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply Reply
	err := c.caller.Call(ctx, of.Owner.Address, MethodState, Query{
		Attempt: of.Attempt,
	}, &reply)
	if err != nil {
		return StateUnknown
	}
	return reply.State
}

// Service tells peers the states of attempts; it is registered as "Call".
type Service struct {
	calls *Calls
}

// NewService returns the service of a gateway's calls.
func NewService(calls *Calls) *Service {
	return &Service{
		calls: calls,
	}
}

// State tells the state of an attempt.
func (s *Service) State(query Query, reply *Reply) error {
	reply.State = s.calls.attempts.state(query.Attempt)
	return nil
}
