package batch

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/prompt"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

// stubbornSlots never grants a slot and returns only after a delay when the wait is cancelled.
type stubbornSlots struct {
	delay time.Duration
	// asked receives a value for each request, unless it is full.
	asked chan struct{}
}

func (s stubbornSlots) Acquire(ctx context.Context, _ route.Service, _ pool.SlotRequest) (*pool.Slot, error) {
	select {
	case s.asked <- struct{}{}:
	default:
	}
	<-ctx.Done()
	time.Sleep(s.delay)
	return nil, ctx.Err()
}

// noPrompts are headers of requests without a prompt, which are not sent.
type noPrompts struct {
	forward.Headers
}

func (noPrompts) Prompt(http.Header) prompt.Prompt { return nil }

// batchConfig is a configuration with a route for the jobs of submission.
func batchConfig() *route.Config {
	rt := *jobRoute
	rt.Host = "h"
	rt.Prefix = "/p/"
	rt.Shares = []route.Share{
		{
			Service: "s",
			Weight:  1,
		},
	}
	return &route.Config{
		Version: 1,
		Routes:  []route.Route{rt},
	}
}

// retired calls Retire and returns the jobs, or fails the test if that takes long.
func retired(t *testing.T, mgr *Manager) []AdoptArgs {
	t.Helper()
	handovers := make(chan []AdoptArgs, 1)
	go func() { handovers <- mgr.Retire() }()
	select {
	case h := <-handovers:
		return h
	case <-time.After(2 * retireTimeout):
		t.Fatal("Retire still waits")
	}
	return nil
}

// TestRetireIsNotHeldUp guards against a VM that does not stop because jobs that it accepts or adopts while it stops, or jobs
// that take long to stop, keep it waiting. All of them must be handed over.
func TestRetireIsNotHeldUp(t *testing.T) {
	tests := map[string]struct {
		// delay is how long the first job takes to stop.
		delay time.Duration
		// late makes the manager own another job while Retire waits for the first one.
		late func(t *testing.T, m *memoryStore, mgr *Manager)
		want []JobID
	}{
		"one job":                       {want: []JobID{"first"}},
		"a job that takes long to stop": {delay: time.Minute, want: []JobID{"first"}},
		"a job accepted meanwhile": {
			delay: 100 * time.Millisecond,
			late: func(t *testing.T, _ *memoryStore, mgr *Manager) {
				assert.Check(t, mgr.Accept(context.Background(), submission("late", 2, 10), jobRoute) == nil)
			},
			want: []JobID{"first", "late"},
		},
		"a job whose adoption has begun": {
			delay: 100 * time.Millisecond,
			late: func(t *testing.T, m *memoryStore, mgr *Manager) {
				assert.Check(t, newManager(t, m, "b").Accept(context.Background(), submission("late", 2, 10), jobRoute) == nil)
				clock, c, items := m.clock, claim{Owner: "a", Number: 2}, submission("late", 2, 10).Items
				mgr.start("late", newManifest(submission("late", 2, 10), jobRoute, 1), clock, c, 9, items, true, []Progress{{Item: "late-0", Failures: 2}})
			},
			want: []JobID{"first", "late"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMemoryStore()
			mgr := newManager(t, m, "a")
			asked := make(chan struct{}, 1)
			mgr.clients = stubbornSlots{
				delay: test.delay,
				asked: asked,
			}
			mgr.sender = forward.NewSender(noPrompts{})
			mgr.view.Apply(batchConfig())
			assert.NilError(t, mgr.Accept(context.Background(), submission("first", 2, 10), jobRoute))
			<-asked
			if test.late != nil {
				go func() {
					time.Sleep(20 * time.Millisecond)
					test.late(t, m, mgr)
				}()
			}
			got := retired(t, mgr)
			time.Sleep(50 * time.Millisecond)
			got = append(got, retired(t, mgr)...)
			var jobs []JobID
			for _, args := range got {
				jobs = append(jobs, args.Job)
			}
			slices.Sort(jobs)
			assert.DeepEqual(t, jobs, test.want)
			assert.Equal(t, len(mgr.Owned()), 0)
			assert.ErrorIs(t, mgr.Adopt(context.Background(), AdoptArgs{Job: "first"}), errRetiring)
		})
	}
}

