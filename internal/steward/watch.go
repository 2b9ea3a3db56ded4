package steward

import (
	"context"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
)

const (
	// watchPeriod is how often what may have changed unheard is looked at.
	watchPeriod = 100 * time.Millisecond
	// loadPeriod is how often an engine is asked for its load.
	loadPeriod = time.Second
	// loadTimeout bounds one question.
	loadTimeout = time.Second
	// pauseNoticed is the time without a look after which the process is taken to have been frozen: ten looks missed,
	// far above what a busy machine delays a ticker, and below the time after which peers take over.
	pauseNoticed = 10 * watchPeriod
	// ownerPatience is how long Acquire waits for an endpoint of the service to become this process's.
	ownerPatience = time.Second
)

// Run follows ownership and the engines' loads until ctx ends.
func (s *Steward) Run(ctx context.Context) error {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.watch(ctx)
		}
	}
}

func (s *Steward) watch(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticePause(now)
	for name, service := range s.document.View().Services {
		owned := s.owners.ownedOf(name)
		s.sendAway(name, owned, now)
		for _, target := range owned {
			s.watchEndpoint(ctx, target, service, now)
		}
		s.fill(name, now)
	}
	s.forget(now)
}

// noticePause closes all accounts after a time in which the process did not run: other stewards may have filled the
// endpoints meanwhile, so their loads are asked for before anything is granted.
func (s *Steward) noticePause(now time.Time) {
	if now.Sub(s.watched) > pauseNoticed {
		for _, a := range s.accounts {
			a.reopen(now)
		}
	}
	s.watched = now
}

func (s *Steward) watchEndpoint(ctx context.Context, target endpoint.Endpoint, service document.Service, now time.Time) {
	a := s.account(target.ID, now)
	s.yield(target.ID, a, now)
	if service.Kind != document.KindEngine || now.Sub(a.loadAsked) < loadPeriod {
		return
	}
	a.loadAsked = now
	go s.ask(ctx, target, now)
}

func (s *Steward) ask(ctx context.Context, target endpoint.Endpoint, asked time.Time) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := s.loads.Load(ctx, target)
	if err != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticePause(now)
	a := s.account(target.ID, now)
	if asked.Before(a.opened) {
		return
	}
	a.takeLoad(now, load)
	s.yield(target.ID, a, now)
	s.fill(target.Service, now)
}

// sendAway tells those who wait for a service of which this process owns no endpoint.
func (s *Steward) sendAway(service document.ServiceName, owned []endpoint.Endpoint, now time.Time) {
	if len(owned) > 0 || len(s.waiting[service]) == 0 {
		delete(s.unowned, service)
		return
	}
	since, known := s.unowned[service]
	if !known {
		s.unowned[service] = now
		return
	}
	if now.Sub(since) < ownerPatience {
		return
	}
	for _, w := range s.waiting[service] {
		w.refuse(ErrNotOwner)
	}
	s.waiting[service] = nil
}

// forget ends the grants at endpoints that have another steward now, and drops accounts that nothing is in.
func (s *Steward) forget(now time.Time) {
	self := s.owners.members.Self().Address
	for id, a := range s.accounts {
		_, serving := s.directory.Find(id)
		owner, known := s.owners.ownerOf(id)
		if serving && known && owner == self {
			continue
		}
		s.cancel(id, a, len(a.grants), "endpoint has another steward")
		if len(a.grants) == 0 && a.told(now) == 0 {
			delete(s.accounts, id)
		}
	}
}
