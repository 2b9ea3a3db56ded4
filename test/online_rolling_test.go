package test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/settings"
)

// balancer is a load balancer that polls the readiness of the gateways and acts on the results with a delay.
type balancer struct {
	cluster *cluster
	mu      sync.Mutex
	// ready are the VMs that requests are sent to.
	ready []int
	next  int
}

const (
	balancerPeriod = 100 * time.Millisecond
	// balancerLag is the delay after which the result of a poll takes effect. The gateways' drain time is longer.
	balancerLag  = 300 * time.Millisecond
	rollingDrain = 2 * time.Second
)

func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(balancerPeriod)
	defer ticker.Stop()
	for {
		b.poll()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll checks the readiness of every VM. The result takes effect after balancerLag.
func (b *balancer) poll() {
	var ready []int
	for vm, s := range b.cluster.settings {
		response, err := http.Get("http://" + s.VM.HostPort(s.Ports.GatewayStatus) + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, vm)
		}
	}
	time.AfterFunc(balancerLag, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ready = ready
	})
}

func (b *balancer) pick() (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return 0, false
	}
	b.next++
	return b.ready[b.next%len(b.ready)], true
}

func (b *balancer) hasReady(vms int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready) == vms
}

// TestRollingReplacementCutsNoRequest replaces every process of every VM in turn under load. No request may fail, and
// each confirmation must run exactly once.
func TestRollingReplacementCutsNoRequest(t *testing.T) {
	t.Parallel()
	const callers = 16
	options := defaultCluster(58)
	options.engine.Slots = callers
	options.engine.TokenInterval = 5 * time.Millisecond
	options.customiseSettings = func(s *settings.Settings) {
		s.Timing.Drain = settings.Duration(rollingDrain)
	}
	c := newCluster(t, options)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	lb := &balancer{
		cluster: c,
	}
	go lb.run(ctx)
	waitFor(t, "the balancer to use every VM", readyTimeout, func() bool { return lb.hasReady(options.vms) })
	var ended atomic.Int64
	var mu sync.Mutex
	var failures []error
	stop := make(chan struct{})
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if err := lb.request(ctx, fmt.Sprintf("%d-%d", caller, i), i); err != nil {
					mu.Lock()
					failures = append(failures, err)
					mu.Unlock()
				}
				ended.Add(1)
			}
		})
	}
	for vm := range options.vms {
		before := ended.Load()
		for _, role := range options.roles {
			c.signal(role, vm, syscall.SIGTERM)
		}
		for _, role := range options.roles {
			c.waitExit(role, vm)
			c.start(role, vm)
		}
		for _, role := range options.roles {
			c.waitReady(role, vm)
		}
		waitFor(t, "the balancer to use every VM", readyTimeout, func() bool { return lb.hasReady(options.vms) })
		assert.Assert(t, ended.Load() > before)
	}
	close(stop)
	group.Wait()
	t.Logf("%d requests during the replacement of %d VMs", ended.Load(), options.vms)
	assert.NilError(t, errors.Join(failures...))
	for key, runs := range c.confirmationRuns() {
		assert.Equal(t, runs, 1, "runs of %s", key)
	}
}

var (
	errNoVM        = errors.New("no VM is ready")
	errWrongAnswer = errors.New("wrong answer")
)

// request sends a chat, or a confirmation every fourth time, and checks the answer.
func (b *balancer) request(ctx context.Context, name string, i int) error {
	vm, ok := b.pick()
	if !ok {
		return errNoVM
	}
	if i%4 == 3 {
		response, body, err := b.cluster.confirm(ctx, vm, name)
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("%w: %s", errWrongAnswer, body)
		}
		return err
	}
	chat := completions["chat streamed"]
	_, body, err := b.cluster.post(ctx, vm, chat.path(), chat.body(name), nil)
	if answer := chat.parse(body); err == nil && (answer.text != chat.wantText(name) || !answer.complete) {
		err = fmt.Errorf("%w: %s", errWrongAnswer, body)
	}
	return err
}
