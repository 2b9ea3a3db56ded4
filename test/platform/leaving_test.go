package platform

import (
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leavingCluster has two VMs and two engines, the first of which is asked first because it has more slots. Both name their
// start.
func leavingCluster(t *testing.T, subnet int) (*cluster, *engineStandin) {
	t.Helper()
	first := newEngineStandin("e0", 16, 5, eventInterval)
	second := newEngineStandin("e1", 8, 5, eventInterval)
	first.born, second.born = 1000, 1000
	return newCluster(t, subnet, 2, first, second), first
}

func (e *engineStandin) arrived() int {
	return e.get(func(e *engineStandin) int {
		total := 0
		for _, n := range e.arrivals {
			total += n
		}
		return total
	})
}

// waitNews waits until what one VM has heard of an engine has reached the others.
func waitNews() {
	time.Sleep(time.Second)
}

// TestLeavingEngineGetsNoMoreRequests guards against requests to an engine that has said in an answer that it leaves, while its
// entry in the list still says that it is ready.
func TestLeavingEngineGetsNoMoreRequests(t *testing.T) {
	t.Parallel()
	online := func(path string) func(c *cluster) {
		return func(c *cluster) {
			c.send(0, http.MethodPost, path, "first", "")
		}
	}
	tests := map[string]struct {
		subnet int
		// before sets how the engine answers, hear lets VM 0 hear it.
		before func(e *engineStandin)
		hear   func(c *cluster)
		// fault is that of the store from then on, at all VMs.
		fault fault
		// alone means that the other VM, which may be the steward, is killed then.
		alone bool
	}{
		"stream":                   {subnet: 97, hear: online("/once/x")},
		"stream, store away":       {subnet: 98, hear: online("/once/x"), fault: faultBusy},
		"stream, store silent":     {subnet: 99, hear: online("/once/x"), fault: faultSilent},
		"stream, other VM is lost": {subnet: 100, hear: online("/once/x"), alone: true},
		"stream that is cut":       {subnet: 101, hear: online("/once/x"), before: func(e *engineStandin) { e.breakAtEvent.Store(2) }},
		"error":                    {subnet: 102, hear: online("/once/x"), before: func(e *engineStandin) { e.failing = true }},
		"rejection":                {subnet: 103, hear: online("/once/x"), before: func(e *engineStandin) { e.rejects = 1 }},
		"item":                     {subnet: 104, hear: func(c *cluster) { c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 1, "b", 10)) }},
		"item that fails": {
			subnet: 105,
			hear:   func(c *cluster) { c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 1, "b", 10)) },
			before: func(e *engineStandin) { e.failing = true },
		},
		"item that cannot be processed": {
			subnet: 106,
			hear:   func(c *cluster) { c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 1, "b", 10)) },
			before: func(e *engineStandin) { e.unprocessable["j-item-0"] = true },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, e := leavingCluster(t, test.subnet)
			e.update(func(e *engineStandin) {
				e.leaving = true
				if test.before != nil {
					test.before(e)
				}
			})
			test.hear(c)
			c.waitFor("the engine was asked", func() bool { return e.arrived() > 0 })
			vms := 2
			if test.alone {
				c.signal(1, syscall.SIGKILL)
				c.waitExit(1)
				vms = 1
			}
			c.store.setFault(func(string, string) fault { return test.fault })
			// The entry is renewed.
			c.putEngineRow(0, "ready")
			waitNews()
			before := e.arrived()
			for n := range 12 {
				got := c.send(n%vms, http.MethodPost, "/once/x", "later-"+strconv.Itoa(n), "")
				assert.Equal(t, got.status, http.StatusOK)
			}
			assert.Equal(t, e.arrived(), before)
		})
	}
}

// TestEngineThatHasLeftStartsAgain checks that an engine is used again when it has started again, under its id or under another
// one at its address, and only then.
func TestEngineThatHasLeftStartsAgain(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		subnet int
		change func(c *cluster, e *engineStandin)
		used   bool
	}{
		"entry renewed": {subnet: 107, change: func(c *cluster, _ *engineStandin) { c.putEngineRow(0, "ready") }},
		"entry removed and renewed": {subnet: 108, change: func(c *cluster, _ *engineStandin) {
			c.store.remove("servers", "e0")
			time.Sleep(200 * time.Millisecond)
			c.putEngineRow(0, "ready")
		}},
		"under its id": {subnet: 109, used: true, change: func(c *cluster, e *engineStandin) {
			e.born = 2000
			c.putEngineRow(0, "ready")
		}},
		"at its address": {subnet: 110, used: true, change: func(c *cluster, e *engineStandin) {
			c.store.remove("servers", "e0")
			e.replace("e2")
			c.putEngineRow(0, "ready")
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, e := leavingCluster(t, test.subnet)
			e.update(func(e *engineStandin) { e.leaving = true })
			assert.Equal(t, c.send(0, http.MethodPost, "/once/x", "first", "").status, http.StatusOK)
			assert.Equal(t, e.arrived(), 1)
			e.update(func(e *engineStandin) { e.leaving = false })
			test.change(c, e)
			waitNews()
			for n := range 6 {
				got := c.send(n%2, http.MethodPost, "/once/x", "later-"+strconv.Itoa(n), "")
				assert.Equal(t, got.status, http.StatusOK)
			}
			assert.Equal(t, e.arrived() > 1, test.used)
		})
	}
}

// TestAllEnginesLeave guards against requests that are held while no engine of their service takes any. Items wait, and run
// when an engine comes.
func TestAllEnginesLeave(t *testing.T) {
	t.Parallel()
	c, first := leavingCluster(t, 111)
	for _, e := range c.engines {
		e.update(func(e *engineStandin) { e.leaving = true })
	}
	for n := range 4 {
		c.send(n%2, http.MethodPost, "/once/x", fmt.Sprintf("first-%d", n), "")
	}
	waitNews()
	for vm := range 2 {
		sent := time.Now()
		got := c.send(vm, http.MethodPost, "/resumable/x", fmt.Sprintf("refused-%d", vm), "")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Assert(t, time.Since(sent) < 300*time.Millisecond, "refused after %v", time.Since(sent))
	}
	assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 3, "b", 10)).status, http.StatusAccepted)
	time.Sleep(200 * time.Millisecond)
	first.update(func(e *engineStandin) { e.leaving = false })
	first.born = 2000
	c.putEngineRow(0, "ready")
	c.waitResults(1, "j", 3, 5)
}
