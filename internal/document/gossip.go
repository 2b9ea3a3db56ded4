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

// Gossip pushes changes to neighbours and compares revisions with them.
type Gossip struct {
	follower *Follower
	caller   Caller
	log      *slog.Logger
	mu       sync.Mutex
	// pushing holds the neighbours to which a push is in progress.
	pushing map[string]bool
	// revisions holds the last known revision of each neighbour.
	revisions map[string]Revision
}

// NewGossip returns a Gossip that pushes each newer view of the follower's document to neighbours.
func NewGossip(follower *Follower, caller Caller, log *slog.Logger) *Gossip {
	g := &Gossip{
		follower:  follower,
		caller:    caller,
		log:       log,
		pushing:   map[string]bool{},
		revisions: map[string]Revision{},
	}
	follower.OnAdvance(g.push)
	return g
}

const (
	methodPush    = "Document.Push"
	methodCompare = "Document.Compare"
	methodWhole   = "Document.Whole"
	methodState   = "Document.State"
	// pushTimeout limits a push or a comparison.
	pushTimeout = time.Second
	// wholeTimeout limits the transfer of a whole document.
	wholeTimeout = 20 * time.Second
	// maxMessageBytes limits the size of the changes in one message.
	maxMessageBytes = 256 << 10
	// pushPeers is the number of neighbours that a change is pushed to at once. The others learn of it when they
	// compare revisions.
	pushPeers = 3
	// comparePeers is the number of neighbours that the revision is compared with in each period.
	comparePeers = 2
)

// PushArgs carries changes to a peer, or only the revision if the changes are no longer stored.
type PushArgs struct {
	Revision Revision
	Changes  []Change
}

// RevisionReply carries the revision that a peer has in force.
type RevisionReply struct {
	Revision Revision
}

// push starts a push to each of the first few neighbours, unless one is under way.
func (g *Gossip) push() {
	for i, address := range g.follower.members.Neighbours() {
		if i == pushPeers {
			return
		}
		g.mu.Lock()
		busy := g.pushing[address]
		g.pushing[address] = true
		g.mu.Unlock()
		if !busy {
			go g.pushTo(address)
		}
	}
}

// pushTo pushes to a neighbour until it has the revision in force, makes no progress or does not answer.
func (g *Gossip) pushTo(address string) {
	for g.pushOnce(address) {
		g.mu.Lock()
		done := g.revisions[address] >= g.follower.View().Revision
		if done {
			delete(g.pushing, address)
		}
		g.mu.Unlock()
		if done {
			return
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pushing, address)
	delete(g.revisions, address)
}

// pushOnce sends one message to the neighbour. It returns false if the neighbour does not answer, or is behind
// and has not advanced since the last message.
func (g *Gossip) pushOnce(address string) bool {
	g.mu.Lock()
	revision, known := g.revisions[address]
	g.mu.Unlock()
	if !known {
		// Until the neighbour has answered, it is assumed to lack only the latest change.
		revision = g.follower.View().Revision - 1
	}
	var reply RevisionReply
	err := g.call(address, methodPush, pushTimeout, PushArgs{
		Revision: g.follower.View().Revision,
		Changes:  g.follower.after(revision),
	}, &reply)
	if err != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revisions[address] = reply.Revision
	return !known || reply.Revision > revision || reply.Revision >= g.follower.View().Revision
}

func (g *Gossip) call(address, method string, limit time.Duration, args, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return g.caller.Call(ctx, address, method, args, reply)
}

// after returns the changes after the revision, as many as fit into one message, or none if they are no longer stored.
func (f *Follower) after(revision Revision) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recent.after(revision, maxMessageBytes)
}

