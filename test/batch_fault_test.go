package test

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/standin"
)

// batchCluster returns the options of a cluster whose lots are small and whose items take about 200 ms.
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

func sheet(i int) string {
	return fmt.Sprintf("sheet %d", i)
}

// waitRuns waits until engines have begun the number of runs.
func (b batchCheck) waitRuns(t *testing.T, runs int) {
	t.Helper()
	waitFor(t, fmt.Sprintf("%d runs", runs), readyTimeout, func() bool {
		return len(b.runs()) >= runs
	})
}

// lose makes the next writes of the kind lose their answers after they took effect.
func lose(faults *standin.Faults, kind string, next int) {
	faults.Set(standin.Fault{
		Kind:     kind,
		LoseNext: next,
	})
}

// holder returns the VM whose dispatcher claimed most lots.
func (c *cluster) holder() int {
	most, found := 0, 0
	for vm := range c.options.vms {
		if claimed := strings.Count(c.processes[processName(fleet.RoleDispatcher, vm)].text(), "lot claimed"); claimed > most {
			most, found = claimed, vm
		}
	}
	return found
}

// waitTakeover waits until a lot was claimed anew.
func (c *cluster) waitTakeover() {
	waitFor(c.t, "a lot to be taken over", readyTimeout, func() bool {
		for _, row := range c.platform.Table.Rows("Lot/") {
			var lot job.Lot
			if json.Unmarshal(row.Data, &lot) == nil && lot.Claim > 1 {
				return true
			}
		}
		return false
	})
}

// TestBatchSurvives brings faults about while a job runs; the stand-ins' records judge the outcome.
func TestBatchSurvives(t *testing.T) {
	const items, tokens = 240, 10
	kill := func(c *cluster, role fleet.Role, vm int) {
		c.signal(role, vm, syscall.SIGKILL)
		c.waitExit(role, vm)
	}
	outage := func(c *cluster, lasts time.Duration) {
		down := standin.Fault{
			Outage: true,
		}
		c.platform.Table.Faults.Set(down)
		c.platform.Objects.Faults.Set(down)
		time.Sleep(lasts)
		c.platform.Table.Faults.Set(standin.Fault{})
		c.platform.Objects.Faults.Set(standin.Fault{})
	}
	cases := map[string]struct {
		net  int
		runs int
		// fault is brought about after the number of runs has begun.
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
				kill(c, fleet.RoleDispatcher, c.holder())
				killed := time.Now()
				c.waitTakeover()
				c.t.Logf("work of the killed dispatcher resumed after %s", time.Since(killed).Round(time.Millisecond))
			},
		},
		"dispatcher frozen beyond its term and back": {
			net:  32,
			runs: 40,
			fault: func(c *cluster) {
				frozen := c.holder()
				c.signal(fleet.RoleDispatcher, frozen, syscall.SIGSTOP)
				c.waitTakeover()
				c.signal(fleet.RoleDispatcher, frozen, syscall.SIGCONT)
				waitFor(c.t, "the old holder's commit to be refused", readyTimeout, func() bool {
					return strings.Contains(c.processes[processName(fleet.RoleDispatcher, frozen)].text(), "claim lost")
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
				lose(c.platform.Objects.Faults, "result/", 30)
				for range 4 {
					lose(c.platform.Table.Faults, "Lot/", 12)
					time.Sleep(500 * time.Millisecond)
				}
			},
		},
		"answers lost on sessions and jobs": {
			net:  36,
			runs: 10,
			fault: func(c *cluster) {
				lose(c.platform.Table.Faults, "Session", 6)
				time.Sleep(3 * time.Second)
				lose(c.platform.Table.Faults, "Job", 6)
			},
		},
		"dispatcher killed during an outage": {
			net:  37,
			runs: 40,
			fault: func(c *cluster) {
				c.platform.Table.Faults.Set(standin.Fault{
					Outage: true,
				})
				kill(c, fleet.RoleDispatcher, c.holder())
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
			batch := submit(t, client, batchInput(items, tokens, sheet))
			check := batchCheck{
				c:       c,
				id:      job.ID(batch.ID),
				items:   items,
				tokens:  tokens,
				content: sheet,
			}
			check.waitRuns(t, tt.runs)
			tt.fault(c)
			waitStatus(t, c.client(1), batch.ID, openai.BatchStatusCompleted)
			check.whole(t)
		})
	}
}
