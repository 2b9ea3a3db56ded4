package process

import (
	"context"
	"log/slog"
	"time"

	"github.com/oklog/run"

	"rhubarbrudder/internal/burn"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/gateway"
	"rhubarbrudder/internal/organisation"
	"rhubarbrudder/internal/router"
	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/steward"
)

// RunGateway runs a gateway until ctx ends and every request is answered.
func RunGateway(ctx context.Context, s settings.Settings, log *slog.Logger) error {
	at := place{
		role:       fleet.RoleGateway,
		peerPort:   s.Ports.GatewayPeer,
		statusPort: s.Ports.GatewayStatus,
	}
	b, err := newBase(s, log, at)
	if err != nil {
		return err
	}
	tracker := endpoint.NewTracker()
	reporter := steward.NewReporter(tracker, b.fleet, b.peers)
	picker := endpoint.NewPicker(b.directory, tracker, s.VM.FailureDomain)
	counters := burn.NewCounters(time.Now)
	if err := b.server.Register("Burn", burn.NewService(counters)); err != nil {
		return err
	}
	observer, err := newFirstTokens(b.status.Meter(), counters)
	if err != nil {
		return err
	}
	routes := router.New(picker, endpoint.NewClient(), reporter, b.notes, b.log)
	served := gateway.New(gateway.Parts{
		Document: b.follower,
		Members:  b.fleet,
		Router:   burn.NewWatch(routes, b.follower, observer),
		Jobs:     b.jobs,
		Limiter:  burn.NewWatchLimiter(organisation.NewLimiter(), observer),
		Log:      b.log,
	})
	group := &run.Group{}
	if err := b.common(ctx, group, at); err != nil {
		return err
	}
	add(group, reporter.Run)
	if err := b.serveHTTP(group, s.VM.Join(s.Ports.Caller), served.Handler()); err != nil {
		return err
	}
	b.status.SetReady(true)
	b.log.Info("gateway started", "address", s.VM.Join(s.Ports.Caller))
	return group.Run()
}
