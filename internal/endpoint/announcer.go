package endpoint

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbrudder/internal/fleet"
)

// Members lists the processes of the system.
type Members interface {
	Self() fleet.Member
	Listed() []fleet.Member
}

// Caller calls a method of a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Announcer tells peers by gossip which endpoints are leaving (their departures). It sends new departures at once to some peers, which do the
// same, and exchanges all known departures with one peer every period.
type Announcer struct {
	directory *Directory
	members   Members
	caller    Caller
	mu        sync.Mutex
	// pending holds the departures that have not been sent to peers yet.
	pending []ID
	// wake signals that pending is not empty.
	wake chan struct{}
}

// NewAnnouncer returns an announcer of the directory's departures.
func NewAnnouncer(directory *Directory, members Members, caller Caller) *Announcer {
	a := &Announcer{
		directory: directory,
		members:   members,
		caller:    caller,
		wake:      make(chan struct{}, 1),
	}
	directory.OnLeave(a.add)
	return a
}

func (a *Announcer) add(ids []ID) {
	a.mu.Lock()
	a.pending = append(a.pending, ids...)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

const (
	// announceFanout is how many peers a process sends new departures to, and how many it tries for an exchange.
	announceFanout = 12
	// exchangePeriod is the time between exchanges of all known departures with one peer.
	exchangePeriod = time.Second
	// frozenPeriods is the number of periods without an exchange after which the process is taken to have been frozen.
	frozenPeriods = 2
	// announceTimeout bounds one call.
	announceTimeout = time.Second
)

// Run announces departures until ctx is done.
func (a *Announcer) Run(ctx context.Context) error {
	ticker := time.NewTicker(exchangePeriod)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if time.Since(last) > frozenPeriods*exchangePeriod {
				// Departures may have been missed during the freeze, so two peers are asked.
				go a.exchange(ctx)
			}
			last = time.Now()
			go a.exchange(ctx)
		case <-a.wake:
			a.announce(ctx)
		}
	}
}

func (a *Announcer) announce(ctx context.Context) {
	a.mu.Lock()
	pending := a.pending
	a.pending = nil
	a.mu.Unlock()
	args := Departures{}
	for _, id := range pending {
		args.Leaving = append(args.Leaving, Departure{
			ID: id,
		})
	}
	for _, peer := range a.peers(announceFanout) {
		go a.call(ctx, peer, args)
	}
}

// exchange exchanges all known departures with the first peer that answers. It tries up to announceFanout peers, because
// a listed process may no longer exist.
func (a *Announcer) exchange(ctx context.Context) {
	args := Departures{
		Leaving: a.directory.Departures(),
		Whole:   true,
	}
	for _, peer := range a.peers(announceFanout) {
		if a.call(ctx, peer, args) {
			return
		}
	}
}

// call sends departures to a peer and reports whether it answered.
func (a *Announcer) call(ctx context.Context, peer fleet.Member, args Departures) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var reply Departures
	if err := a.caller.Call(ctx, peer.Address, MethodLeaving, args, &reply); err != nil {
		return false
	}
	a.directory.AddDepartures(reply.Leaving)
	return true
}

// peers returns up to n other processes chosen at random.
func (a *Announcer) peers(n int) []fleet.Member {
	listed := a.members.Listed()
	self := a.members.Self().Address
	peers := make([]fleet.Member, 0, n)
	for _, i := range rand.Perm(len(listed)) {
		if len(peers) == n {
			break
		}
		if listed[i].Address != self {
			peers = append(peers, listed[i])
		}
	}
	return peers
}

// Departures is the message in which a process tells a peer which endpoints are leaving, and the reply to it.
type Departures struct {
	Leaving []Departure
	// Whole requests that the reply contain all departures that the peer knows. It is not set in a reply.
	Whole bool
}

// MethodLeaving is the name of the net/rpc method that receives departures.
const MethodLeaving = "Endpoint.Leaving"

// Service receives announcements of departures and requests to drain endpoints over net/rpc. It is registered as "Endpoint".
type Service struct {
	directory *Directory
}

// NewService returns the service of a directory.
func NewService(directory *Directory) *Service {
	return &Service{
		directory: directory,
	}
}

// Leaving adds a peer's departures and, if the peer asks for them, returns all that are known here.
func (s *Service) Leaving(args Departures, reply *Departures) error {
	if args.Whole {
		reply.Leaving = s.directory.Departures()
	}
	s.directory.AddDepartures(args.Leaving)
	return nil
}
