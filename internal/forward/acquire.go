package forward

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/route"
)

// acquire waits for a slot at the request's service. A request that may still run anywhere follows its route to another
// service: the wait then ends with route.ErrMoved.
func (s *serving) acquire(ctx context.Context) (*pool.Slot, error) {
	if s.possibleRuns > 0 && (s.started || !s.route.Repeatable()) {
		return s.pools.Acquire(ctx, s.service, s.slotRequest())
	}
	ctx, release := s.routes.Watch(ctx, func(config *route.Config) bool {
		return s.movedTo(config) == nil
	})
	defer release()
	slot, err := s.pools.Acquire(ctx, s.service, s.slotRequest())
	if err == nil || !errors.Is(context.Cause(ctx), route.ErrMoved) {
		return slot, err
	}
	rt := s.movedTo(s.routes.Current())
	if rt == nil {
		return nil, route.ErrMoved
	}
	s.log.Info("request moved", "id", s.meta.ID, "route", rt.Name, "from", s.service, "to", rt.Pick(string(s.meta.ID)))
	s.route = rt
	s.service = rt.Pick(string(s.meta.ID))
	return nil, route.ErrMoved
}

// movedTo returns the route of the configuration by which the request goes to another service than at present, or nil. A
// request keeps its service if its route is gone, or if it may have run and the route does not let it run again.
func (s *serving) movedTo(config *route.Config) *route.Route {
	path, _, _ := strings.Cut(s.call.Target, "?")
	rt := config.Match(s.call.Host, path)
	if rt == nil || rt.Kind != s.route.Kind || rt.Pick(string(s.meta.ID)) == s.service {
		return nil
	}
	if s.possibleRuns > 0 && (!rt.Repeatable() || s.possibleRuns >= rt.Attempts) {
		return nil
	}
	return rt
}

func (s *serving) slotRequest() pool.SlotRequest {
	patience := max(minPatience, patienceObjectives*s.route.Objective, patiencePauses*s.route.Pause)
	expires := s.lastEvent.Add(patience - patienceMargin)
	if s.deadline.Before(expires) {
		expires = s.deadline
	}
	request := pool.SlotRequest{
		ID:      pool.TicketID(string(s.meta.ID) + "." + strconv.Itoa(s.attempts)),
		Class:   pool.ClassOnline,
		Rank:    s.route.Rank,
		Begun:   s.started,
		Start:   s.lastEvent.Add(s.route.Objective - firstEventAllowance),
		Expires: expires,
		Avoid:   s.avoid,
		Prompt:  s.prompt.Shared(),
	}
	if !s.call.Caller.Keyed {
		return request
	}
	if config := s.routes.Current(); config != nil {
		request.Rank = config.Rank(s.call.Caller.Organisation, s.route)
	}
	request.Organisation = s.call.Caller.Organisation
	request.Cost = s.headers.Cost(s.call.Header)
	request.Admitted = s.attempts > 0
	return request
}
