package dispatcher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/job"
)

// Members lists the processes that are alive.
type Members interface {
	Self() fleet.Member
	Alive(role fleet.Role) []fleet.Member
}

// Caller calls a net/rpc method of a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Canceller notifies every dispatcher of cancelled jobs.
type Canceller struct {
	members Members
	caller  Caller
	log     *slog.Logger
}

// NewCanceller returns a canceller.
func NewCanceller(members Members, caller Caller, log *slog.Logger) *Canceller {
	return &Canceller{
		members: members,
		caller:  caller,
		log:     log,
	}
}

const (
	// notifyTimeout bounds each notification and how long Cancel waits for all of them.
	notifyTimeout = time.Second
	// notifyRetryWindow is how long the notification of an unreachable dispatcher is retried.
	notifyRetryWindow = 30 * time.Second
	// notifyRetryPause is the pause between retries.
	notifyRetryPause = 500 * time.Millisecond
)

// Cancel notifies all dispatchers to stop a job whose cancellation is committed. It waits up to notifyTimeout for
// them to confirm; those that have not confirmed by then are retried in the background. A dispatcher that is never
// reached reads the cancellation from the table.
func (c *Canceller) Cancel(id job.ID) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyRetryWindow)
	notified := make(chan struct{})
	var notifications sync.WaitGroup
	for _, member := range c.members.Alive(fleet.RoleDispatcher) {
		notifications.Go(func() {
			c.notify(ctx, member, id)
		})
	}
	go func() {
		defer cancel()
		notifications.Wait()
		close(notified)
	}()
	timer := time.NewTimer(notifyTimeout)
	defer timer.Stop()
	select {
	case <-notified:
	case <-timer.C:
		c.log.Warn("not every dispatcher has confirmed the cancellation yet; retrying in the background", "job", id)
	}
}

// notify notifies a dispatcher, with retries until it confirms or ctx ends.
func (c *Canceller) notify(ctx context.Context, member fleet.Member, id job.ID) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
		err := c.caller.Call(callCtx, member.Address, MethodCancel, CancelArgs{
			Job: id,
		}, &struct{}{})
		cancel()
		if err == nil || !pause(ctx, notifyRetryPause) {
			return
		}
	}
}