// TestHandOver checks which VM adopts a job of one that stops, with the progress of its items, and that a job that none adopts
// is kept for the next attempt.
func TestHandOver(t *testing.T) {
	rejected := slices.Repeat([]error{store.ErrUnavailable}, 2*maxAdoptersAsked)
	tests := map[string]struct {
		// retiring are the other VMs that retire after they were asked whether they do, and unheard those whose answer to
		// the adoption is lost.
		retiring []string
		unheard  []string
		silent   []string
		// faults are those of the store, and unreadable is how many reads of claims fail.
		faults     []error
		unreadable int
		// writes means that a write of the former owner takes effect while the first adopts the job.
		writes bool
		owner  string
		kept   int
	}{
		"to the first":                       {owner: "b"},
		"the first has begun to retire":      {retiring: []string{"b"}, owner: "c"},
		"the first does not answer":          {silent: []string{"b"}, owner: "c"},
		"all have begun to retire":           {retiring: []string{"b", "c"}, owner: "a", kept: 1},
		"one retires, one does not answer":   {retiring: []string{"b"}, silent: []string{"c"}, owner: "a", kept: 1},
		"the store rejects the first":        {faults: rejected[:1], owner: "c"},
		"the store rejects all":              {faults: rejected, owner: "a", kept: 1},
		"a late write of the former owner":   {writes: true, owner: "c"},
		"the first cannot read the store":    {unreadable: 1, owner: "c"},
		"the answer of the first is lost":    {unheard: []string{"b"}, owner: "b"},
		"the first adopts without an answer": {unheard: []string{"b"}, faults: []error{store.ErrUnknown}, owner: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMemoryStore()
			managers := map[string]*Manager{}
			for _, vm := range []string{"a", "b", "c"} {
				managers[vm] = newManager(t, m, vm)
			}
			a := managers["a"]
			assert.NilError(t, a.Accept(context.Background(), submission("j", 2, 10), jobRoute))
			made := Progress{
				Item:     "j-0",
				After:    7,
				Output:   []byte("output"),
				Events:   7,
				Failures: 2,
			}
			owned(t, a, "j").savePartial(&made)
			caller := slowCaller{
				managers: managers,
				delay:    map[string]time.Duration{},
			}
			for _, vm := range test.silent {
				caller.delay[vm] = time.Minute
			}
			s := NewSupervisor(a, vmList{"a", "b", "c"}, faultyAdopters{
				slowCaller: caller,
				retiring:   test.retiring,
				unheard:    test.unheard,
			}, func() bool { return true }, time.Minute, slog.New(slog.DiscardHandler))
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			handovers := a.Retire()
			m.mu.Lock()
			m.faults = test.faults
			m.failingReads = map[store.Table]int{tableClaims: test.unreadable}
			if test.writes {
				claimRow := address(tableClaims, "j")
				m.interrupting = &claimRow
			}
			m.mu.Unlock()
			assert.Equal(t, s.HandOver(ctx, handovers), 1-test.kept)
			c, _, err := a.ledger.claim(context.Background(), "j")
			assert.NilError(t, err)
			assert.Equal(t, c.Owner, test.owner)
			kept := a.Retire()
			assert.Equal(t, len(kept), test.kept)
			var held HoldsReply
			assert.NilError(t, NewService(a).Holds(HoldsArgs{}, &held))
			assert.Equal(t, len(held.Jobs), test.kept)
			for _, args := range kept {
				assert.DeepEqual(t, args.Progress, []Progress{made})
			}
			if test.kept == 0 {
				assert.DeepEqual(t, owned(t, managers[test.owner], "j").progressOf("j-0"), made)
			}
		})
	}
}

// TestAdopterAmongVMsThatAreGone guards against jobs that are not handed over because most of the VMs that are listed no longer
// exist.
func TestAdopterAmongVMsThatAreGone(t *testing.T) {
	const gone = 200
	m := newMemoryStore()
	managers := map[string]*Manager{
		"a": newManager(t, m, "a"),
		"b": newManager(t, m, "b"),
	}
	listed := vmList{"a", "b"}
	delay := map[string]time.Duration{}
	for n := range gone {
		name := fmt.Sprintf("gone-%d", n)
		listed = append(listed, pool.VMName(name))
		delay[name] = time.Minute
	}
	assert.NilError(t, managers["a"].Accept(context.Background(), submission("j", 2, 10), jobRoute))
	s := NewSupervisor(managers["a"], listed, slowCaller{
		managers: managers,
		delay:    delay,
	}, func() bool { return true }, time.Minute, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	assert.Equal(t, s.HandOver(ctx, managers["a"].Retire()), 1)
	assert.DeepEqual(t, managers["b"].Owned(), []JobID{"j"})
}

// TestStoppedJobIsHeldForATime checks that a VM that stops has time to hand over a job with its progress before the supervisor
// assigns it to another one without, and not more.
func TestStoppedJobIsHeldForATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newManager(t, newMemoryStore(), "a")
		assert.NilError(t, a.Accept(context.Background(), submission("j", 2, 10), jobRoute))
		holds := func() []JobID {
			var reply HoldsReply
			assert.NilError(t, NewService(a).Holds(HoldsArgs{}, &reply))
			return reply.Jobs
		}
		a.keep(a.Retire())
		assert.DeepEqual(t, holds(), []JobID{"j"})
		time.Sleep(handOverTime - time.Millisecond)
		a.keep(a.Retire())
		assert.DeepEqual(t, holds(), []JobID{"j"})
		time.Sleep(time.Millisecond)
		assert.Equal(t, len(holds()), 0)
	})
}

// faultyAdopters calls managers. Some of them retire when they are asked to adopt a job, and the answers of others are lost.
type faultyAdopters struct {
	slowCaller
	retiring []string
	unheard  []string
}

func (c faultyAdopters) Call(ctx context.Context, address, method string, args, reply any) error {
	if method == MethodAdopt && slices.Contains(c.retiring, address) {
		c.managers[address].Retire()
	}
	err := c.slowCaller.Call(ctx, address, method, args, reply)
	if method == MethodAdopt && slices.Contains(c.unheard, address) {
		return context.DeadlineExceeded
	}
	return err
}
