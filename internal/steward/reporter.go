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

// Tracker counts the requests in flight at endpoints.
type Tracker interface {
	Start(id endpoint.ID, class request.Class) func()
	Failed(id endpoint.ID)
	Succeeded(id endpoint.ID)
	InFlight(id endpoint.ID) (online, batch int)
	// SetFleetLoad records the load of all processes at an endpoint; own is the part that this process reported.
	SetFleetLoad(id endpoint.ID, own int, load endpoint.FleetLoad)
}

// Reporter is a tracker that reports to stewards how many online requests its gateway has in flight.
type Reporter struct {
	Tracker
	ownership *ownership
	caller    Caller
	// from is the random number that identifies this process in its reports.
	from     uint64
	sequence atomic.Uint64
	// sent counts the reports sent.
	sent atomic.Uint64
	// mu guards the fields from dirty to batchShared.
	mu sync.Mutex
	// dirty holds the endpoints to be included in the next report.
	dirty map[endpoint.ID]bool
	// busy holds the endpoints whose last reported count was above zero.
	busy map[endpoint.ID]bool
	// used lists the endpoints that requests were sent to. Reports poll their load in turn.
	used []endpoint.ID
	// lastPolled is the index in used of the endpoint that was polled last.
	lastPolled int
	// batchShared holds the endpoints at which batch work held slots at the last report.
	batchShared map[endpoint.ID]bool
	// wake signals a change, urgent a request to an endpoint in batchShared.
	wake   chan struct{}
	urgent chan struct{}
}

// NewReporter returns a reporter on the tracker.
func NewReporter(tracker Tracker, directory Directory, members Members, caller Caller) *Reporter {
	return &Reporter{
		Tracker:     tracker,
		ownership:   newOwnership(directory, members),
		caller:      caller,
		from:        rand.Uint64(),
		dirty:       map[endpoint.ID]bool{},
		busy:        map[endpoint.ID]bool{},
		batchShared: map[endpoint.ID]bool{},
		wake:        make(chan struct{}, 1),
		urgent:      make(chan struct{}, 1),
	}
}

// Start counts a request as in flight until the returned function is called, and wakes the reporter.
func (r *Reporter) Start(id endpoint.ID, class request.Class) func() {
	done := r.Tracker.Start(id, class)
	r.markDirty(id)
	if r.isBatchShared(id) {
		signal(r.urgent)
	}
	return func() {
		done()
		r.markDirty(id)
	}
}

// markDirty includes an endpoint in the next report and wakes the reporter.
func (r *Reporter) markDirty(id endpoint.ID) {
	r.mu.Lock()
	r.dirty[id] = true
	if !slices.Contains(r.used, id) {
		r.used = append(r.used, id)
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

// isBatchShared reports whether batch work held slots of the endpoint at the last report. A request to the endpoint may
// need one of them.
func (r *Reporter) isBatchShared(id endpoint.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.batchShared[id]
}

func (r *Reporter) setBatchShared(id endpoint.ID, shared bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if shared {
		r.batchShared[id] = true
		return
	}
	delete(r.batchShared, id)
}

const (
	// coalesceDelay is how long changes are collected after a report.
	coalesceDelay = 10 * time.Millisecond
	// urgentCoalesceDelay is used instead after a request to an endpoint in batchShared.
	urgentCoalesceDelay = time.Millisecond
	// repeatPeriod is how often a count above zero is reported again.
	repeatPeriod = 500 * time.Millisecond
	// polledPerReport is the number of endpoints that a report includes only to get their load in the reply, in addition
	// to those whose count has changed.
	polledPerReport = 1
	// maxPolled is the number of endpoints above which none is polled: with more, a reply would be outdated before it is
	// used.
	maxPolled = 16
	// reportTimeout bounds one report.
	reportTimeout = 500 * time.Millisecond
)

// Run sends reports until ctx is done. The first change is reported at once, further ones after a delay, which is short
// for requests to endpoints at which batch work holds slots.
func (r *Reporter) Run(ctx context.Context) error {
	ticker := time.NewTicker(repeatPeriod)
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
		r.coalesce(ctx)
	}
}

// coalesce waits for further changes, for coalesceDelay or, after a request to an endpoint in batchShared, only
// for urgentCoalesceDelay.
func (r *Reporter) coalesce(ctx context.Context) {
	timer := time.NewTimer(coalesceDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.urgent:
		timer.Reset(urgentCoalesceDelay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
}

// markBusy includes the endpoints with online requests in flight in the next report.
func (r *Reporter) markBusy() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.busy {
		r.dirty[id] = true
	}
}

// report sends to each steward the counts of its endpoints.
func (r *Reporter) report(ctx context.Context) {
	for address, report := range r.reports() {
		go r.send(ctx, address, report)
	}
}

// reports returns the next reports by the addresses of the stewards, and empties dirty.
func (r *Reporter) reports() map[string]Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := map[string]Report{}
	sequence := r.sequence.Add(1)
	r.pollInTurn()
	for id := range r.dirty {
		online, _ := r.InFlight(id)
		if online > 0 {
			r.busy[id] = true
		} else {
			delete(r.busy, id)
		}
		// An endpoint that takes no new work and is idle is not polled any more.
		if _, serving := r.ownership.directory.Find(id); !serving && online == 0 {
			delete(r.batchShared, id)
			r.used = slices.DeleteFunc(r.used, func(used endpoint.ID) bool { return used == id })
		}
		steward, ok := r.ownership.stewardOf(id)
		if !ok {
			continue
		}
		report, known := reports[steward]
		if !known {
			report = Report{
				From:     r.from,
				Sequence: sequence,
				Online:   map[endpoint.ID]int{},
			}
		}
		report.Online[id] = online
		reports[steward] = report
	}
	clear(r.dirty)
	return reports
}

// pollInTurn adds endpoints whose known load may be outdated to the next report, so that the reply refreshes it. It adds
// none if there is nothing else to report. The caller must hold r.mu.
func (r *Reporter) pollInTurn() {
	if len(r.dirty) == 0 || len(r.used) > maxPolled {
		return
	}
	for range min(polledPerReport, len(r.used)) {
		r.lastPolled = (r.lastPolled + 1) % len(r.used)
		r.dirty[r.used[r.lastPolled]] = true
	}
}

func (r *Reporter) send(ctx context.Context, address string, report Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r.sent.Add(1)
	var reply ReportReply
	if err := r.caller.Call(ctx, address, MethodReport, report, &reply); err != nil {
		// The next report replaces a lost one. If the lost count was zero, the last count expires at the steward.
		return
	}
	for id, load := range reply.Fleet {
		r.SetFleetLoad(id, report.Online[id], load)
		r.setBatchShared(id, load.Batch > 0)
	}
}

// Sent returns the number of reports sent.
func (r *Reporter) Sent() uint64 {
	return r.sent.Load()
}
