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

// Announcer passes on which endpoints are leaving: news at once to some peers, who do the same,
// and everything known to one peer every period, in exchange for what that one knows.
type Announcer struct {
	directory *Directory
	members   Members
	caller    Caller
	mu        sync.Mutex
	news      []ID
	wake      chan struct{}
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

func (a *Announcer) add(news []ID) {
	a.mu.Lock()
	a.news = append(a.news, news...)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

const (
	// announceTo is how many peers hear news directly.
	announceTo = 12
	// exchangePeriod is the period of exchanges with one peer.
	exchangePeriod = time.Second
	// frozenPeriods is how many periods without an exchange a process only misses if it was frozen.
	frozenPeriods = 2
	// announceTimeout bounds one call.
	announceTimeout = time.Second
)

// Run passes news on until ctx ends.
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
	news := a.news
	a.news = nil
	a.mu.Unlock()
	args := Departures{}
	for _, id := range news {
		args.Leaving = append(args.Leaving, Departure{
			ID: id,
		})
	}
	for _, peer := range a.peers(announceTo) {
		go a.call(ctx, peer, args)
	}
}

// exchange exchanges everything known with one peer that answers; a listed process may be gone.
func (a *Announcer) exchange(ctx context.Context) {
	args := Departures{
		Leaving: a.directory.Departures(),
		Whole:   true,
	}
	for _, peer := range a.peers(announceTo) {
		if a.call(ctx, peer, args) {
			return
		}
	}
}

// call passes departures on to a peer and reports whether it answered.
func (a *Announcer) call(ctx context.Context, peer fleet.Member, args Departures) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var reply Departures
	if err := a.caller.Call(ctx, peer.Address, MethodLeaving, args, &reply); err != nil {
		return false
	}
	a.directory.Hear(reply.Leaving)
	return true
}

// peers returns up to n other processes chosen at random.
func (a *Announcer) peers(n int) []fleet.Member {
	listed := a.members.Listed()
	self := a.members.Self().Address
	peers := make([]fleet.Member, 0, n)
	for _, at := range rand.Perm(len(listed)) {
		if len(peers) == n {
			break
		}
		if listed[at].Address != self {
			peers = append(peers, listed[at])
		}
	}
	return peers
}

// Departures is what a process tells another of endpoints that leave.
type Departures struct {
	Leaving []Departure
	// Whole asks for everything that the other knows.
	Whole bool
}

// MethodLeaving is the name of the method that takes departures.
const MethodLeaving = "Endpoint.Leaving"

// Service takes departures over net/rpc; it is registered as "Endpoint".
type Service struct {
	directory *Directory
}

// NewService returns the service of a directory.
func NewService(directory *Directory) *Service {
	return &Service{
		directory: directory,
	}
}

// Leaving takes a peer's departures in.
func (s *Service) Leaving(args Departures, reply *Departures) error {
	if args.Whole {
		reply.Leaving = s.directory.Departures()
	}
	s.directory.Hear(args.Leaving)
	return nil
}
