// Package dispatcher claims lots of batch jobs, runs their items in idle slots and stores the results.
//
// A lot is a part of a job's input file and the unit that a process claims. The slots are granted by stewards: the
// steward of an endpoint is the process that decides which of its slots batch work may use.
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

// Store reads and writes jobs, lots and results.
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

// Sessions returns this process's session and reports whether the claims of other sessions may be taken over.
type Sessions interface {
	Own() (lease.SessionID, bool)
	IsFree(id lease.SessionID) bool
	Release(ctx context.Context) error
}

// Capacity grants idle slots.
type Capacity interface {
	Acquire(ctx context.Context, service document.ServiceName, avoid map[endpoint.ID]bool) (*steward.Grant, error)
	// Prefers reports whether this process is the preferred one for the work with the name.
	Prefers(service document.ServiceName, name string) bool
	// Owns reports whether this process can be granted any slots of the service.
	Owns(service document.ServiceName) bool
}

// Sender sends a request to one endpoint.
type Sender interface {
	Send(ctx context.Context, target endpoint.Endpoint, r request.Request, body []byte) (*endpoint.Answer, error)
}

// Document returns the current view of the configuration document.
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
	// wake starts a scan.
	wake chan struct{}
	// queue is used only by the goroutine of Run.
	queue *jobQueue
	// mu guards the fields from held to freezeDetector.
	mu sync.Mutex
	// held has the lots that this process holds, each with the latest run that works on it.
	held map[lotKey]*run
	// cancelled has the cancelled jobs, each with the time at which this process learned of the cancellation.
	cancelled map[job.ID]time.Time
	// stale has the jobs whose lots must be listed again: work on one of their lots has ended, or the last listing or the
	// finishing of the job failed.
	stale map[job.ID]bool
	// endedItems counts the items that have ended since the last scan.
	endedItems map[document.ServiceName]int
	// lastItemEnd is the time at which an item of the service last ended in this process.
	lastItemEnd map[document.ServiceName]time.Time
	// runs has the runs that the backlog counts.
	runs map[*run]bool
	// active is the result of the latest read of the active jobs.
	active         []job.ActiveRow
	freezeDetector freezeDetector
	// lotRuns counts the runs in progress, for shutdown.
	lotRuns sync.WaitGroup
}

type lotKey struct {
	job job.ID
	lot job.LotID
}

// Parts holds the dependencies of a dispatcher.
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

// New returns a dispatcher that holds no lots.
func New(parts Parts) *Dispatcher {
	d := &Dispatcher{
		store:       parts.Store,
		sessions:    parts.Sessions,
		capacity:    parts.Capacity,
		sender:      parts.Sender,
		document:    parts.Document,
		members:     parts.Members,
		notes:       parts.Notes,
		log:         parts.Log,
		wake:        make(chan struct{}, 1),
		held:        map[lotKey]*run{},
		cancelled:   map[job.ID]time.Time{},
		stale:       map[job.ID]bool{},
		endedItems:  map[document.ServiceName]int{},
		lastItemEnd: map[document.ServiceName]time.Time{},
		runs:        map[*run]bool{},
	}
	d.queue = newJobQueue(d.weight)
	return d
}

// weight returns an organisation's weight in the fair queue, 1 by default.
func (d *Dispatcher) weight(id document.OrganisationID) float64 {
	if weight := d.document.View().Organisations[id].Weight; weight > 0 {
		return weight
	}
	return 1
}

// checkpointsPerSecond bounds how many checkpoints all dispatchers together store per second.
const checkpointsPerSecond = 100

// checkpointPeriod returns the policy's checkpoint period, or a longer one if so many dispatchers are alive that they
// would exceed checkpointsPerSecond and overload the object store.
func (d *Dispatcher) checkpointPeriod(policy document.Policy) time.Duration {
	lots := max(1, len(d.members.Alive(fleet.RoleDispatcher))) * maxHeldLots
	return max(time.Duration(policy.CheckpointMilliseconds)*time.Millisecond, time.Duration(lots)*time.Second/checkpointsPerSecond)
}

// Run claims and runs lots until ctx ends. It frees the unfinished lots for other processes before it returns.
func (d *Dispatcher) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { d.detectFreezes(ctx) })
	loops.Go(func() { d.watch(ctx) })
	for {
		select {
		case <-ctx.Done():
			d.lotRuns.Wait()
			loops.Wait()
			return nil
		case <-d.wake:
			d.scan(ctx)
		}
	}
}

// watch reads the active jobs every scanPeriod, stops the cancelled ones and wakes the scan for the others.
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
			d.stopCancelled(active)
			d.setActive(active)
		}
		// A failed read counts as a check too: no job can be cancelled while the table is unavailable.
		d.cancellationsChecked(began)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// setActive sets the active jobs for the next scan.
func (d *Dispatcher) setActive(active []job.ActiveRow) {
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

// markStale marks a job for listing in the next scan after work on one of its lots has ended, since it may have
// been the last lot.
func (d *Dispatcher) markStale(id job.ID) {
	d.mu.Lock()
	d.stale[id] = true
	d.mu.Unlock()
	d.wakeUp()
}

// itemEnded counts an ended item for the throughput of its service.
func (d *Dispatcher) itemEnded(service document.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endedItems[service]++
	d.lastItemEnd[service] = time.Now()
}

func (d *Dispatcher) note(id job.ID, decision string, facts ...explain.Fact) {
	d.notes.Note(explain.Subject(id), decision, facts...)
}

// capacityPrefers reports whether this process is preferred for the lot, as the steward of the endpoint that the lot's
// placement key selects. isPreferred also covers cancelled jobs.
func (d *Dispatcher) capacityPrefers(active job.ActiveRow, lot job.Lot) bool {
	return d.capacity.Prefers(active.Service, lot.PlacementKey(active.Job))
}

func (d *Dispatcher) addHeld(key lotKey, r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held[key] = r
}

// removeHeld removes a lot that the run has held, unless the lot has been claimed again meanwhile. A run whose claim was
// taken over with its session may end after the next one has begun.
func (d *Dispatcher) removeHeld(key lotKey, r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held[key] == r {
		delete(d.held, key)
	}
}

func (d *Dispatcher) heldCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.held)
}

func (d *Dispatcher) isHeld(key lotKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held[key] != nil
}

func (d *Dispatcher) holdsLotOf(id job.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key := range d.held {
		if key.job == id {
			return true
		}
	}
	return false
}

// SessionLost stops the work on all held lots, since other processes may have claimed them.
func (d *Dispatcher) SessionLost(lease.SessionID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.held {
		r.stopWork()
	}
}
