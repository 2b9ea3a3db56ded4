package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// owner returns the VM that owns a job according to the store, or -1 if the job is complete or ended, and how many owners
// the job has had.
func (c *cluster) owner(job string) (int, int) {
	c.t.Helper()
	c.store.mu.Lock()
	row, open := c.store.rows[rowKey{Table: "claims", Part: "0", Key: job}]
	c.store.mu.Unlock()
	if !open {
		return -1, 0
	}
	var claim struct {
		Owner  string
		Number int
	}
	assert.NilError(c.t, json.Unmarshal(row.Value, &claim))
	var vm int
	_, err := fmt.Sscanf(claim.Owner, "vm-%d", &vm)
	assert.NilError(c.t, err)
	return vm, claim.Number
}

// TestFailuresOutliveTheirOwner guards against owners of a job that count the failures of its items anew. The owner is ended
// whenever an item has failed twice more, until the job is complete.
func TestFailuresOutliveTheirOwner(t *testing.T) {
	t.Parallel()
	const (
		maxAttempts = 3
		// perOwner is how often an item fails before its owner is ended.
		perOwner = 2
	)
	tests := map[string]struct {
		subnet int
		signal syscall.Signal
		vms    int
		// restart means that the owner is started again, all that all VMs are ended and started with it.
		restart bool
		all     bool
		fault   fault
	}{
		"owner stopped":                         {subnet: 86, signal: syscall.SIGTERM, vms: 6},
		"owner stopped, answers of store lost":  {subnet: 87, signal: syscall.SIGTERM, vms: 6, fault: faultLost},
		"owner killed":                          {subnet: 88, signal: syscall.SIGKILL, vms: 3, restart: true},
		"all VMs killed":                        {subnet: 89, signal: syscall.SIGKILL, vms: 3, restart: true, all: true},
		"owner killed, answers of store lost":   {subnet: 90, signal: syscall.SIGKILL, vms: 3, restart: true, fault: faultLost},
		"owner killed, calls of store are late": {subnet: 91, signal: syscall.SIGKILL, vms: 3, restart: true, fault: faultLate},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			failures := map[string]int{}
			engines := make([]*engineStandin, 0, 4)
			for n := range 4 {
				e := newEngineStandin(fmt.Sprintf("e%d", n), 4, 5, eventInterval)
				e.failing = true
				e.failTime = 300 * time.Millisecond
				e.onFailure = func(id string) {
					mu.Lock()
					defer mu.Unlock()
					failures[id]++
				}
				engines = append(engines, e)
			}
			count := func() int {
				mu.Lock()
				defer mu.Unlock()
				return failures["j-item-0"]
			}
			c := newCluster(t, test.subnet, test.vms, engines...)
			calls := make(chan int, 1)
			calls <- 0
			c.store.setFault(func(_, path string) fault {
				n := <-calls
				calls <- n + 1
				if path == "/rows-tx" && n%3 == 0 {
					return test.fault
				}
				return faultNone
			})
			c.waitFor("job accepted", func() bool {
				return c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 1, "b", 10)).status == http.StatusAccepted
			})
			stopped := make([]bool, test.vms)
			for owner, number := c.owner("j"); owner >= 0; {
				before := count()
				c.waitFor("item failed again or given up", func() bool {
					now, _ := c.owner("j")
					return count() >= before+perOwner || now < 0
				})
				assert.Assert(t, count() <= 3*maxAttempts, "the item has failed %d times", count())
				for vm := range test.vms {
					if vm == owner || test.all {
						c.signal(vm, test.signal)
						stopped[vm] = !test.restart
					}
				}
				for vm := range test.vms {
					if test.restart && (vm == owner || test.all) {
						c.waitExit(vm)
						c.start(vm)
					}
				}
				before = number
				c.waitFor("another owner or given up", func() bool {
					owner, number = c.owner("j")
					return owner < 0 || number > before
				})
			}
			reader := slices.Index(stopped, false)
			c.waitReady(reader)
			c.waitResults(reader, "j", 1, 5, "j-item-0")
			assert.Assert(t, count() <= 3*maxAttempts, "the item has failed %d times", count())
		})
	}
}

// TestResultOutlivesARejectedHandover guards against items that run again because their owner stopped while the store rejected
// calls, with a result that it had not committed.
func TestResultOutlivesARejectedHandover(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		subnet int
		fault  fault
		// dead are the items that cannot be processed.
		dead []string
	}{
		"cannot be processed, store rejects": {subnet: 56, fault: faultBusy, dead: []string{"j-item-0"}},
		"cannot be processed, store resets":  {subnet: 57, fault: faultReset, dead: []string{"j-item-0"}},
		"succeeded, store rejects":           {subnet: 58, fault: faultBusy},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEngineStandin("e0", 4, 5, eventInterval)
			c := newCluster(t, test.subnet, 3, e)
			e.update(func(e *engineStandin) {
				for _, id := range test.dead {
					e.unprocessable[id] = true
				}
				e.onRun = func(string, string) {
					c.store.setFault(func(_, path string) fault {
						if path == "/rows-tx" {
							return test.fault
						}
						return faultNone
					})
				}
			})
			assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 1, "b", 10)).status, http.StatusAccepted)
			c.waitFor("the owner has a result", func() bool {
				return strings.Contains(c.logs[0].String(), "msg=\"item ended\"")
			})
			c.signal(0, syscall.SIGTERM)
			time.Sleep(time.Second)
			e.update(func(e *engineStandin) { e.onRun = nil })
			c.store.setFault(nil)
			c.waitResults(1, "j", 1, 5, test.dead...)
			assert.Equal(t, e.get(func(e *engineStandin) int { return e.runs["j-item-0"] }), 1)
		})
	}
}
