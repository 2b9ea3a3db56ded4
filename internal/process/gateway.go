package process

import (
	"context"
	"log/slog"

	"github.com/oklog/run"

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
	reporter := steward.NewReporter(tracker, b.directory, b.fleet, b.peers)
	picker := endpoint.NewPicker(b.directory, tracker, b.fleet)
	served := gateway.New(gateway.Parts{
		Document: b.follower,
		Members:  b.fleet,
		Router:   router.New(picker, endpoint.NewClient(), reporter, b.notes, b.log),
		Jobs:     b.jobs,
		Limiter:  organisation.NewLimiter(),
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
