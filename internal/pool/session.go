package pool

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// runSession keeps a session with a steward until it fails or a higher-ranked steward is available.
func (c *Client) runSession(ctx context.Context, steward Member) error {
	session := SessionID(rand.Uint64())
	full := c.fullUpdate(session, steward.VM)
	if err := c.sendUpdate(ctx, steward, full); err != nil {
		if steward.VM == c.self.VM {
			// This VM can't be the steward, usually because it is still loading the endpoints. Without the pause, Run
			// would try again at once, as elect falls back to this VM when no other one answers.
			pause(ctx, notReadyFor)
		}
		return err
	}
	c.log.Info("steward chosen", "service", c.service, "steward", steward.VM, "held", len(full.Held), "asks", len(full.Asks))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var listening sync.WaitGroup
	listening.Go(func() {
		c.listen(ctx, cancel, steward, full.From)
	})
	defer listening.Wait()
	err := c.sendUpdates(ctx, steward, full.From)
	cancel(err)
	return err
}

// sendUpdates sends changes to the steward as they occur. It returns nil if it ended the session because a higher-ranked
// steward is available.
func (c *Client) sendUpdates(ctx context.Context, steward Member, from Sender) error {
	better := make(chan struct{})
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go c.watchRanking(ctx, steward, better)
	check := time.NewTimer(waitingCheckPeriod)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-better:
			c.leave(ctx, steward, from)
			return nil
		case <-c.wake:
		case <-check.C:
			if !c.onlineWaits() {
				continue
			}
		}
		if err := c.sendUpdate(ctx, steward, c.nextUpdate(from)); err != nil {
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			return err
		}
		if c.onlineWaits() {
			check.Reset(waitingCheckPeriod)
		}
	}
}

// onlineWaits reports whether an online request waits for a slot.
func (c *Client) onlineWaits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.Class == ClassOnline && !r.granted {
			return true
		}
	}
	return false
}

// leave ends the session at the steward.
func (c *Client) leave(ctx context.Context, steward Member, from Sender) {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	if err := c.call(ctx, steward, MethodLeave, LeaveArgs{From: from}, &Reply{}); err != nil {
		c.log.Info("steward not notified of the end of the session", "service", c.service, "steward", steward.VM, "err", err)
	}
}

// listen calls Listen at the steward repeatedly and applies the outcomes; it cancels the session if a call fails.
func (c *Client) listen(ctx context.Context, cancel context.CancelCauseFunc, steward Member, from Sender) {
	for ctx.Err() == nil {
		var reply Reply
		callCtx, cancelCall := context.WithTimeout(ctx, listenWait+callSlack)
		err := c.call(callCtx, steward, MethodListen, ListenArgs{
			From: from,
			Wait: listenWait,
		}, &reply)
		cancelCall()
		if err == nil {
			err = c.applyReply(from.Session, reply)
		}
		if err != nil {
			cancel(err)
			return
		}
	}
}

// sendUpdate sends an update to the steward and applies the reply.
func (c *Client) sendUpdate(ctx context.Context, steward Member, args UpdateArgs) error {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	var reply Reply
	if err := c.call(ctx, steward, MethodUpdate, args, &reply); err != nil {
		return err
	}
	return c.applyReply(args.From.Session, reply)
}

// call calls a method of a steward; a steward on this VM is called directly, without the network.
func (c *Client) call(ctx context.Context, steward Member, method string, args any, reply *Reply) error {
	if steward.VM != c.self.VM {
		return c.caller.Call(ctx, steward.Address, method, args, reply)
	}
	switch a := args.(type) {
	case UpdateArgs:
		return c.local.Tell(a, reply)
	case ListenArgs:
		return c.local.Listen(a, reply)
	case LeaveArgs:
		return c.local.Leave(a, reply)
	case PingArgs:
		return c.local.Ping(a, reply)
	}
	// Not reached, as there are no other types of arguments.
	return errUnknownSession
}

// fullUpdate starts a session and returns the update that registers this VM with its whole state.
func (c *Client) fullUpdate(session SessionID, steward VMName) UpdateArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = session
	c.steward = steward
	c.unsent = nil
	c.observations = nil
	c.returned = nil
	c.withdrawn = nil
	c.unused = nil
	args := UpdateArgs{
		From: Sender{
			Service: c.service,
			VM:      c.self.VM,
			Session: session,
		},
		Full:       true,
		Domain:     c.domain,
		Quarantine: c.quarantine.Entries(),
	}
	now := time.Now()
	args.Remembered = c.memory.Report(now)
	args.VMs = c.vms.message(now)
	args.Admitted = c.local.allowances.report(now)
	c.limitChanges = nil
	c.leaving = nil
	args.Leaving = c.local.inventory.Leaving(c.service)
	args.Limits = c.limitReports(slices.Collect(maps.Keys(c.limits)), now)
	args.Concurrency = c.concurrencyReports(now)
	for _, r := range c.requests {
		if r.refused != nil {
			continue
		}
		if !r.granted {
			args.Asks = append(args.Asks, r.wireTicket(now))
			continue
		}
		args.Held = append(args.Held, HeldSlot{
			Ask:      r.wireTicket(now),
			Endpoint: r.slot.Endpoint.ID,
		})
	}
	return args
}

