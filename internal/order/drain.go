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
	// drainTerm is how long a drain lasts at a gateway or dispatcher if it is not renewed.
	drainTerm = 6 * time.Second
	// drainPeriod is the time between checks of an engine that is being drained.
	drainPeriod = 200 * time.Millisecond
	// drainGrace is how long a request may still be in transit to an endpoint that was chosen for it before the drain.
	drainGrace = 500 * time.Millisecond
	// drainCallTimeout limits the calls that announce a drain.
	drainCallTimeout = time.Second
)

// drain keeps new work from an engine and waits until the engine has none left or DrainTimeout has passed. The drain is
// renewed until the returned function is called, which ends it.
func (w *worker) drain(ctx context.Context, target endpoint.Endpoint) (func(), error) {
	renewCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	end := func() {
		stop()
		group.Wait()
		w.announceDrain(context.WithoutCancel(ctx), target, 0)
	}
	announced := w.announceDrain(ctx, target, drainTerm)
	w.log.Info("engine draining", "endpoint", target.ID, "told", announced)
	started, announcedAt := time.Now(), time.Now()
	group.Go(func() {
		ticker := time.NewTicker(drainTerm / 3)
		defer ticker.Stop()
		for {
			select {
			case <-renewCtx.Done():
				return
			case <-ticker.C:
				w.announceDrain(renewCtx, target, drainTerm)
			}
		}
	})
	limit := w.issuer.parts.Limits.DrainTimeout
	for !announced || !w.idle(ctx, target, announcedAt.Add(drainGrace)) {
		if ctx.Err() != nil || w.term.check() != nil {
			return end, errNotDrained
		}
		if time.Since(started) > limit {
			w.log.Warn("drain timed out; sending the order although the engine may still have work", "endpoint", target.ID)
			return end, nil
		}
		time.Sleep(drainPeriod)
		if !announced {
			announced = w.announceDrain(ctx, target, drainTerm)
			announcedAt = time.Now()
		}
	}
	return end, nil
}

// idle reports whether the engine's load was measured after the given time and shows no work.
func (w *worker) idle(ctx context.Context, target endpoint.Endpoint, after time.Time) bool {
	requested := time.Now()
	load, err := w.sender.load(ctx, target)
	if err != nil || load.Running+load.Waiting > 0 {
		return false
	}
	age := time.Duration(load.AgeMilliseconds+1) * time.Millisecond
	return requested.Add(-age).After(after)
}

// announceDrain tells every gateway and dispatcher to keep new work from the engine for the given time, or to end the
// drain if that is zero. It reports whether all of them answered.
func (w *worker) announceDrain(ctx context.Context, target endpoint.Endpoint, duration time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, drainCallTimeout)
	defer cancel()
	fence, _ := w.term.fence()
	var failed atomic.Bool
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for _, role := range []fleet.Role{fleet.RoleGateway, fleet.RoleDispatcher} {
		for _, member := range w.issuer.parts.Members.Alive(role) {
			semaphore <- struct{}{}
			group.Go(func() {
				defer func() { <-semaphore }()
				var reply struct{}
				err := w.issuer.parts.Caller.Call(ctx, member.Address, endpoint.MethodDrain, endpoint.DrainArgs{
					ID:           target.ID,
					Milliseconds: duration.Milliseconds(),
					Fence:        int64(fence),
				}, &reply)
				if err != nil {
					failed.Store(true)
					w.log.Debug("drain not announced to process", "member", member.ID(), "err", err)
				}
			})
		}
	}
	group.Wait()
	return !failed.Load()
}
