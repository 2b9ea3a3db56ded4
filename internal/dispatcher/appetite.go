package dispatcher

import (
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/job"
)

const (
	// aheadSlots is for how many times an endpoint's slots a process holds items, at least.
	aheadSlots = 2
	// helpAfter is how lately an item must have ended here for this process to take over others' lots.
	helpAfter = 5 * time.Second
)

// track adds a lot's run to those that are counted, or drops it.
func (d *Dispatcher) track(r *run, runs bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if runs {
		d.runs[r] = true
		return
	}
	delete(d.runs, r)
}

// hungry reports whether the items at hand of a service will soon be too few to fill the slots. A process that holds
// no more than it needs leaves the rest to others.
func (d *Dispatcher) hungry(service document.ServiceName) bool {
	d.mu.Lock()
	runs := make([]*run, 0, len(d.runs))
	for r := range d.runs {
		if r.active.Service == service {
			runs = append(runs, r)
		}
	}
	d.mu.Unlock()
	waiting, running := 0, 0
	for _, r := range runs {
		unfinished, dispatched := r.backlog()
		waiting += unfinished - dispatched
		running += dispatched
	}
	return waiting < aheadSlots*max(running, d.document.View().Services[service].Slots)
}

// backlog returns how many items of the lot are unfinished, and how many of them run.
func (r *run) backlog() (unfinished, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.items == nil {
		return lotItems(r.active), 0
	}
	items := len(r.items)
	if r.progress.Only != nil {
		items = len(r.progress.Only)
	}
	return items - len(r.progress.Results) - len(r.deferred), len(r.running)
}

// mayHelp reports whether this process may take lots for which others are preferred: it has none of its own left, and
// its endpoints answer.
func (d *Dispatcher) mayHelp(active job.ActiveRow) bool {
	d.mu.Lock()
	latest := d.latest[active.Service]
	d.mu.Unlock()
	return !active.Cancelled && time.Since(latest) < helpAfter && d.capacity.Owns(active.Service)
}

// helpable returns a lot of the input that nobody has claimed yet: the last, since those preferred begin with the first.
func (d *Dispatcher) helpable(active job.ActiveRow, lots []job.LotRow) []job.LotRow {
	claimed := map[job.LotID]bool{}
	for _, lot := range lots {
		claimed[lot.ID] = true
	}
	for number := active.Lots - 1; number >= 0; number-- {
		if id := job.BaseLot(number); !claimed[id] {
			return []job.LotRow{
				{
					Lot: job.Lot{
						ID:    id,
						Input: job.InputObject(active.File, number),
					},
				},
			}
		}
	}
	return nil
}
