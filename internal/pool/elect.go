package pool

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// candidates returns the VMs that are not suspected of having failed, by rank, or only this VM if all are.
func (c *Client) candidates() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var unsuspected []Member
	for _, m := range c.members.Ranked(c.service) {
		if now.After(c.suspects[m.VM]) {
			unsuspected = append(unsuspected, m)
		}
	}
	if len(unsuspected) == 0 {
		return []Member{c.self}
	}
	return unsuspected
}

// elect returns the highest-ranked VM that answers, or this VM if none does. A VM that was not ready when an election began knew
// too few others to be its own steward, also if it has become ready since: it elects again.
func (c *Client) elect(ctx context.Context) Member {
	for ctx.Err() == nil {
		ready := c.ready()
		steward, found := c.electAnswering(ctx)
		if found && (ready || steward.VM != c.self.VM) {
			return steward
		}
		if ready {
			break
		}
		pause(ctx, notReadyFor)
	}
	return c.self
}

// ready reports whether this VM has loaded what a steward needs. Unlike a ping, it does not create the pool, which would be told of each
// change of an endpoint.
func (c *Client) ready() bool {
	return c.local.inventory.Loaded()
}

// electAnswering returns the highest-ranked VM that answers, which may be this one. It pings the first candidates concurrently, as some
// may have failed without notice, and many more each time that none of them answers: VMs that no longer exist stay listed, and are
// suspected for a short time only.
func (c *Client) electAnswering(ctx context.Context) (steward Member, found bool) {
	for probes := maxProbes; ctx.Err() == nil; probes *= probeGrowth {
		candidates := c.candidates()
		if steward, found := c.firstToAnswer(ctx, candidates[:min(probes, len(candidates))]); found {
			return steward, true
		}
		if len(candidates) <= probes {
			break
		}
	}
	return Member{}, false
}

// firstToAnswer pings candidates concurrently and returns the highest-ranked one that answers. Those that rank higher are
// suspected.
func (c *Client) firstToAnswer(parent context.Context, candidates []Member) (steward Member, found bool) {
	ctx, cancel := context.WithTimeout(parent, callSlack)
	defer cancel()
	// results[i] receives the result of the ping of candidates[i].
	results := make([]chan error, len(candidates))
	// successes holds a token for each successful ping.
	successes := make(chan struct{}, len(candidates))
	for i, m := range candidates {
		results[i] = make(chan error, 1)
		go func() {
			err := c.ping(ctx, m)
			if err == nil {
				successes <- struct{}{}
			}
			results[i] <- err
		}()
	}
	// grace is closed when the grace period ends.
	grace := make(chan struct{})
	go func() {
		select {
		case <-successes:
			pause(ctx, probeGrace)
		case <-ctx.Done():
		}
		close(grace)
	}()
	errs := make(map[VMName]error, len(candidates))
	for i, m := range candidates {
		errs[m.VM] = answerWithin(results[i], grace)
	}
	if parent.Err() != nil {
		return Member{}, false
	}
	// The replies tell the uptimes, which may change the ranking.
	for _, m := range c.candidates() {
		err, pinged := errs[m.VM]
		if !pinged {
			continue
		}
		if err == nil {
			return m, true
		}
		c.suspect(m.VM, err)
	}
	return Member{}, false
}

// answerWithin returns the result of a ping, or errSlow if there is none when the grace period ends.
func answerWithin(result <-chan error, grace <-chan struct{}) error {
	select {
	case err := <-result:
		return err
	case <-grace:
	}
	select {
	case err := <-result:
		return err
	default:
		return errSlow
	}
}

// ping asks whether a VM can be a steward, once more if the connection ended.
func (c *Client) ping(ctx context.Context, m Member) error {
	err := c.pingOnce(ctx, m)
	if err != nil && connectionEnded(err) {
		return c.pingOnce(ctx, m)
	}
	return err
}

func (c *Client) pingOnce(ctx context.Context, m Member) error {
	var reply Reply
	if err := c.call(ctx, m, MethodPing, PingArgs{Service: c.service}, &reply); err != nil {
		return err
	}
	c.members.ObserveUptime(m.VM, reply.Uptime)
	if reply.Retiring {
		return errRetiring
	}
	return nil
}

// answers reports whether a steward still answers after a session with it has ended with an error.
func (c *Client) answers(ctx context.Context, steward Member, err error) bool {
	if errors.Is(err, errUnknownSession) {
		return true
	}
	if !connectionEnded(err) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	return c.ping(ctx, steward) == nil
}

// connectionEnded reports whether a call failed because its connection ended. The connection may have been reset on its
// way, which says nothing about the VM that was called.
func connectionEnded(err error) bool {
	for _, other := range []error{context.DeadlineExceeded, context.Canceled, errRetiring, errSlow} {
		if errors.Is(err, other) {
			return false
		}
	}
	// net/rpc transmits only the text of an error.
	return !strings.Contains(err.Error(), ErrNotReady.Error())
}

// suspect records that a VM failed as a steward; candidates leaves it out for a while.
func (c *Client) suspect(vm VMName, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	exclusion := suspectFor
	// net/rpc transmits only the text of an error.
	if strings.Contains(err.Error(), ErrNotReady.Error()) {
		exclusion = notReadyFor
	}
	now := time.Now()
	known := now.Sub(c.suspects[vm]) < suspectLogPause && vm != c.steward
	c.suspects[vm] = now.Add(exclusion)
	if known {
		return
	}
	// The key rest_ms is how long the VM is not elected.
	c.log.Warn("steward lost", "service", c.service, "steward", vm, "rest_ms", exclusion.Milliseconds(), "err", err)
}

// watchRanking closes better once a higher-ranked VM can hold the pool. It runs in its own goroutine so that its pings
// do not delay the messages to the steward.
func (c *Client) watchRanking(ctx context.Context, steward Member, better chan<- struct{}) {
	for ctx.Err() == nil {
		pause(ctx, rankingPeriod)
		if ctx.Err() == nil && c.outranked(ctx, steward) {
			close(better)
			return
		}
	}
}

// outranked reports whether a VM with a higher rank than the steward can hold the pool. It pings the first such VM and some of the
// others, as many of them may no longer exist.
func (c *Client) outranked(ctx context.Context, steward Member) bool {
	better := c.candidates()
	n := slices.IndexFunc(better, func(m Member) bool {
		return m.VM == steward.VM
	})
	if n >= 0 {
		better = better[:n]
	}
	if len(better) == 0 {
		return false
	}
	others := better[1:]
	rand.Shuffle(len(others), func(i, k int) {
		others[i], others[k] = others[k], others[i]
	})
	_, found := c.firstToAnswer(ctx, better[:min(maxProbes, len(better))])
	return found
}
