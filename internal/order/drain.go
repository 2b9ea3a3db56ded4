package order

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/fleet"
)

const (
	// drainTerm is how long a process keeps new work from a drained engine without being told again.
	drainTerm = 6 * time.Second
	// drainPeriod is the time between looks at an engine that is drained.
	drainPeriod = 200 * time.Millisecond
	// drainGrace is how long a request may be on its way to an endpoint that was chosen for it before the drain.
	drainGrace = 500 * time.Millisecond
	// drainCallTimeout bounds the call to one process.
	drainCallTimeout = time.Second
)

// drain keeps new work from an engine and waits until it has none, or for the longest time that is allowed.
// The returned function ends the drain; until then it is renewed.
func (w *worker) drain(ctx context.Context, target endpoint.Endpoint) (func(), error) {
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	end := func() {
		stop()
		group.Wait()
		w.tell(context.WithoutCancel(ctx), target, 0)
	}
	told := w.tell(ctx, target, drainTerm)
	w.log.Info("engine draining", "endpoint", target.ID, "told", told)
	began, drained := time.Now(), time.Now()
	group.Go(func() {
		ticker := time.NewTicker(drainTerm / 3)
		defer ticker.Stop()
		for {
			select {
			case <-renewing.Done():
				return
			case <-ticker.C:
				w.tell(renewing, target, drainTerm)
			}
		}
	})
	limit := w.issuer.parts.Limits.DrainTimeout
	for !told || !w.idle(ctx, target, drained.Add(drainGrace)) {
		if ctx.Err() != nil || w.term.check() != nil {
			return end, errNotDrained
		}
		if time.Since(began) > limit {
			w.log.Warn("engine ordered though it has work", "endpoint", target.ID)
			return end, nil
		}
		time.Sleep(drainPeriod)
		if !told {
			told = w.tell(ctx, target, drainTerm)
			drained = time.Now()
		}
	}
	return end, nil
}

// idle reports whether the engine had no work at a moment after it was drained.
func (w *worker) idle(ctx context.Context, target endpoint.Endpoint, drained time.Time) bool {
	asked := time.Now()
	load, err := w.sender.load(ctx, target)
	if err != nil || load.Running+load.Waiting > 0 {
		return false
	}
	age := time.Duration(load.AgeMilliseconds+1) * time.Millisecond
	return asked.Add(-age).After(drained)
}

// tell tells every gateway and dispatcher to keep new work from the engine for the time, and reports whether all know.
func (w *worker) tell(ctx context.Context, target endpoint.Endpoint, rest time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, drainCallTimeout)
	defer cancel()
	fence, _ := w.term.fence()
	var failed atomic.Bool
	var group sync.WaitGroup
	places := make(chan struct{}, looks)
	for _, role := range []fleet.Role{fleet.RoleGateway, fleet.RoleDispatcher} {
		for _, member := range w.issuer.parts.Members.Alive(role) {
			places <- struct{}{}
			group.Go(func() {
				defer func() { <-places }()
				var reply struct{}
				err := w.issuer.parts.Caller.Call(ctx, member.Address, endpoint.MethodDrain, endpoint.DrainArgs{
					ID:           target.ID,
					Milliseconds: rest.Milliseconds(),
					Fence:        int64(fence),
				}, &reply)
				if err != nil {
					failed.Store(true)
					w.log.Debug("process not told of a drain", "member", member.ID(), "err", err)
				}
			})
		}
	}
	group.Wait()
	return !failed.Load()
}
