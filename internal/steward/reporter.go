package steward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/request"
)

// Caller calls a method of a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Tracker counts what is in flight at endpoints.
type Tracker interface {
	Start(id endpoint.ID, class request.Class) func()
	Failed(id endpoint.ID)
	Succeeded(id endpoint.ID)
	InFlight(id endpoint.ID) (online, batch int)
	// SetFleetLoad takes in what the fleet had at an endpoint when this process reported a count of its own.
	SetFleetLoad(id endpoint.ID, own int, load endpoint.FleetLoad)
}

// Reporter is a tracker that tells stewards what its gateway has in flight.
type Reporter struct {
	Tracker
	owners   *ownership
	caller   Caller
	from     uint64
	sequence atomic.Uint64
	sent     atomic.Uint64
	mu       sync.Mutex
	dirty    map[endpoint.ID]bool
	busy     map[endpoint.ID]bool
	// seen are the endpoints that requests went to, which are asked about in turn.
	seen []endpoint.ID
	next int
	// shared are the endpoints that batch had slots of at the last report.
	shared map[endpoint.ID]bool
	wake   chan struct{}
	urgent chan struct{}
}

// NewReporter returns a reporter on the tracker.
func NewReporter(tracker Tracker, directory Directory, members Members, caller Caller) *Reporter {
	return &Reporter{
		Tracker: tracker,
		owners:  newOwnership(directory, members),
		caller:  caller,
		from:    rand.Uint64(),
		dirty:   map[endpoint.ID]bool{},
		busy:    map[endpoint.ID]bool{},
		shared:  map[endpoint.ID]bool{},
		wake:    make(chan struct{}, 1),
		urgent:  make(chan struct{}, 1),
	}
}

// Start counts a request in and tells the steward soon.
func (r *Reporter) Start(id endpoint.ID, class request.Class) func() {
	done := r.Tracker.Start(id, class)
	r.mark(id)
	if r.isShared(id) {
		signal(r.urgent)
	}
	return func() {
		done()
		r.mark(id)
	}
}

func (r *Reporter) mark(id endpoint.ID) {
	r.mu.Lock()
	r.dirty[id] = true
	if !slices.Contains(r.seen, id) {
		r.seen = append(r.seen, id)
	}
	r.mu.Unlock()
	signal(r.wake)
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// isShared reports whether batch may be in the way of a request to the endpoint.
func (r *Reporter) isShared(id endpoint.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shared[id]
}

func (r *Reporter) setShared(id endpoint.ID, shared bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if shared {
		r.shared[id] = true
		return
	}
	delete(r.shared, id)
}

const (
	// coalesce is how long changes are gathered after a report.
	coalesce = 10 * time.Millisecond
	// urgentCoalesce is how long changes are gathered when batch may be in the way of a request.
	urgentCoalesce = time.Millisecond
	// repeat is how often a count that is not zero is reported again.
	repeat = 500 * time.Millisecond
	// askedEach is how many endpoints a report asks about beside those whose count changed.
	askedEach = 1
	// mostAsked is the most endpoints that are asked about in turn: with more, an answer is old before it is used.
	mostAsked = 16
	// reportTimeout bounds one report.
	reportTimeout = 500 * time.Millisecond
)

// Run reports until ctx ends: the first change at once, further ones after a pause, which is short
// for requests to endpoints that batch has slots of.
func (r *Reporter) Run(ctx context.Context) error {
	ticker := time.NewTicker(repeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.markBusy()
		case <-r.wake:
		}
		r.report(ctx)
		r.gather(ctx)
	}
}

// gather waits for further changes: a while, or only shortly if batch may be in the way of a request.
func (r *Reporter) gather(ctx context.Context) {
	timer := time.NewTimer(coalesce)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.urgent:
		timer.Reset(urgentCoalesce)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
}

func (r *Reporter) markBusy() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.busy {
		r.dirty[id] = true
	}
}

// report sends each dispatcher the counts of the endpoints that it is the steward of.
func (r *Reporter) report(ctx context.Context) {
	for address, report := range r.reports() {
		go r.send(ctx, address, report)
	}
}

func (r *Reporter) reports() map[string]Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := map[string]Report{}
	sequence := r.sequence.Add(1)
	r.askInTurn()
	for id := range r.dirty {
		online, _ := r.InFlight(id)
		if online > 0 {
			r.busy[id] = true
		} else {
			delete(r.busy, id)
		}
		if _, serving := r.owners.directory.Find(id); !serving && online == 0 {
			delete(r.shared, id)
			r.seen = slices.DeleteFunc(r.seen, func(seen endpoint.ID) bool { return seen == id })
		}
		owner, ok := r.owners.ownerOf(id)
		if !ok {
			continue
		}
		report, known := reports[owner]
		if !known {
			report = Report{
				From:     r.from,
				Sequence: sequence,
				Online:   map[endpoint.ID]int{},
			}
		}
		report.Online[id] = online
		reports[owner] = report
	}
	clear(r.dirty)
	return reports
}

// askInTurn adds endpoints to the report whose fleet-wide load may be old, so that the next choice knows it.
func (r *Reporter) askInTurn() {
	if len(r.dirty) == 0 || len(r.seen) > mostAsked {
		return
	}
	for range min(askedEach, len(r.seen)) {
		r.next = (r.next + 1) % len(r.seen)
		r.dirty[r.seen[r.next]] = true
	}
}

func (r *Reporter) send(ctx context.Context, address string, report Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r.sent.Add(1)
	var reply ReportReply
	if err := r.caller.Call(ctx, address, MethodReport, report, &reply); err != nil {
		// A lost report is made good by the next; a lost zero runs out at the steward.
		return
	}
	for id, load := range reply.Fleet {
		r.SetFleetLoad(id, report.Online[id], load)
		r.setShared(id, load.Batch > 0)
	}
}

// Sent returns how many reports were sent.
func (r *Reporter) Sent() uint64 {
	return r.sent.Load()
}
