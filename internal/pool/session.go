package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// runSession keeps a session with a steward until it fails or a higher-ranked steward is available.
func (c *Client) runSession(ctx context.Context, steward Member) error {
	session := Session(rand.Uint64())
	full := c.fullState(session, steward.VM)
	if err := c.sendUpdate(ctx, steward, full); err != nil {
		if steward.VM == c.self.VM {
			// No other VM answers, and this one has not loaded the endpoints yet.
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
	err := c.sendChanges(ctx, steward, full.From)
	cancel(err)
	return err
}

// sendChanges sends changes to the steward as they occur.
func (c *Client) sendChanges(ctx context.Context, steward Member, from From) error {
	better := make(chan struct{})
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go c.watchRanking(ctx, steward, better)
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-c.wake:
			if err := c.sendUpdate(ctx, steward, c.changes(from)); err != nil {
				return err
			}
		case <-better:
			c.leave(ctx, steward, from)
			return nil
		}
	}
}

// leave ends the session at the steward.
func (c *Client) leave(ctx context.Context, steward Member, from From) {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	if err := c.call(ctx, steward, MethodLeave, LeaveArgs{From: from}, &Reply{}); err != nil {
		c.log.Info("steward not notified of the end of the session", "service", c.service, "steward", steward.VM, "err", err)
	}
}

// listen calls Listen at the steward repeatedly and applies the outcomes; it cancels the session if a call fails.
func (c *Client) listen(ctx context.Context, cancel context.CancelCauseFunc, steward Member, from From) {
	for ctx.Err() == nil {
		var reply Reply
		call, done := context.WithTimeout(ctx, listenWait+callSlack)
		err := c.call(call, steward, MethodListen, ListenArgs{
			From: from,
			Wait: listenWait,
		}, &reply)
		done()
		if err == nil {
			err = c.applyReply(from.Session, reply)
		}
		if err != nil {
			cancel(err)
			return
		}
	}
}

func (c *Client) sendUpdate(ctx context.Context, steward Member, args TellArgs) error {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	var reply Reply
	if err := c.call(ctx, steward, MethodTell, args, &reply); err != nil {
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
	case TellArgs:
		return c.local.Tell(a, reply)
	case ListenArgs:
		return c.local.Listen(a, reply)
	case LeaveArgs:
		return c.local.Leave(a, reply)
	case PingArgs:
		return c.local.Ping(a, reply)
	}
	return errUnknown
}

// fullState starts a session and returns the whole state of this VM for the steward.
func (c *Client) fullState(session Session, steward VMName) TellArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = session
	c.steward = steward
	c.asks = nil
	c.observations = nil
	c.returned = nil
	c.withdrawn = nil
	args := TellArgs{
		From: From{
			Service: c.service,
			VM:      c.self.VM,
			Session: session,
		},
		Full:   true,
		Domain: c.domain,
	}
	now := time.Now()
	for _, r := range c.requests {
		if r.refused != nil {
			continue
		}
		if !r.granted {
			args.Asks = append(args.Asks, r.ask(now))
			continue
		}
		args.Held = append(args.Held, Held{
			Ask:      r.ask(now),
			Endpoint: r.slot.Endpoint.ID,
		})
	}
	return args
}

// changes returns what has changed since the last message to the steward.
func (c *Client) changes(from From) TellArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	args := TellArgs{
		From:      from,
		Domain:    c.domain,
		Seen:      c.observations,
		Returned:  c.returned,
		Withdrawn: c.withdrawn,
	}
	now := time.Now()
	for _, id := range c.asks {
		if r := c.requests[id]; r != nil && !r.granted {
			args.Asks = append(args.Asks, r.ask(now))
		}
	}
	c.asks = nil
	c.observations = nil
	c.returned = nil
	c.withdrawn = nil
	return args
}

// applyReply applies the outcomes in a reply, if its session is still the current one.
func (c *Client) applyReply(session Session, reply Reply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != session {
		return nil
	}
	for _, outcome := range reply.Outcomes {
		c.applyOutcome(outcome)
	}
	if reply.Unknown {
		return errUnknown
	}
	if reply.Retiring {
		return errRetiring
	}
	return nil
}

// applyOutcome applies one outcome to its request. A slot granted for a request that has ended is returned. The caller
// holds the lock.
func (c *Client) applyOutcome(outcome Outcome) {
	r := c.requests[outcome.Ticket]
	if r == nil {
		if outcome.Kind == OutcomeGrant {
			c.withdrawn = append(c.withdrawn, outcome.Ticket)
			c.wakeSender()
		}
		return
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
			revoked:  make(chan struct{}),
		}
		if r.revoked {
			close(r.slot.revoked)
		}
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
			RetryAfter: outcome.RetryAfter,
		}
		delete(c.requests, outcome.Ticket)
		close(r.done)
	}
}

func (r *pendingRequest) ask(now time.Time) Ask {
	return Ask{
		ID:        r.ID,
		Class:     r.Class,
		Rank:      r.Rank,
		Begun:     r.Begun,
		StartIn:   r.Start.Sub(now),
		ExpiresIn: r.Expires.Sub(now),
		Avoid:     r.Avoid,
	}
}
