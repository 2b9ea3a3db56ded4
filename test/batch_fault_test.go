package test

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/lease"
	"rhubarbrudder/internal/standin"
	"rhubarbrudder/internal/tablestore"
)

// batchCluster returns the options of a cluster with small lots and a token interval of 20 ms, so that an item of ten
// tokens takes about 200 ms.
func batchCluster(netNumber int) clusterOptions {
	options := defaultCluster(netNumber)
	options.roles = []fleet.Role{fleet.RoleGateway, fleet.RoleDispatcher}
	options.engines = 3
	options.plain = 1
	options.engine.Slots = 8
	options.engine.TokenInterval = 20 * time.Millisecond
	options.policy.LotItems = 20
	options.policy.CheckpointMilliseconds = 500
	return options
}

func sheetPrompt(i int) string {
	return fmt.Sprintf("sheet %d", i)
}

// waitRuns waits until the engines have started the given number of runs.
func (b batchCheck) waitRuns(t *testing.T, runs int) {
	t.Helper()
	waitFor(t, fmt.Sprintf("%d runs", runs), readyTimeout, func() bool {
		return len(b.runs()) >= runs
	})
}

// loseAnswers makes the next writes of a kind take effect but lose their answers.
func loseAnswers(faults *standin.Faults, kind string, next int) {
	faults.Set(standin.Fault{
		Kind:     kind,
		LoseNext: next,
	})
}

// lotsHeldBy returns the lots that a VM's dispatcher has claimed: the key of each lot's row and the session of its
// claim.
func (c *cluster) lotsHeldBy(vm int) map[tablestore.Key]lease.SessionID {
	sessions := map[lease.SessionID]bool{}
	for _, row := range c.platform.Table.Rows("Session") {
		if gjson.GetBytes(row.Data, "Holder").String() == fmt.Sprintf("vm-%d", vm) {
			sessions[lease.SessionID(row.Key.Sort)] = true
		}
	}
	held := map[tablestore.Key]lease.SessionID{}
	for _, row := range c.platform.Table.Rows("Lot/") {
		var lot job.Lot
		if json.Unmarshal(row.Data, &lot) == nil && lot.State == job.LotClaimed && sessions[lot.Session] {
			held[row.Key] = lot.Session
		}
	}
	return held
}

// lotHolder waits until a dispatcher has claimed lots and returns the VM whose dispatcher has claimed most.
func (c *cluster) lotHolder() int {
	maxHeld, holder := 0, 0
	waitFor(c.t, "a dispatcher to hold a lot", readyTimeout, func() bool {
		for vm := range c.options.vms {
			if held := len(c.lotsHeldBy(vm)); held > maxHeld {
				maxHeld, holder = held, vm
			}
		}
		return maxHeld > 0
	})
	return holder
}

// waitTakeover waits until another dispatcher has claimed one of the lots that a stopped dispatcher held.
func (c *cluster) waitTakeover(held map[tablestore.Key]lease.SessionID) {
	c.t.Helper()
	assert.Assert(c.t, len(held) > 0, "the dispatcher had claimed no lots when it was stopped")
	waitFor(c.t, "a lot to be taken over", readyTimeout, func() bool {
		for _, row := range c.platform.Table.Rows("Lot/") {
			var lot job.Lot
			oldSession, wasHeld := held[row.Key]
			if wasHeld && json.Unmarshal(row.Data, &lot) == nil && lot.Session != oldSession {
				return true
			}
		}
		return false
	})
}