// Run compares revisions with neighbours every period until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.follower.limits.Period)
	defer ticker.Stop()
	for {
		g.compare()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// compare compares revisions with a few random neighbours concurrently.
func (g *Gossip) compare() {
	neighbours := g.follower.members.Neighbours()
	rand.Shuffle(len(neighbours), func(i, j int) {
		neighbours[i], neighbours[j] = neighbours[j], neighbours[i]
	})
	var group sync.WaitGroup
	for i, address := range neighbours {
		if i == comparePeers {
			break
		}
		group.Go(func() {
			if err := g.CompareWith(address); err != nil {
				g.log.Debug("document revision not compared with peer", "peer", address, "err", err)
			}
		})
	}
	group.Wait()
}

// CompareArgs carries the revision of the requesting process.
type CompareArgs struct {
	Revision Revision
}

// CompareReply carries the revision of a peer, how long ago it was confirmed, and the changes that the requesting
// process lacks.
type CompareReply struct {
	Revision  Revision
	Confirmed bool
	Age       time.Duration
	// Changes follow the revision in the request. If there are none although the peer is ahead, the peer no longer
	// stores them, and its whole document is needed.
	Changes []Change
}

// CompareWith compares revisions with a peer until this process has every change that the peer has.
//
// A confirmation is adopted only from a reply. Its age is subtracted from the time before the request on this process's
// own clock, so the result is never too recent. The age of a confirmation sent in a request would not include the
// request's transit time.
func (g *Gossip) CompareWith(address string) error {
	for {
		started := time.Now()
		own := g.follower.View().Revision
		var reply CompareReply
		if err := g.call(address, methodCompare, pushTimeout, CompareArgs{
			Revision: own,
		}, &reply); err != nil {
			return err
		}
		if reply.Revision > own {
			if err := g.follow(address, reply); err != nil {
				return err
			}
		}
		current := g.follower.View().Revision
		if reply.Confirmed {
			g.follower.confirm(reply.Revision, started.Add(-reply.Age))
		}
		g.follower.agree(reply.Revision, started)
		if current >= reply.Revision || current == own {
			return nil
		}
	}
}

// follow applies the changes that a peer sent. If that is not possible, it reads them from the platform or, in an
// outage of the platform, the whole document from the peer.
func (g *Gossip) follow(address string, reply CompareReply) error {
	if len(reply.Changes) > 0 {
		err := g.follower.Apply(reply.Changes)
		if !errors.Is(err, ErrGap) {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), wholeTimeout)
	defer cancel()
	if g.follower.Refresh(ctx) == nil {
		return nil
	}
	var doc Document
	if err := g.call(address, methodWhole, wholeTimeout, struct{}{}, &doc); err != nil {
		return err
	}
	g.follower.Advance(NewView(doc))
	return nil
}

// StateReply describes the revision and the versions that are in force in a process.
type StateReply struct {
	Revision Revision
	Versions map[SectionName]SectionVersion
	// Since is how long the version of each section has been in force.
	Since map[SectionName]time.Duration
	Fresh bool
}

// State queries the process at the address for the revision and the versions in force there.
func State(ctx context.Context, caller Caller, address string) (StateReply, error) {
	var reply StateReply
	err := caller.Call(ctx, address, methodState, struct{}{}, &reply)
	return reply, err
}

// State describes what is in force in this process.
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

// Push applies changes and replies with the revision in force afterwards.
func (s *Server) Push(args PushArgs, reply *RevisionReply) error {
	err := s.follower.Apply(args.Changes)
	if err != nil && !errors.Is(err, ErrGap) {
		return err
	}
	reply.Revision = s.follower.View().Revision
	if args.Revision > reply.Revision {
		s.follower.Wake()
	}
	return nil
}

// Compare replies with the revision in force and the changes that the requesting process lacks.
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

// Whole replies with the whole document in force.
func (s *Server) Whole(_ struct{}, reply *Document) error {
	*reply = s.follower.View().Document()
	return nil
}

// State replies with what is in force.
func (s *Server) State(_ struct{}, reply *StateReply) error {
	*reply = s.follower.State()
	return nil
}
