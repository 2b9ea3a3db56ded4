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

// releaseTimeout bounds the end of the session at shutdown.
const releaseTimeout = 5 * time.Second

// RunDispatcher runs a dispatcher until ctx ends and what it holds is handed back.
func RunDispatcher(ctx context.Context, s settings.Settings, log *slog.Logger) error {
	at := place{
		role:       fleet.RoleDispatcher,
		peerPort:   s.Ports.DispatcherPeer,
		statusPort: s.Ports.DispatcherStatus,
	}
	b, err := newBase(s, log, at)
	if err != nil {
		return err
	}
	sender := endpoint.NewClient()
	stewards := steward.New(b.directory, b.fleet, b.follower, sender, b.notes)
	b.directory.OnLeave(stewards.RevokeGrants)
	if err := b.server.Register("Steward", steward.NewService(stewards)); err != nil {
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
	counted, err := newCountedJobs(b.status.Meter(), b.jobs)
	if err != nil {
		return err
	}
	worker := dispatcher.New(dispatcher.Parts{
		Store:    counted,
		Sessions: sessions,
		Capacity: stewards,
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
	if err := b.common(ctx, group, at); err != nil {
		return err
	}
	add(group, stewards.Run)
	add(group, b.sweeper().Run)
	add(group, func(ctx context.Context) error {
		return runWithSession(ctx, sessions, worker)
	})
	b.status.SetReady(true)
	b.log.Info("dispatcher started")
	return group.Run()
}

// runWithSession keeps the session until the worker has handed everything back.
func runWithSession(ctx context.Context, sessions *lease.Sessions, worker *dispatcher.Dispatcher) error {
	keep, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		_ = sessions.Run(keep)
	}()
	err := worker.Run(ctx)
	stop()
	<-kept
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if releaseErr := sessions.Release(release); err == nil {
		return releaseErr
	}
	return err
}

// sweeper returns the sweeper of what this process is chosen for.
func (b *base) sweeper() *job.Sweeper {
	mine := func(name string) bool {
		owner, ok := fleet.Owner(b.fleet.Alive(fleet.RoleDispatcher), name)
		return ok && owner.ID() == b.self.ID()
	}
	retention := func() time.Duration {
		return time.Duration(b.follower.View().Policy.RetentionHours) * time.Hour
	}
	return job.NewSweeper(b.jobs, b.objects, mine, retention, b.log)
}
