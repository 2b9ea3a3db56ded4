package process

import (
	"context"
	"log/slog"
	"time"

	"github.com/oklog/run"

	"rhubarbrudder/internal/burn"
	"rhubarbrudder/internal/call"
	"rhubarbrudder/internal/dispatcher"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/gateway"
	"rhubarbrudder/internal/organisation"
	"rhubarbrudder/internal/queue"
	"rhubarbrudder/internal/router"
	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/steward"
)

// storeTimeout bounds the time to store the answers of finished calls at shutdown.
const storeTimeout = time.Minute

// RunGateway runs a gateway until ctx ends and all requests are answered.
func RunGateway(ctx context.Context, s settings.Settings, log *slog.Logger) error {
	ports := listenPorts{
		role:       fleet.RoleGateway,
		peerPort:   s.Ports.GatewayPeer,
		statusPort: s.Ports.GatewayStatus,
	}
	b, err := newBase(s, log, ports)
	if err != nil {
		return err
	}
	tracker := endpoint.NewTracker()
	reporter := steward.NewReporter(tracker, b.directory, b.fleet, b.peers)
	picker := endpoint.NewPicker(b.directory, tracker, b.fleet)
	counters := burn.NewCounters(time.Now)
	if err := b.server.Register("Burn", burn.NewService(counters)); err != nil {
		return err
	}
	observer, err := newFirstTokenHistogram(b.status.Meter(), counters)
	if err != nil {
		return err
	}
	stall := router.StallTimeouts{
		First:   time.Duration(s.Timing.FirstToken),
		Between: time.Duration(s.Timing.Token),
	}
	calls, err := newCalls(b)
	if err != nil {
		return err
	}
	requestRouter := router.New(picker, endpoint.NewClient(), reporter, stall, b.notes, b.log)
	limiter := organisation.NewLimiter(b.fleet, b.peers, organisation.NewLedger(organisation.LeaseTerm, time.Now))
	if err := b.server.Register("Limit", organisation.NewService(limiter)); err != nil {
		return err
	}
	waitQueue := queue.New(queue.NewSlots(b.directory, tracker, b.fleet, b.follower))
	server := gateway.New(gateway.Parts{
		Document:  b.follower,
		Members:   b.fleet,
		Router:    burn.NewMeasuredRouter(requestRouter, b.follower, observer),
		Jobs:      b.jobs,
		Canceller: dispatcher.NewCanceller(b.fleet, b.peers, b.log),
		Calls:     calls,
		Queue:     burn.NewMeasuredQueue(waitQueue, observer),
		Limiter:   burn.NewMeasuredLimiter(limiter, observer),
		Timeouts: gateway.Timeouts{
			Body:  time.Duration(s.Timing.Body),
			Write: time.Duration(s.Timing.Write),
		},
		Notes: b.notes,
		Log:   b.log,
	})
	group := &run.Group{}
	if err := b.addCommon(ctx, group, ports); err != nil {
		return err
	}
	addLoop(group, reporter.Run)
	addLoop(group, waitQueue.Run)
	addLoop(group, limiter.Run)
	if err := b.addHTTPServer(group, s.VM.HostPort(s.Ports.Caller), burn.TrackQueueWait(server.Handler()), s.TLS.Caller); err != nil {
		return err
	}
	b.status.SetReady(true)
	b.log.Info("gateway started", "address", s.VM.HostPort(s.Ports.Caller))
	if err := group.Run(); err != nil {
		return err
	}
	storeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	calls.Wait(storeCtx)
	return nil
}

// newCalls returns the gateway's calls and registers the service by which other processes query their state.
func newCalls(b *base) (*call.Calls, error) {
	calls := call.New(b.table, b.objects, b.peers, call.Owner{
		Member:  b.self.ID(),
		Address: b.self.Address,
	}, b.log)
	return calls, b.server.Register("Call", call.NewService(calls))
}
