package document

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"
)

// Caller calls a method of a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Spread passes changes on to neighbours and compares revisions with them.
type Spread struct {
	follower *Follower
	caller   Caller
	log      *slog.Logger
	mu       sync.Mutex
	pushing  map[string]bool
	has      map[string]Revision
}

// NewSpread returns the spread of a follower's document.
func NewSpread(follower *Follower, caller Caller, log *slog.Logger) *Spread {
	s := &Spread{
		follower: follower,
		caller:   caller,
		log:      log,
		pushing:  map[string]bool{},
		has:      map[string]Revision{},
	}
	follower.OnAdvance(s.push)
	return s
}

const (
	methodPush     = "Document.Push"
	methodCompare  = "Document.Compare"
	methodDocument = "Document.Whole"
	methodState    = "Document.State"
	// pushTimeout bounds a push or a comparison.
	pushTimeout = time.Second
	// wholeTimeout bounds the transfer of a whole document.
	wholeTimeout = 20 * time.Second
	// messageBytes bounds the changes of one message.
	messageBytes = 256 << 10
	// pushPeers is how many neighbours a change is passed on to at once; the others compare soon.
	pushPeers = 3
	// comparePeers is how many neighbours the revision is compared with in each period.
	comparePeers = 2
)

// PushArgs carries changes to a peer, or only the revision if the changes are not at hand.
type PushArgs struct {
	Revision Revision
	Changes  []Change
}

// RevisionReply says which revision a peer has.
type RevisionReply struct {
	Revision Revision
}

// push passes on what the neighbours are not known to have.
func (s *Spread) push() {
	for i, address := range s.follower.members.Neighbours() {
		if i == pushPeers {
			return
		}
		s.mu.Lock()
		busy := s.pushing[address]
		s.pushing[address] = true
		s.mu.Unlock()
		if !busy {
			go s.pushTo(address)
		}
	}
}

// pushTo pushes to a neighbour until it has the revision in force or does not answer.
func (s *Spread) pushTo(address string) {
	for s.pushOnce(address) {
		s.mu.Lock()
		done := s.has[address] >= s.follower.View().Revision
		if done {
			delete(s.pushing, address)
		}
		s.mu.Unlock()
		if done {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pushing, address)
	delete(s.has, address)
}

// pushOnce reports whether the neighbour moved forward or is up to date.
func (s *Spread) pushOnce(address string) bool {
	s.mu.Lock()
	has, known := s.has[address]
	s.mu.Unlock()
	if !known {
		has = s.follower.View().Revision - 1
	}
	var reply RevisionReply
	err := s.call(address, methodPush, pushTimeout, PushArgs{
		Revision: s.follower.View().Revision,
		Changes:  s.follower.after(has),
	}, &reply)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.has[address] = reply.Revision
	return !known || reply.Revision > has || reply.Revision >= s.follower.View().Revision
}

func (s *Spread) call(address, method string, limit time.Duration, args, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return s.caller.Call(ctx, address, method, args, reply)
}

// after returns the changes after the revision, as far as one message holds.
// None are returned if they are no longer kept.
func (f *Follower) after(revision Revision) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recent.after(revision, messageBytes)
}

