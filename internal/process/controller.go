package process

import (
	"context"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/oklog/run"

	"rhubarbrudder/internal/controller"
	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/order"
	"rhubarbrudder/internal/settings"
)

// RunController runs a controller until ctx ends and all requests are answered.
func RunController(ctx context.Context, s settings.Settings, log *slog.Logger) error {
	ports := listenPorts{
		role:       fleet.RoleController,
		peerPort:   s.Ports.ControllerPeer,
		statusPort: s.Ports.ControllerStatus,
	}
	b, err := newBase(s, log, ports)
	if err != nil {
		return err
	}
	token, err := os.ReadFile(s.Peers.OperatorTokenFile)
	if err != nil {
		return startError(err)
	}
	server := controller.New(controller.Parts{
		Documents: b.follower,
		Store:     b.store,
		Members:   b.fleet,
		Directory: b.directory,
		Caller:    b.peers,
		Jobs:      b.jobs,
		Root:      document.Hash(strings.TrimSpace(string(token))),
		Log:       b.log,
	})
	b.status.AddCheck(server.Accepting)
	issuer := order.New(order.Parts{
		Table:    b.table,
		Document: b.follower,
		Members:  b.fleet,
		Caller:   b.peers,
		Limits:   order.DefaultLimits(time.Duration(s.Timing.SessionTerm), time.Duration(s.Timing.LongestOrder)),
		Notes:    b.notes,
		Log:      b.log,
	})
	b.fleet.OnList(issuer.Update)
	group := &run.Group{}
	if err := b.addCommon(ctx, group, ports); err != nil {
		return err
	}
	addLoop(group, issuer.Run)
	if err := b.addHTTPServer(group, s.VM.HostPort(s.Ports.Operator), server.Handler(), s.TLS.Operator); err != nil {
		return err
	}
	b.status.SetReady(true)
	b.log.Info("controller started", "address", s.VM.HostPort(s.Ports.Operator))
	err = group.Run()
	server.Wait()
	return err
}