// TestBatchSurvives injects a fault while a job runs and checks against the stand-ins' records that each item has
// exactly one complete result.
func TestBatchSurvives(t *testing.T) {
	const items, tokens = 240, 10
	kill := func(c *cluster, role fleet.Role, vm int) {
		c.signal(role, vm, syscall.SIGKILL)
		c.waitExit(role, vm)
	}
	outage := func(c *cluster, duration time.Duration) {
		down := standin.Fault{
			Outage: true,
		}
		c.platform.Table.Faults.Set(down)
		c.platform.Objects.Faults.Set(down)
		time.Sleep(duration)
		c.platform.Table.Faults.Set(standin.Fault{})
		c.platform.Objects.Faults.Set(standin.Fault{})
	}
	cases := map[string]struct {
		// net is the cluster's clusterOptions.net.
		net int
		// fault is injected once the engines have started at least this number of runs.
		runs  int
		fault func(c *cluster)
	}{
		"gateway killed after the acknowledgement": {
			net: 30,
			fault: func(c *cluster) {
				kill(c, fleet.RoleGateway, 0)
			},
		},
		"dispatcher killed mid-lot": {
			net:  31,
			runs: 40,
			fault: func(c *cluster) {
				victim := c.lotHolder()
				kill(c, fleet.RoleDispatcher, victim)
				killed := time.Now()
				c.waitTakeover(c.lotsHeldBy(victim))
				c.t.Logf("work of the killed dispatcher resumed after %s", time.Since(killed).Round(time.Millisecond))
			},
		},
		"dispatcher frozen until a lot is taken over": {
			net:  32,
			runs: 40,
			fault: func(c *cluster) {
				frozen := c.lotHolder()
				c.signal(fleet.RoleDispatcher, frozen, syscall.SIGSTOP)
				c.waitTakeover(c.lotsHeldBy(frozen))
				c.signal(fleet.RoleDispatcher, frozen, syscall.SIGCONT)
				waitFor(c.t, "the old holder's commit to be refused", readyTimeout, func() bool {
					return strings.Contains(c.processes[processName(fleet.RoleDispatcher, frozen)].logText(), "claim lost")
				})
			},
		},
		"platform outage": {
			net:  33,
			runs: 40,
			fault: func(c *cluster) {
				outage(c, 8*time.Second)
			},
		},
		"slow platform": {
			net:  34,
			runs: 40,
			fault: func(c *cluster) {
				slow := standin.Fault{
					Delay: 400 * time.Millisecond,
				}
				c.platform.Table.Faults.Set(slow)
				c.platform.Objects.Faults.Set(slow)
			},
		},
		"answers lost on lots and results": {
			net:  35,
			runs: 10,
			fault: func(c *cluster) {
				loseAnswers(c.platform.Objects.Faults, "result/", 30)
				for range 4 {
					loseAnswers(c.platform.Table.Faults, "Lot/", 12)
					time.Sleep(500 * time.Millisecond)
				}
			},
		},
		"answers lost on sessions and jobs": {
			net:  36,
			runs: 10,
			fault: func(c *cluster) {
				loseAnswers(c.platform.Table.Faults, "Session", 6)
				time.Sleep(3 * time.Second)
				loseAnswers(c.platform.Table.Faults, "Job", 6)
			},
		},
		"dispatcher killed during an outage": {
			net:  37,
			runs: 40,
			fault: func(c *cluster) {
				c.platform.Table.Faults.Set(standin.Fault{
					Outage: true,
				})
				kill(c, fleet.RoleDispatcher, c.lotHolder())
				outage(c, 6*time.Second)
			},
		},
		"engine lost": {
			net:  38,
			runs: 40,
			fault: func(c *cluster) {
				_ = c.servers[c.address(101, 8000)].Close()
			},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, batchCluster(tt.net))
			client := c.client(0)
			batch := submitBatch(t, client, batchInput(items, tokens, sheetPrompt))
			check := batchCheck{
				c:       c,
				id:      job.ID(batch.ID),
				items:   items,
				tokens:  tokens,
				content: sheetPrompt,
			}
			check.waitRuns(t, tt.runs)
			tt.fault(c)
			waitStatus(t, c.client(1), batch.ID, openai.BatchStatusCompleted)
			check.assertComplete(t)
		})
	}
}
