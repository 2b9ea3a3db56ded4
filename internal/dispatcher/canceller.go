package dispatcher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/job"
)

// Members lists the processes alive.
type Members interface {
	Self() fleet.Member
	Alive(role fleet.Role) []fleet.Member
}

// Caller calls a method of a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Canceller tells every dispatcher that a job was cancelled.
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
	// tellTimeout bounds how long the spreading of a cancellation is waited for.
	tellTimeout = time.Second
	// tellFor is how long a dispatcher that can't be reached is tried again.
	tellFor = 30 * time.Second
	// tellPause is the pause between tries.
	tellPause = 500 * time.Millisecond
)

// Cancel tells all dispatchers to stop a job whose cancellation is committed. It waits for those that answer soon
// and goes on trying the others by itself; the table tells them too.
func (c *Canceller) Cancel(id job.ID) {
	ctx, cancel := context.WithTimeout(context.Background(), tellFor)
	told := make(chan struct{})
	var tells sync.WaitGroup
	for _, member := range c.members.Alive(fleet.RoleDispatcher) {
		tells.Go(func() {
			c.tell(ctx, member, id)
		})
	}
	go func() {
		defer cancel()
		tells.Wait()
		close(told)
	}()
	timer := time.NewTimer(tellTimeout)
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
		c.log.Warn("cancellation not told to every dispatcher yet", "job", id)
	}
}

func (c *Canceller) tell(ctx context.Context, member fleet.Member, id job.ID) {
	for {
		call, cancel := context.WithTimeout(ctx, tellTimeout)
		err := c.caller.Call(call, member.Address, MethodCancel, CancelArgs{
			Job: id,
		}, &struct{}{})
		cancel()
		if err == nil || !pause(ctx, tellPause) {
			return
		}
	}
}
