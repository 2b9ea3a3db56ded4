package process

import (
	"context"
	"log/slog"
	"time"

	"github.com/oklog/run"

	"rhubarbrudder/internal/burn"
	"rhubarbrudder/internal/dispatcher"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/lease"
	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/steward"
)

// releaseTimeout bounds the release of the session at shutdown.
const releaseTimeout = 5 * time.Second

// RunDispatcher runs a dispatcher until ctx ends, its lots have stopped and its session, under which it holds its
// claims, is released.
func RunDispatcher(ctx context.Context, s settings.Settings, log *slog.Logger) error {
	ports := listenPorts{
		role:       fleet.RoleDispatcher,
		peerPort:   s.Ports.DispatcherPeer,
		statusPort: s.Ports.DispatcherStatus,
	}
	b, err := newBase(s, log, ports)
	if err != nil {
		return err
	}
	sender := endpoint.NewClient()
	// The steward grants batch work idle slots of the endpoints that this dispatcher owns.
	batchSteward := steward.New(b.directory, b.fleet, b.follower, sender, b.notes)
	b.directory.OnLeave(batchSteward.RevokeGrants)
	if err := b.server.Register("Steward", steward.NewService(batchSteward)); err != nil {
		return err
	}
	sessions := lease.New(b.table, string(s.VM.Name), time.Duration(s.Timing.SessionTerm), func() int {
		return len(b.fleet.Alive(fleet.RoleDispatcher))
	}, b.log)
	counters := burn.NewCounters(time.Now)
	b.jobs.OnEnded(counters.JobEnded)
	if err := b.server.Register("Burn", burn.NewService(counters)); err != nil {
		return err
	}
	store, err := newCountingStore(b.status.Meter(), b.jobs)
	if err != nil {
		return err
	}
	worker := dispatcher.New(dispatcher.Parts{
		Store:    store,
		Sessions: sessions,
		Capacity: batchSteward,
		Sender:   sender,
		Document: b.follower,
		Members:  b.fleet,
		Notes:    b.notes,
		Log:      b.log,
	})
	sessions.OnLost(worker.SessionLost)
	if err := b.server.Register("Dispatcher", dispatcher.NewService(worker)); err != nil {
		return err
	}
	group := &run.Group{}
	if err := b.addCommon(ctx, group, ports); err != nil {
		return err
	}
	addLoop(group, batchSteward.Run)
	addLoop(group, b.newSweeper().Run)
	addLoop(group, func(ctx context.Context) error {
		return runWithSession(ctx, sessions, worker)
	})
	b.status.SetReady(true)
	b.log.Info("dispatcher started")
	return group.Run()
}

// runWithSession runs the worker, and renews the session until the worker has stopped.
func runWithSession(ctx context.Context, sessions *lease.Sessions, worker *dispatcher.Dispatcher) error {
	sessionCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	sessionDone := make(chan struct{})
	go func() {
		defer close(sessionDone)
		_ = sessions.Run(sessionCtx)
	}()
	err := worker.Run(ctx)
	stop()
	<-sessionDone
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if releaseErr := sessions.Release(releaseCtx); err == nil {
		return releaseErr
	}
	return err
}

// newSweeper returns a sweeper for the jobs and files whose owner is this process. The owner is one of the live
// dispatchers, chosen by rendezvous hashing of the name.
func (b *base) newSweeper() *job.Sweeper {
	isOwner := func(name string) bool {
		owner, ok := fleet.Owner(b.fleet.Alive(fleet.RoleDispatcher), name)
		return ok && owner.ID() == b.self.ID()
	}
	retention := func() time.Duration {
		return time.Duration(b.follower.View().Policy.RetentionHours) * time.Hour
	}
	return job.NewSweeper(b.jobs, b.objects, isOwner, retention, b.log)
}
