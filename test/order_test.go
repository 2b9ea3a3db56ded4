package test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/standin"
)

const orderTerm = 2 * time.Second

func orderCluster(t *testing.T, net int, checksFence bool) *cluster {
	options := defaultCluster(net)
	options.roles = []fleet.Role{fleet.RoleGateway, fleet.RoleController}
	options.engines = 4
	options.plain = 0
	options.engine.ChecksFence = checksFence
	options.engine.LoadTime = 200 * time.Millisecond
	options.engine.LoadLag = 100 * time.Millisecond
	options.service = func(service *document.Service) {
		service.MaximumUnavailable = 0.5
	}
	options.customise = func(made *settings.Settings) {
		made.Timing.SessionTerm = settings.Duration(orderTerm)
		made.Timing.LongestOrder = settings.Duration(time.Second)
	}
	return newCluster(t, options)
}

func (c *cluster) putVersion(vm int, version int) {
	c.t.Helper()
	c.operator(testToken).mustPut(vm, fmt.Sprintf("version-%d", version), document.Models, func(section *document.Section) {
		section.Entries[testModel] = json.RawMessage(fmt.Sprintf(`{"Version":"%d"}`, version))
	})
}

func (c *cluster) waitVersion(version int) {
	c.t.Helper()
	waitFor(c.t, fmt.Sprintf("every engine to hold version %d", version), readyTimeout, func() bool {
		for _, engine := range c.engines {
			state := engine.OrderState()
			if state.Loading || state.Current.Version != strconv.Itoa(version) {
				return false
			}
		}
		return true
	})
}

// issuer returns the VM that holds the order term and the term's fencing number.
func (c *cluster) issuer() (int, int64) {
	for _, row := range c.platform.Table.Rows("OrderTerm") {
		var term struct {
			Issuer string
			Fence  int64
		}
		assert.NilError(c.t, json.Unmarshal(row.Data, &term))
		for vm := range c.options.vms {
			if strings.HasPrefix(term.Issuer, fmt.Sprintf("Controller/vm-%d/", vm)) {
				return vm, term.Fence
			}
		}
	}
	return -1, 0
}

// askLong has every engine answer a long request through a VM's gateway; the returned function waits for the answers.
func (c *cluster) askLong(vm, number int) func() {
	c.t.Helper()
	const tokens = 400
	var group sync.WaitGroup
	before := make([]int, len(c.engines))
	for i, engine := range c.engines {
		before[i] = len(engine.Record.Runs())
	}
	for i := range 4 * len(c.engines) {
		group.Go(func() {
			_, err := ask(c.client(vm), fmt.Sprintf("%d is number %d of the long questions", i, number), tokens)
			assert.Check(c.t, err)
		})
	}
	waitFor(c.t, "every engine to have work", readyTimeout, func() bool {
		for i, engine := range c.engines {
			if len(engine.Record.Runs()) == before[i] {
				return false
			}
		}
		return true
	})
	return group.Wait
}

// TestRollOutTakesNoMoreThanTheStatedShareOut changes the model's version while callers ask all the time.
func TestRollOutTakesNoMoreThanTheStatedShareOut(t *testing.T) {
	t.Parallel()
	c := orderCluster(t, 95, true)
	var over atomic.Bool
	var asked, most atomic.Int64
	var group sync.WaitGroup
	for caller := range 4 {
		group.Go(func() {
			client := c.client(caller % c.options.vms)
			for i := 0; !over.Load(); i++ {
				question := fmt.Sprintf("question %d of %d", i, caller)
				answer, err := ask(client, question, 10)
				assert.Check(t, err)
				assert.Check(t, answer == standin.Answer(question, 10))
				asked.Add(1)
			}
		})
	}
	group.Go(func() {
		for !over.Load() {
			out := int64(0)
			for _, engine := range c.engines {
				if engine.OrderState().Loading {
					out++
				}
			}
			most.Store(max(most.Load(), out))
			time.Sleep(5 * time.Millisecond)
		}
	})
	for version := 2; version <= 3; version++ {
		c.putVersion(0, version)
		c.waitVersion(version)
	}
	over.Store(true)
	group.Wait()
	assert.Assert(t, most.Load() >= 1 && most.Load() <= 2, "%d engines out at once", most.Load())
	t.Logf("%d requests answered, at most %d engines out at once", asked.Load(), most.Load())
}

// TestOldIssuerIsNotObeyed freezes the controller that issues orders, again and again, while the wanted version changes,
// and looks at what engines obeyed after another had taken over and the first had woken.
func TestOldIssuerIsNotObeyed(t *testing.T) {
	for name, checks := range map[string]bool{
		"engines that check fences":  true,
		"engines that ignore fences": false,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const freezes = 2
			net := 96
			if checks {
				net = 97
			}
			c := orderCluster(t, net, checks)
			version := 2
			c.putVersion(0, version)
			c.waitVersion(version)
			drains := map[int]int{}
			for range freezes {
				vm, before := c.issuer()
				other := (vm + 1) % c.options.vms
				// Requests keep the engines from being idle, so that the issuer is frozen with orders in hand.
				c.waitVersion(version)
				finish := c.askLong(other, version)
				version++
				c.putVersion(other, version)
				waitFor(t, "the issuer to wait for idle engines", readyTimeout, func() bool {
					return strings.Count(c.processes[processName(fleet.RoleController, vm)].text(), "msg=\"engine draining\"") > drains[vm]
				})
				c.signal(fleet.RoleController, vm, syscall.SIGSTOP)
				drains[vm] = strings.Count(c.processes[processName(fleet.RoleController, vm)].text(), "msg=\"engine draining\"")
				finish()
				waitFor(t, "another issuer's orders to be obeyed", readyTimeout, func() bool {
					version++
					c.putVersion(other, version)
					time.Sleep(300 * time.Millisecond)
					return slices.ContainsFunc(c.engines, func(engine *standin.Engine) bool {
						return slices.ContainsFunc(engine.OrderState().Obeyed, func(o standin.ObeyedOrder) bool { return o.Fence > before })
					})
				})
				c.signal(fleet.RoleController, vm, syscall.SIGCONT)
				for range 5 {
					version++
					c.putVersion(other, version)
					time.Sleep(200 * time.Millisecond)
				}
			}
			c.waitVersion(version)
			_, fence := c.issuer()
			assert.Assert(t, fence >= 1+freezes)
			total := 0
			for i, engine := range c.engines {
				obeyed := engine.OrderState().Obeyed
				total += len(obeyed)
				assert.Assert(t, slices.IsSortedFunc(obeyed, func(a, b standin.ObeyedOrder) int { return int(a.Fence - b.Fence) }), "engine %d: %v", i, obeyed)
			}
			t.Logf("%d orders obeyed under %d fences", total, fence)
		})
	}
}
