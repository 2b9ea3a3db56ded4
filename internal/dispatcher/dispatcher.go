// Package dispatcher claims lots of batch jobs, runs their items in idle slots and stores the results.
package dispatcher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/explain"
	"rhubarbrudder/internal/fleet"
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
	Checkpoint(ctx context.Context, id job.ID, lot job.LotRow, progress job.Checkpoint) error
	Free(ctx context.Context, id job.ID, lot job.LotRow, progress job.Checkpoint, hop bool) error
	Complete(ctx context.Context, id job.ID, lot job.LotRow, results []job.Result) error
	Split(ctx context.Context, id job.ID, lot job.LotRow, results []job.Result, rest job.Checkpoint, keep bool) (job.LotRow, error)
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
	// Owns reports whether this process can be granted slots of the service at all.
	Owns(service document.ServiceName) bool
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
	members  Members
	notes    *explain.Recorder
	log      *slog.Logger
	wake     chan struct{}
	// board belongs to the goroutine of Run.
	board   *board
	mu      sync.Mutex
	held    map[lotKey]context.CancelFunc
	stopped map[job.ID]time.Time
	// stale are the jobs whose lots changed since they were listed.
	stale map[job.ID]bool
	// items counts the items that ended since the last scan.
	items map[document.ServiceName]int
	// latest is when an item of a service last ended here.
	latest map[document.ServiceName]time.Time
	runs   map[*run]bool
	active []job.ActiveRow
	pulse  pulse
	lots   sync.WaitGroup
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
	Members  Members
	// Notes may be nil.
	Notes *explain.Recorder
	Log   *slog.Logger
}

// New returns a dispatcher that holds nothing.
func New(parts Parts) *Dispatcher {
	d := &Dispatcher{
		store:    parts.Store,
		sessions: parts.Sessions,
		capacity: parts.Capacity,
		sender:   parts.Sender,
		document: parts.Document,
		members:  parts.Members,
		notes:    parts.Notes,
		log:      parts.Log,
		wake:     make(chan struct{}, 1),
		held:     map[lotKey]context.CancelFunc{},
		stopped:  map[job.ID]time.Time{},
		stale:    map[job.ID]bool{},
		items:    map[document.ServiceName]int{},
		latest:   map[document.ServiceName]time.Time{},
		runs:     map[*run]bool{},
	}
	d.board = newBoard(d.weight)
	return d
}

// weight returns an organisation's weight in fair shares.
func (d *Dispatcher) weight(id document.OrganisationID) float64 {
	if weight := d.document.View().Organisations[id].Weight; weight > 0 {
		return weight
	}
	return 1
}

// checkpointsPerSecond is how many checkpoints the dispatchers together store a second, at most.
const checkpointsPerSecond = 100

// checkpointPeriod is the policy's, longer where the fleet is so large that the object store could not take it.
func (d *Dispatcher) checkpointPeriod(policy document.Policy) time.Duration {
	lots := max(1, len(d.members.Alive(fleet.RoleDispatcher))) * mostLots
	return max(time.Duration(policy.CheckpointMilliseconds)*time.Millisecond, time.Duration(lots)*time.Second/checkpointsPerSecond)
}

// Run claims and runs lots until ctx ends, then hands back what is unfinished.
func (d *Dispatcher) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { d.beat(ctx) })
	loops.Go(func() { d.watch(ctx) })
	for {
		select {
		case <-ctx.Done():
			d.lots.Wait()
			loops.Wait()
			return nil
		case <-d.wake:
			d.scan(ctx)
		}
	}
}

// watch reads the active jobs each period, stops the cancelled ones and has the others scanned.
func (d *Dispatcher) watch(ctx context.Context) {
	ticker := time.NewTicker(scanPeriod)
	defer ticker.Stop()
	for {
		began := time.Now()
		active, err := d.store.Active(ctx)
		if err != nil && ctx.Err() == nil {
			d.log.Warn("jobs unreadable", "err", err)
		}
		if err == nil {
			d.cancelHeld(active)
			d.found(active)
		}
		// Nobody can cancel while the table is away: a failed look counts.
		d.looked(began)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// found takes the active jobs over for the next scan.
func (d *Dispatcher) found(active []job.ActiveRow) {
	d.mu.Lock()
	d.active = active
	d.mu.Unlock()
	d.wakeUp()
}

func (d *Dispatcher) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// ended has the job looked at soon: it may have been its last lot.
func (d *Dispatcher) ended(id job.ID) {
	d.mu.Lock()
	d.stale[id] = true
	d.mu.Unlock()
	d.wakeUp()
}

// itemEnded counts an item for the rate of its service.
func (d *Dispatcher) itemEnded(service document.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.items[service]++
	d.latest[service] = time.Now()
}

func (d *Dispatcher) note(id job.ID, decision string, facts ...explain.Fact) {
	d.notes.Note(explain.Subject(id), decision, facts...)
}

func (d *Dispatcher) prefers(active job.ActiveRow, lot job.Lot) bool {
	return d.capacity.Prefers(active.Service, lot.Name(active.Job))
}

func (d *Dispatcher) hold(key lotKey, cancel context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held[key] = cancel
}

func (d *Dispatcher) drop(key lotKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.held, key)
}

func (d *Dispatcher) holding() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.held)
}

func (d *Dispatcher) holds(key lotKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held[key] != nil
}

func (d *Dispatcher) holdsJob(id job.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key := range d.held {
		if key.job == id {
			return true
		}
	}
	return false
}

// SessionLost stops everything held: another process may run it now.
func (d *Dispatcher) SessionLost(lease.SessionID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, cancel := range d.held {
		cancel()
	}
}
