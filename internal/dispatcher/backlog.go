package dispatcher

import (
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/job"
)

const (
	// minBacklogPerSlot is the number of waiting items per slot of an endpoint, or per running item if more items run
	// than an endpoint has slots, below which a process claims more lots of a service.
	minBacklogPerSlot = 2
	// helpWindow is how long after the end of an item of a service this process may claim lots of the service for which
	// other processes are preferred.
	helpWindow = 5 * time.Second
)

// setTracked adds a run to those that the backlog counts, or removes it.
func (d *Dispatcher) setTracked(r *run, tracked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if tracked {
		d.runs[r] = true
		return
	}
	delete(d.runs, r)
}

// needsLots reports whether the items claimed for a service will soon be too few to fill its slots. Claiming no more
// than that leaves the other lots to other processes.
func (d *Dispatcher) needsLots(service document.ServiceName) bool {
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
	return waiting < minBacklogPerSlot*max(running, d.document.View().Services[service].Slots)
}

// backlog returns the number of unfinished items of the lot and how many of them are running.
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

// mayClaimUnpreferred reports whether this process may claim lots for which other processes are preferred: its
// endpoints have answered lately. The caller has checked that no lot is left for which this process is preferred.
func (d *Dispatcher) mayClaimUnpreferred(active job.ActiveRow) bool {
	d.mu.Lock()
	latest := d.lastItemEnd[active.Service]
	d.mu.Unlock()
	return !active.Cancelled && time.Since(latest) < helpWindow && d.capacity.Owns(active.Service)
}

// lastUnclaimed returns the last lot of the input that has never been claimed, since the preferred processes begin with
// the first.
func (d *Dispatcher) lastUnclaimed(active job.ActiveRow, lots []job.LotRow) []job.LotRow {
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
