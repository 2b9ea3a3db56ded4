// Package dispatcher claims lots of batch jobs, runs their items in idle slots and stores the results.
package dispatcher

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/explain"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/lease"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/steward"
)

// Store keeps jobs.
type Store interface {
	Active(ctx context.Context) ([]job.ActiveRow, error)
	Job(ctx context.Context, organisation document.OrganisationID, id job.ID) (job.Job, error)
	Lots(ctx context.Context, id job.ID) ([]job.LotRow, error)
	Claim(ctx context.Context, active job.ActiveRow, lot job.LotRow, session lease.SessionID) (job.LotRow, error)
	Progress(ctx context.Context, lot job.Lot) (job.Checkpoint, error)
	Save(ctx context.Context, id job.ID, lot job.LotRow, progress job.Checkpoint) (job.LotRow, error)
	Complete(ctx context.Context, id job.ID, lot job.LotRow, results []job.Result) error
	Finish(ctx context.Context, id job.ID) (bool, error)
	Items(ctx context.Context, lot job.Lot) ([]job.Item, error)
}

// Sessions is the own session and the fate of others'.
type Sessions interface {
	Own() (lease.SessionID, bool)
	Free(id lease.SessionID) bool
	Release(ctx context.Context) error
}

// Capacity grants idle slots.
type Capacity interface {
	Acquire(ctx context.Context, service document.ServiceName, avoid map[endpoint.ID]bool) (*steward.Grant, error)
	// Prefers reports whether the work of the name is best done by this process.
	Prefers(service document.ServiceName, name string) bool
}

// Sender sends a request to one endpoint.
type Sender interface {
	Send(ctx context.Context, target endpoint.Endpoint, r request.Request, body []byte) (*endpoint.Answer, error)
}

// Document is the view in force.
type Document interface {
	View() *document.View
}

// Dispatcher runs batch jobs.
type Dispatcher struct {
	store    Store
	sessions Sessions
	capacity Capacity
	sender   Sender
	document Document
	notes    *explain.Recorder
	log      *slog.Logger
	mu       sync.Mutex
	held     map[lotKey]context.CancelFunc
	lots     sync.WaitGroup
}

type lotKey struct {
	job job.ID
	lot job.LotID
}

// Parts is what a dispatcher depends on.
type Parts struct {
	Store    Store
	Sessions Sessions
	Capacity Capacity
	Sender   Sender
	Document Document
	// Notes may be nil.
	Notes *explain.Recorder
	Log   *slog.Logger
}

// New returns a dispatcher that holds nothing.
func New(parts Parts) *Dispatcher {
	return &Dispatcher{
		store:    parts.Store,
		sessions: parts.Sessions,
		capacity: parts.Capacity,
		sender:   parts.Sender,
		document: parts.Document,
		notes:    parts.Notes,
		log:      parts.Log,
		held:     map[lotKey]context.CancelFunc{},
	}
}

const (
	// scanPeriod is how often jobs are looked through for lots to claim.
	scanPeriod = 500 * time.Millisecond
	// mostLots is how many lots a dispatcher holds at once.
	mostLots = 4
)

// Run claims and runs lots until ctx ends, then hands back what is unfinished.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(scanPeriod)
	defer ticker.Stop()
	for {
		if err := d.scan(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn("jobs unreadable", "err", err)
		}
		select {
		case <-ctx.Done():
			d.lots.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Dispatcher) scan(ctx context.Context) error {
	active, err := d.store.Active(ctx)
	if err != nil {
		return err
	}
	d.cancelHeld(active)
	slices.SortFunc(active, func(a, b job.ActiveRow) int {
		return a.Due.Compare(b.Due)
	})
	for _, row := range active {
		if err := d.scanJob(ctx, row); err != nil && ctx.Err() == nil {
			d.log.Warn("job not scanned", "job", row.Job, "err", err)
		}
	}
	return nil
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
	for held, cancel := range d.held {
		if held.job == id {
			cancel()
		}
	}
}

// SessionLost stops everything held: another process may run it now.
func (d *Dispatcher) SessionLost(lease.SessionID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, cancel := range d.held {
		cancel()
	}
}

func (d *Dispatcher) scanJob(ctx context.Context, active job.ActiveRow) error {
	lots, err := d.store.Lots(ctx, active.Job)
	if err != nil {
		return err
	}
	for _, lot := range d.claimable(active, lots) {
		if d.holding() >= mostLots && !active.Cancelled {
			return nil
		}
		d.claim(ctx, active, lot)
	}
	if _, err := d.store.Finish(ctx, active.Job); err != nil {
		return err
	}
	return nil
}

func (d *Dispatcher) holding() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.held)
}

// claimable returns the lots that nobody holds and that this dispatcher is preferred for.
func (d *Dispatcher) claimable(active job.ActiveRow, lots []job.LotRow) []job.LotRow {
	var free []job.LotRow
	seen := map[job.LotID]bool{}
	for _, lot := range lots {
		seen[lot.ID] = true
		abandoned := lot.State == job.LotClaimed && d.sessions.Free(lot.Session)
		if abandoned || lot.State == job.LotFree && !active.Cancelled {
			free = append(free, lot)
		}
	}
	for number := 0; number < active.Lots && !active.Cancelled; number++ {
		if id := job.BaseLot(number); !seen[id] {
			free = append(free, job.LotRow{
				Lot: job.Lot{
					ID:    id,
					Input: job.InputObject(active.File, number),
				},
			})
		}
	}
	return slices.DeleteFunc(free, func(lot job.LotRow) bool {
		return !d.capacity.Prefers(active.Service, string(active.Job)+string(lot.ID))
	})
}

func (d *Dispatcher) claim(ctx context.Context, active job.ActiveRow, lot job.LotRow) {
	session, ok := d.sessions.Own()
	if !ok || ctx.Err() != nil {
		return
	}
	claimed, err := d.store.Claim(ctx, active, lot, session)
	if err != nil {
		if !errors.Is(err, job.ErrFenced) {
			d.log.Warn("lot not claimed", "job", active.Job, "lot", lot.ID, "err", err)
		}
		return
	}
	d.notes.Note(explain.Subject(active.Job), "lot claimed", explain.Fact{
		Name:  "lot",
		Value: string(lot.ID),
	})
	d.log.Info("lot claimed", "job", active.Job, "lot", lot.ID, "claim", claimed.Claim)
	lotCtx, cancel := context.WithCancel(ctx)
	key := lotKey{
		job: active.Job,
		lot: lot.ID,
	}
	d.mu.Lock()
	d.held[key] = cancel
	d.mu.Unlock()
	if active.Cancelled {
		cancel()
	}
	d.lots.Go(func() {
		defer cancel()
		d.runLot(lotCtx, active, claimed)
		d.mu.Lock()
		delete(d.held, key)
		d.mu.Unlock()
	})
}
