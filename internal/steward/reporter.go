package steward

import (
	"context"
	"maps"
	"sync"
	"time"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/fleet"
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
}

// Reporter is a tracker that tells stewards what its gateway has in flight.
type Reporter struct {
	Tracker
	members Members
	caller  Caller
	mu      sync.Mutex
	dirty   map[endpoint.ID]bool
	known   map[endpoint.ID]bool
	wake    chan struct{}
}

// NewReporter returns a reporter on the tracker.
func NewReporter(tracker Tracker, members Members, caller Caller) *Reporter {
	return &Reporter{
		Tracker: tracker,
		members: members,
		caller:  caller,
		dirty:   map[endpoint.ID]bool{},
		known:   map[endpoint.ID]bool{},
		wake:    make(chan struct{}, 1),
	}
}

// Start counts a request in and tells the steward soon.
func (r *Reporter) Start(id endpoint.ID, class request.Class) func() {
	done := r.Tracker.Start(id, class)
	r.mark(id)
	return func() {
		done()
		r.mark(id)
	}
}

func (r *Reporter) mark(id endpoint.ID) {
	r.mu.Lock()
	r.dirty[id] = true
	r.known[id] = true
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

const (
	// coalesce is how long changes are gathered before a report.
	coalesce = 10 * time.Millisecond
	// repeat is how often an unchanged count is reported again.
	repeat = 500 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 500 * time.Millisecond
)

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	ticker := time.NewTicker(repeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.markAll()
		case <-r.wake:
		}
		r.report(ctx)
		timer := time.NewTimer(coalesce)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

func (r *Reporter) markAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.Copy(r.dirty, r.known)
}

// report sends each dispatcher the counts of the endpoints that it is the steward of.
func (r *Reporter) report(ctx context.Context) {
	r.mu.Lock()
	dirty := r.dirty
	r.dirty = map[endpoint.ID]bool{}
	r.mu.Unlock()
	dispatchers := r.members.Alive(fleet.RoleDispatcher)
	reports := map[string]Report{}
	for id := range dirty {
		owner, ok := fleet.Owner(dispatchers, string(id))
		if !ok {
			continue
		}
		report, known := reports[owner.Address]
		if !known {
			report = Report{
				From:   r.members.Self().ID(),
				Online: map[endpoint.ID]int{},
			}
		}
		report.Online[id], _ = r.InFlight(id)
		reports[owner.Address] = report
	}
	for address, report := range reports {
		go r.send(ctx, address, report)
	}
}

func (r *Reporter) send(ctx context.Context, address string, report Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	// A lost report is made good by the next.
	_ = r.caller.Call(ctx, address, MethodReport, report, &struct{}{})
}
