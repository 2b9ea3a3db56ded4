package dispatcher

import (
	"context"
	"time"

	"rhubarbrudder/internal/job"
)

const (
	// beatPeriod is the period of the process's own pulse.
	beatPeriod = 100 * time.Millisecond
	// frozenAfter is how long the pulse may pause before the process counts as frozen.
	frozenAfter = time.Second
	// waitForLook is how long an item waits before it asks again whether it may start.
	waitForLook = 100 * time.Millisecond
	// stoppedKept is how long a cancelled job is remembered after it left the table.
	stoppedKept = 10 * time.Minute
)

// pulse tells a process that was frozen, and so may not have heard of a cancelled job, to look before it starts items.
type pulse struct {
	beat   time.Time
	thawed time.Time
	looked time.Time
}

// steady reports whether the process ran all the time since it last looked for cancelled jobs.
func (p pulse) steady(now time.Time) bool {
	return now.Sub(p.beat) < frozenAfter && !p.looked.Before(p.thawed)
}

// at notes that the process runs.
func (p *pulse) at(now time.Time) {
	if now.Sub(p.beat) >= frozenAfter {
		p.thawed = now
	}
	p.beat = now
}

func (d *Dispatcher) beat(ctx context.Context) {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	for {
		d.mu.Lock()
		d.pulse.at(time.Now())
		d.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// looked notes that a look for cancelled jobs, begun at the time, has ended.
func (d *Dispatcher) looked(began time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pulse.looked = began
}

// mayStart reports whether an item of the job may start now.
func (d *Dispatcher) mayStart(id job.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, stopped := d.stopped[id]
	return !stopped && d.pulse.steady(time.Now())
}

func (d *Dispatcher) isStopped(id job.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, stopped := d.stopped[id]
	return stopped
}

// cancelHeld stops the lots of jobs that were cancelled.
func (d *Dispatcher) cancelHeld(active []job.ActiveRow) {
	for _, row := range active {
		if row.Cancelled {
			d.CancelJob(row.Job)
		}
	}
}

// CancelJob stops the lots of a cancelled job; finished items are still stored.
func (d *Dispatcher) CancelJob(id job.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.stopped[id]; !known {
		d.stopped[id] = time.Now()
		d.note(id, "job stopped")
	}
	for held, cancel := range d.held {
		if held.job == id {
			cancel()
		}
	}
}

// MethodCancel is the name of the method that stops a cancelled job.
const MethodCancel = "Dispatcher.Cancel"

// CancelArgs names a job whose cancellation is committed.
type CancelArgs struct {
	Job job.ID
}

// Service takes orders over net/rpc; it is registered as "Dispatcher".
type Service struct {
	dispatcher *Dispatcher
}

// NewService returns the service of a dispatcher.
func NewService(dispatcher *Dispatcher) *Service {
	return &Service{
		dispatcher: dispatcher,
	}
}

// Cancel stops a job at once.
func (s *Service) Cancel(args CancelArgs, _ *struct{}) error {
	s.dispatcher.CancelJob(args.Job)
	return nil
}
