package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// serve keeps a session with a steward until it fails or a better one is at hand.
func (c *Client) serve(ctx context.Context, to Member) error {
	session := Session(rand.Uint64())
	full := c.full(session, to.VM)
	if err := c.tell(ctx, to, full); err != nil {
		if to.VM == c.self.VM {
			// Nobody else answers and this VM does not know the endpoints yet.
			pause(ctx, notReadyFor)
		}
		return err
	}
	c.log.Info("steward chosen", "service", c.service, "steward", to.VM, "held", len(full.Held), "asks", len(full.Asks))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var listening sync.WaitGroup
	listening.Go(func() {
		c.listen(ctx, cancel, to, full.From)
	})
	defer listening.Wait()
	err := c.talk(ctx, to, full.From)
	cancel(err)
	return err
}

// talk tells the steward what changes.
func (c *Client) talk(ctx context.Context, to Member, from From) error {
	better := make(chan struct{})
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go c.review(ctx, to, better)
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-c.wake:
			if err := c.tell(ctx, to, c.changes(from)); err != nil {
				return err
			}
		case <-better:
			c.leave(ctx, to, from)
			return nil
		}
	}
}

func (c *Client) leave(ctx context.Context, to Member, from From) {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	if err := c.call(ctx, to, MethodLeave, LeaveArgs{From: from}, &Reply{}); err != nil {
		c.log.Info("steward not told of leaving", "service", c.service, "steward", to.VM, "err", err)
	}
}

func (c *Client) listen(ctx context.Context, cancel context.CancelCauseFunc, to Member, from From) {
	for ctx.Err() == nil {
		var reply Reply
		call, done := context.WithTimeout(ctx, listenWait+callSlack)
		err := c.call(call, to, MethodListen, ListenArgs{
			From: from,
			Wait: listenWait,
		}, &reply)
		done()
		if err == nil {
			err = c.take(from.Session, reply)
		}
		if err != nil {
			cancel(err)
			return
		}
	}
}

func (c *Client) tell(ctx context.Context, to Member, args TellArgs) error {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	var reply Reply
	if err := c.call(ctx, to, MethodTell, args, &reply); err != nil {
		return err
	}
	return c.take(args.From.Session, reply)
}

// call calls a steward; the one on this VM without the network.
func (c *Client) call(ctx context.Context, to Member, method string, args any, reply *Reply) error {
	if to.VM != c.self.VM {
		return c.caller.Call(ctx, to.Address, method, args, reply)
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

// full returns everything that a steward must know, and starts a session.
func (c *Client) full(session Session, steward VMName) TellArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = session
	c.steward = steward
	c.asks = nil
	c.seen = nil
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
	for _, w := range c.wishes {
		if w.refused != nil {
			continue
		}
		if !w.granted {
			args.Asks = append(args.Asks, w.ask(now))
			continue
		}
		args.Held = append(args.Held, Held{
			Ask:      w.ask(now),
			Endpoint: w.slot.Endpoint.ID,
		})
	}
	return args
}

// changes returns what the steward does not know yet.
func (c *Client) changes(from From) TellArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	args := TellArgs{
		From:      from,
		Domain:    c.domain,
		Seen:      c.seen,
		Returned:  c.returned,
		Withdrawn: c.withdrawn,
	}
	now := time.Now()
	for _, id := range c.asks {
		if w := c.wishes[id]; w != nil && !w.granted {
			args.Asks = append(args.Asks, w.ask(now))
		}
	}
	c.asks = nil
	c.seen = nil
	c.returned = nil
	c.withdrawn = nil
	return args
}

// take applies the outcomes of a session that is still the current one.
func (c *Client) take(session Session, reply Reply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != session {
		return nil
	}
	for _, outcome := range reply.Outcomes {
		c.apply(outcome)
	}
	if reply.Unknown {
		return errUnknown
	}
	if reply.Retiring {
		return errRetiring
	}
	return nil
}

func (c *Client) apply(outcome Outcome) {
	w := c.wishes[outcome.Ticket]
	if w == nil {
		if outcome.Kind == OutcomeGrant {
			c.withdrawn = append(c.withdrawn, outcome.Ticket)
			c.signal()
		}
		return
	}
	switch outcome.Kind {
	case OutcomeGrant:
		if w.granted {
			return
		}
		w.granted = true
		w.slot = &Slot{
			Endpoint: outcome.Endpoint,
			client:   c,
			id:       outcome.Ticket,
			revoked:  make(chan struct{}),
		}
		if w.revoked {
			close(w.slot.revoked)
		}
		close(w.done)
	case OutcomeRevoke:
		if w.revoked {
			return
		}
		w.revoked = true
		if w.granted {
			close(w.slot.revoked)
		}
	case OutcomeRefuse:
		if w.granted {
			return
		}
		w.refused = &Refused{
			RetryAfter: outcome.RetryAfter,
		}
		delete(c.wishes, outcome.Ticket)
		close(w.done)
	}
}

func (w *wish) ask(now time.Time) Ask {
	return Ask{
		ID:        w.ID,
		Class:     w.Class,
		Rank:      w.Rank,
		Begun:     w.Begun,
		StartIn:   w.Start.Sub(now),
		ExpiresIn: w.Expires.Sub(now),
		Avoid:     w.Avoid,
	}
}