// nextUpdate returns an update with what has changed since the last one.
func (c *Client) nextUpdate(from Sender) UpdateArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	args := UpdateArgs{
		From:      from,
		Domain:    c.domain,
		Seen:      c.observations,
		Returned:  c.returned,
		Withdrawn: c.withdrawn,
		Unused:    c.unused,
	}
	now := time.Now()
	for _, id := range c.unsent {
		if r := c.requests[id]; r != nil && !r.granted {
			args.Asks = append(args.Asks, r.wireTicket(now))
		}
	}
	args.Limits = c.limitReports(c.limitChanges, now)
	c.limitChanges = nil
	args.Leaving = c.leaving
	c.leaving = nil
	c.unsent = nil
	c.observations = nil
	c.returned = nil
	c.withdrawn = nil
	c.unused = nil
	return args
}

// applyReply applies the outcomes in a reply, if its session is still the current one.
func (c *Client) applyReply(session SessionID, reply Reply) error {
	if len(reply.Quarantine) > 0 {
		c.quarantine.Learn(reply.Quarantine)
	}
	for _, lifetime := range reply.Leaving {
		c.local.inventory.SetLeaving(c.service, lifetime)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != session {
		return nil
	}
	c.vms.receive(reply.VMs, time.Now())
	c.receiveConcurrency(reply.Concurrency, time.Now())
	for _, outcome := range reply.Outcomes {
		c.applyOutcome(outcome)
	}
	if reply.Unknown {
		return errUnknownSession
	}
	if reply.Retiring {
		return errRetiring
	}
	return nil
}

// applyOutcome applies one outcome to its request. A grant for a request that has ended is reported to the steward as
// withdrawn, which frees the slot. The lock must be held.
func (c *Client) applyOutcome(outcome Outcome) {
	r := c.requests[outcome.Ticket]
	if r == nil {
		c.declineOutcome(outcome)
		return
	}
	if !r.granted {
		outcome = c.local.allowances.observe(r, outcome)
	}
	switch outcome.Kind {
	case OutcomeGrant:
		if r.granted {
			return
		}
		r.granted = true
		r.slot = &Slot{
			Endpoint: outcome.Endpoint,
			client:   c,
			id:       outcome.Ticket,
			granted:  time.Now(),
			limited:  outcome.Limited,
			learning: outcome.Learning,
			revoked:  make(chan struct{}),
		}
		if r.revoked {
			close(r.slot.revoked)
		}
		close(r.done)
	case OutcomeAdmit:
		r.granted = true
		r.countedBy = outcome.CountedBy
		delete(c.requests, outcome.Ticket)
		close(r.done)
	case OutcomeRevoke:
		if r.revoked {
			return
		}
		r.revoked = true
		if r.granted {
			close(r.slot.revoked)
		}
	case OutcomeRefuse:
		if r.granted {
			return
		}
		r.refused = &Refused{
			RetryAfter:    outcome.RetryAfter,
			Withheld:      outcome.Withheld,
			OverAllowance: outcome.OverAllowance,
		}
		delete(c.requests, outcome.Ticket)
		close(r.done)
	}
}

// wireTicket returns the request's ticket for a message to the steward.
func (r *pendingRequest) wireTicket(now time.Time) WireTicket {
	return WireTicket{
		ID:           r.ID,
		Class:        r.Class,
		Rank:         r.Rank,
		Begun:        r.Begun,
		StartIn:      r.Start.Sub(now),
		ExpiresIn:    r.Expires.Sub(now),
		Avoid:        r.Avoid,
		Prompt:       r.Prompt,
		Organisation: r.Organisation,
		Cost:         r.Cost,
		Admitted:     r.Admitted,
		AdmitOnly:    r.admitOnly,
	}
}

// declineOutcome tells the steward that a request that was granted has ended. The lock must be held.
func (c *Client) declineOutcome(outcome Outcome) {
	switch outcome.Kind {
	case OutcomeGrant:
		c.withdrawn = append(c.withdrawn, outcome.Ticket)
		c.wakeSender()
	case OutcomeAdmit:
		if outcome.CountedBy != 0 {
			c.unused = append(c.unused, outcome.Organisation)
			c.wakeSender()
		}
	case OutcomeRevoke, OutcomeRefuse:
	}
}