// Run compares revisions with neighbours every period until ctx ends.
func (s *Spread) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.follower.limits.Period)
	defer ticker.Stop()
	for {
		s.compare()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// compare compares with a few random neighbours at once.
func (s *Spread) compare() {
	neighbours := s.follower.members.Neighbours()
	rand.Shuffle(len(neighbours), func(i, j int) {
		neighbours[i], neighbours[j] = neighbours[j], neighbours[i]
	})
	var group sync.WaitGroup
	for i, address := range neighbours {
		if i == comparePeers {
			break
		}
		group.Go(func() {
			if err := s.CompareWith(address); err != nil {
				s.log.Debug("document not compared", "peer", address, "err", err)
			}
		})
	}
	group.Wait()
}

// CompareArgs says which revision the asking process has.
type CompareArgs struct {
	Revision Revision
}

// CompareReply says which revision a peer has, how long ago it was confirmed, and what the asking one lacks.
type CompareReply struct {
	Revision  Revision
	Confirmed bool
	Age       time.Duration
	// Changes follow the revision asked with; if there are none although the peer is ahead, the whole document is needed.
	Changes []Change
}

// CompareWith compares revisions with a peer until this process has all that the peer has.
//
// A confirmation is taken over only from the reply: its age counts from before the question on this process's own clock,
// while the age of a confirmation in a question would not count the question's own way.
func (s *Spread) CompareWith(address string) error {
	for {
		started := time.Now()
		own := s.follower.View().Revision
		var reply CompareReply
		if err := s.call(address, methodCompare, pushTimeout, CompareArgs{
			Revision: own,
		}, &reply); err != nil {
			return err
		}
		if reply.Revision > own {
			if err := s.follow(address, reply); err != nil {
				return err
			}
		}
		now := s.follower.View().Revision
		if reply.Confirmed {
			s.follower.confirm(reply.Revision, started.Add(-reply.Age))
		}
		s.follower.agree(reply.Revision, started)
		if now >= reply.Revision || now == own {
			return nil
		}
	}
}

// follow takes the changes that a peer sent, or reads them from the platform, or, in an outage, the peer's whole document.
func (s *Spread) follow(address string, reply CompareReply) error {
	if len(reply.Changes) > 0 {
		err := s.follower.Take(reply.Changes)
		if !errors.Is(err, ErrGap) {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), wholeTimeout)
	defer cancel()
	if s.follower.Refresh(ctx) == nil {
		return nil
	}
	var doc Document
	if err := s.call(address, methodDocument, wholeTimeout, struct{}{}, &doc); err != nil {
		return err
	}
	s.follower.Advance(NewView(doc))
	return nil
}

// StateReply says what is in force in a process.
type StateReply struct {
	Revision Revision
	Versions map[SectionName]SectionVersion
	// Since says how long each section's version has been in force.
	Since map[SectionName]time.Duration
	Fresh bool
}

// State asks a process what is in force there.
func State(ctx context.Context, caller Caller, address string) (StateReply, error) {
	var reply StateReply
	err := caller.Call(ctx, address, methodState, struct{}{}, &reply)
	return reply, err
}

// State returns what is in force in this process.
func (f *Follower) State() StateReply {
	state := f.state.Load()
	_, fresh := f.Fresh()
	reply := StateReply{
		Revision: state.view.Revision,
		Versions: state.view.doc.Versions,
		Since:    map[SectionName]time.Duration{},
		Fresh:    fresh,
	}
	for section, since := range state.since {
		reply.Since[section] = time.Since(since)
	}
	return reply
}

// Server answers peers over net/rpc; it is registered as "Document".
type Server struct {
	follower *Follower
}

// NewServer returns the server of a follower's document.
func NewServer(follower *Follower) *Server {
	return &Server{
		follower: follower,
	}
}

// Push takes changes and answers with the revision in force after them.
func (s *Server) Push(args PushArgs, reply *RevisionReply) error {
	err := s.follower.Take(args.Changes)
	if err != nil && !errors.Is(err, ErrGap) {
		return err
	}
	reply.Revision = s.follower.View().Revision
	if args.Revision > reply.Revision {
		s.follower.Wake()
	}
	return nil
}

// Compare answers with the revision in force and the changes that the asking process lacks.
func (s *Server) Compare(args CompareArgs, reply *CompareReply) error {
	state := s.follower.state.Load()
	reply.Revision = state.view.Revision
	reply.Confirmed = !state.confirmed.IsZero()
	if reply.Confirmed {
		reply.Age = time.Since(state.confirmed)
	}
	if args.Revision < reply.Revision {
		reply.Changes = s.follower.after(args.Revision)
	}
	return nil
}

// Whole answers with the whole document in force.
func (s *Server) Whole(_ struct{}, reply *Document) error {
	*reply = s.follower.View().Document()
	return nil
}

// State answers with what is in force.
func (s *Server) State(_ struct{}, reply *StateReply) error {
	*reply = s.follower.State()
	return nil
}
