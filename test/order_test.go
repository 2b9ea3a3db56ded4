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

// orderTerm is the session term of the controllers: another controller takes over the issuing of orders after the
// issuer has not renewed its term for this long.
const orderTerm = 2 * time.Second

func orderCluster(t *testing.T, net int, checksFence bool) *cluster {
	options := defaultCluster(net)
	options.roles = []fleet.Role{fleet.RoleGateway, fleet.RoleController}
	options.engines = 4
	options.plain = 0
	options.engine.ChecksFence = checksFence
	options.engine.LoadTime = 200 * time.Millisecond
	options.engine.LoadLag = 100 * time.Millisecond
	options.customiseService = func(service *document.Service) {
		service.MaximumUnavailable = 0.5
	}
	options.customiseSettings = func(vmSettings *settings.Settings) {
		vmSettings.Timing.SessionTerm = settings.Duration(orderTerm)
		vmSettings.Timing.LongestOrder = settings.Duration(time.Second)
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

// issuer returns the VM whose controller holds the order term, and the term's fencing token.
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

// occupyEngines sends long requests through a VM's gateway until every engine runs one. The returned function waits for
// the answers.
func (c *cluster) occupyEngines(vm, number int) func() {
	c.t.Helper()
	const tokens = 400
	var group sync.WaitGroup
	runsBefore := make([]int, len(c.engines))
	for i, engine := range c.engines {
		runsBefore[i] = len(engine.Record.Runs())
	}
	asked := 0
	var askedAt time.Time
	ask := func() {
		i := asked
		asked++
		askedAt = time.Now()
		group.Go(func() {
			_, err := streamChat(c.client(vm), fmt.Sprintf("%d is number %d of the long questions", i, number), tokens)
			assert.Check(c.t, err)
		})
	}
	for range 4 * len(c.engines) {
		ask()
	}
	waitFor(c.t, "every engine to have work", readyTimeout, func() bool {
		for i, engine := range c.engines {
			if len(engine.Record.Runs()) == runsBefore[i] {
				// Gateways may still keep work from an engine that has just carried out an order.
				if time.Since(askedAt) > 200*time.Millisecond {
					ask()
				}
				return false
			}
		}
		return true
	})
	return group.Wait
}

// TestRollOutKeepsWithinMaximumUnavailable changes the model's version twice while callers send requests. At most the
// share of the engines that MaximumUnavailable allows may load a version at the same time.
func TestRollOutKeepsWithinMaximumUnavailable(t *testing.T) {
	t.Parallel()
	c := orderCluster(t, 95, true)
	var stopped atomic.Bool
	var answered, maxUnavailable atomic.Int64
	var group sync.WaitGroup
	for caller := range 4 {
		group.Go(func() {
			client := c.client(caller % c.options.vms)
			for i := 0; !stopped.Load(); i++ {
				question := fmt.Sprintf("question %d of %d", i, caller)
				answer, err := streamChat(client, question, 10)
				assert.Check(t, err)
				assert.Check(t, answer == standin.Answer(question, 10))
				answered.Add(1)
			}
		})
	}
	group.Go(func() {
		for !stopped.Load() {
			unavailable := int64(0)
			for _, engine := range c.engines {
				if engine.OrderState().Loading {
					unavailable++
				}
			}
			maxUnavailable.Store(max(maxUnavailable.Load(), unavailable))
			time.Sleep(5 * time.Millisecond)
		}
	})
	for version := 2; version <= 3; version++ {
		c.putVersion(0, version)
		c.waitVersion(version)
	}
	stopped.Store(true)
	group.Wait()
	assert.Assert(t, maxUnavailable.Load() >= 1 && maxUnavailable.Load() <= 2, "%d engines unavailable at once", maxUnavailable.Load())
	t.Logf("%d requests answered, at most %d engines unavailable at once", answered.Load(), maxUnavailable.Load())
}

// TestOldIssuerIsNotObeyed repeatedly freezes the controller that issues orders, until another one has taken over,
// while the document's model version changes. Engines must not obey orders with an older fencing token after the
// controller continues.
func TestOldIssuerIsNotObeyed(t *testing.T) {
	for name, checksFence := range map[string]bool{
		"engines that check fences":  true,
		"engines that ignore fences": false,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const freezes = 2
			net := 96
			if checksFence {
				net = 97
			}
			c := orderCluster(t, net, checksFence)
			version := 2
			c.putVersion(0, version)
			c.waitVersion(version)
			// drains holds the number of drains that each VM's controller had logged when it was last frozen.
			drains := map[int]int{}
			for range freezes {
				issuer, oldFence := c.issuer()
				otherVM := (issuer + 1) % c.options.vms
				// The requests keep the engines busy, so that the issuer still has orders to issue when it is frozen.
				c.waitVersion(version)
				waitAnswers := c.occupyEngines(otherVM, version)
				version++
				c.putVersion(otherVM, version)
				waitFor(t, "the issuer to wait for idle engines", readyTimeout, func() bool {
					return strings.Count(c.processes[processName(fleet.RoleController, issuer)].logText(), "msg=\"engine draining\"") > drains[issuer]
				})
				c.signal(fleet.RoleController, issuer, syscall.SIGSTOP)
				drains[issuer] = strings.Count(c.processes[processName(fleet.RoleController, issuer)].logText(), "msg=\"engine draining\"")
				waitAnswers()
				waitFor(t, "another issuer's orders to be obeyed", readyTimeout, func() bool {
					version++
					c.putVersion(otherVM, version)
					time.Sleep(300 * time.Millisecond)
					return slices.ContainsFunc(c.engines, func(engine *standin.Engine) bool {
						return slices.ContainsFunc(engine.OrderState().Obeyed, func(o standin.ObeyedOrder) bool { return o.Fence > oldFence })
					})
				})
				c.signal(fleet.RoleController, issuer, syscall.SIGCONT)
				for range 5 {
					version++
					c.putVersion(otherVM, version)
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
			t.Logf("%d orders obeyed, latest fencing token %d", total, fence)
		})
	}
}
