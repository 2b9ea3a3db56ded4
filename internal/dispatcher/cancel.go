package dispatcher

import (
	"context"
	"time"

	"rhubarbrudder/internal/job"
)

const (
	// tickPeriod is the interval of the ticks by which the process detects that it was frozen.
	tickPeriod = 100 * time.Millisecond
	// frozenAfter is the gap between ticks from which the process counts as having been frozen.
	frozenAfter = time.Second
	// startRetryPause is how long an item waits before it checks again whether it may start.
	startRetryPause = 100 * time.Millisecond
	// cancelledRetention is how long a cancelled job is remembered after this process has learned of the cancellation. A
	// job that is still among the active ones is always remembered.
	cancelledRetention = 10 * time.Minute
)

// freezeDetector detects that the process was frozen (suspended or not scheduled). It may then have missed the
// cancellation of a job and must read the active jobs again before it starts items.
type freezeDetector struct {
	// lastTick is the time of the last tick.
	lastTick time.Time
	// resumedAt is the time of the first tick after the last freeze.
	resumedAt time.Time
	// checkedAt is the start of the last check for cancelled jobs.
	checkedAt time.Time
}

// notFrozenSinceCheck reports whether the process has not been frozen since it last checked for cancelled jobs.
func (f freezeDetector) notFrozenSinceCheck(now time.Time) bool {
	return now.Sub(f.lastTick) < frozenAfter && !f.checkedAt.Before(f.resumedAt)
}

// tick records a tick.
func (f *freezeDetector) tick(now time.Time) {
	if now.Sub(f.lastTick) >= frozenAfter {
		f.resumedAt = now
	}
	f.lastTick = now
}

func (d *Dispatcher) detectFreezes(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		d.mu.Lock()
		d.freezeDetector.tick(time.Now())
		d.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// cancellationsChecked records that a check for cancelled jobs which began at the given time has ended.
func (d *Dispatcher) cancellationsChecked(began time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freezeDetector.checkedAt = began
}

// mayStart reports whether an item of the job may start now.
func (d *Dispatcher) mayStart(id job.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, cancelled := d.cancelled[id]
	return !cancelled && d.freezeDetector.notFrozenSinceCheck(time.Now())
}

// isCancelled reports whether this process has learned that the job is cancelled.
func (d *Dispatcher) isCancelled(id job.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, cancelled := d.cancelled[id]
	return cancelled
}

// stopCancelled stops this process's lots of cancelled jobs.
func (d *Dispatcher) stopCancelled(active []job.ActiveRow) {
	for _, row := range active {
		if row.Cancelled {
			d.CancelJob(row.Job)
		}
	}
}

// CancelJob stops this process's lots of a cancelled job. The results of finished items are still stored.
func (d *Dispatcher) CancelJob(id job.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.cancelled[id]; !known {
		d.cancelled[id] = time.Now()
		d.note(id, "job stopped")
	}
	for held, r := range d.held {
		if held.job == id {
			r.stopWork()
		}
	}
}

// MethodCancel is the net/rpc method that stops a cancelled job.
const MethodCancel = "Dispatcher.Cancel"

// CancelArgs names a job whose cancellation is committed.
type CancelArgs struct {
	Job job.ID
}

// Service is the net/rpc service of a dispatcher, registered as "Dispatcher".
type Service struct {
	dispatcher *Dispatcher
}

// NewService returns the service of a dispatcher.
func NewService(dispatcher *Dispatcher) *Service {
	return &Service{
		dispatcher: dispatcher,
	}
}

// Cancel stops a cancelled job's lots without waiting for the next scan.
func (s *Service) Cancel(args CancelArgs, _ *struct{}) error {
	s.dispatcher.CancelJob(args.Job)
	return nil
}
