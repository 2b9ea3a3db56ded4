package steward

import (
	"context"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
)

const (
	// watchPeriod is how often ownership and accounts are checked for changes that cause no event.
	watchPeriod = 100 * time.Millisecond
	// loadPeriod is how often the load of an engine is requested.
	loadPeriod = time.Second
	// loadTimeout bounds one load request.
	loadTimeout = time.Second
	// pauseThreshold is the time without a check after which the process is taken to have been frozen. Ten missed
	// checks are far more than the delay of a ticker on a busy machine, and less than the time after which peers take
	// over.
	pauseThreshold = 10 * watchPeriod
	// ownerTimeout is how long Acquire waits for this process to become the steward of an endpoint of the service.
	ownerTimeout = time.Second
)

// Run checks ownership and the engines' loads periodically until ctx is done.
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
	s.detectPause(now)
	for name, service := range s.document.View().Services {
		owned := s.ownership.ownedOf(name)
		s.refuseUnowned(name, owned, now)
		for _, target := range owned {
			s.watchEndpoint(ctx, target, service, now)
		}
		s.fill(name, now)
	}
	s.dropUnowned(now)
}

// detectPause reopens all accounts if the process did not run for a while: other stewards may have filled the endpoints
// in the meantime, so nothing is granted before the engines' loads are known again or openGrace has passed.
func (s *Steward) detectPause(now time.Time) {
	if now.Sub(s.lastCheck) > pauseThreshold {
		for _, a := range s.accounts {
			a.reopen(now)
		}
	}
	s.lastCheck = now
}

func (s *Steward) watchEndpoint(ctx context.Context, target endpoint.Endpoint, service document.Service, now time.Time) {
	a := s.account(target.ID, now)
	s.yield(target.ID, a, now)
	if service.Kind != document.KindEngine || now.Sub(a.loadRequested) < loadPeriod {
		return
	}
	a.loadRequested = now
	go s.requestLoad(ctx, target, now)
}

func (s *Steward) requestLoad(ctx context.Context, target endpoint.Endpoint, requested time.Time) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := s.loads.Load(ctx, target)
	if err != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectPause(now)
	a := s.account(target.ID, now)
	if requested.Before(a.opened) {
		return
	}
	a.setLoad(now, load)
	s.yield(target.ID, a, now)
	s.fill(target.Service, now)
}

// refuseUnowned refuses the waiters of a service once this process has been the steward of none of its endpoints for
// ownerTimeout.
func (s *Steward) refuseUnowned(service document.ServiceName, owned []endpoint.Endpoint, now time.Time) {
	if len(owned) > 0 || len(s.waiting[service]) == 0 {
		delete(s.unowned, service)
		return
	}
	since, known := s.unowned[service]
	if !known {
		s.unowned[service] = now
		return
	}
	if now.Sub(since) < ownerTimeout {
		return
	}
	for _, w := range s.waiting[service] {
		w.refuse(ErrNotOwner)
	}
	s.waiting[service] = nil
}

// dropUnowned revokes the grants at endpoints that now have another steward or take no new work, and removes their
// accounts once these are empty.
func (s *Steward) dropUnowned(now time.Time) {
	self := s.ownership.members.Self().Address
	for id, a := range s.accounts {
		_, serving := s.directory.Find(id)
		steward, known := s.ownership.stewardOf(id)
		if serving && known && steward == self {
			continue
		}
		s.cancel(id, a, len(a.grants), "endpoint has another steward")
		if len(a.grants) == 0 && a.reportedOnline(now) == 0 {
			delete(s.accounts, id)
		}
	}
}
