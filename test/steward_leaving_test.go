package test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/tablestore"
)

// leavingPromise is how soon after any gateway hears that an endpoint leaves nothing new may reach it.
const leavingPromise = 3 * time.Second

// Twelve gateways; only one VM's readings of the list show in time that an endpoint leaves, the others' are a minute old.
func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	options := defaultCluster(70)
	options.vms = 12
	options.engines = 3
	options.roles = []fleet.Role{fleet.RoleGateway, fleet.RoleDispatcher}
	options.lag = time.Minute
	options.engine.Slots = 16
	options.policy.LotItems = 5
	options.customise = func(s *settings.Settings) {
		s.Platform.VMListURL += "?reader=" + string(s.VM.Name)
	}
	c := newCluster(t, options)
	c.platform.VMs.SetLag("vm-0", 0)
	batch := submit(t, c.client(0), batchInput(100, 100, func(i int) string { return fmt.Sprintf("item %d", i) }))
	stop, end := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for vm := range options.vms {
		group.Go(func() {
			for i := 0; stop.Err() == nil; i++ {
				_, err := ask(c.client(vm), fmt.Sprintf("question %d of %d", i, vm), 4)
				assert.Check(t, err)
			}
		})
	}
	batchRuns := func() (running, ended int) {
		for _, run := range c.engines[0].Record.Runs() {
			switch {
			case run.Class != "Batch":
			case run.Ended.IsZero():
				running++
			default:
				ended++
			}
		}
		return running, ended
	}
	t.Cleanup(group.Wait)
	t.Cleanup(end)
	waitFor(t, "batch work on the endpoint", readyTimeout, func() bool {
		running, _ := batchRuns()
		return running > 0
	})
	vms := c.vmList()
	for i := range vms {
		if vms[i].Name == "engine-0" {
			vms[i].State = tablestore.VMLeaving
		}
	}
	c.platform.VMs.Set(vms)
	heardBy := time.Now().Add(time.Duration(c.settings[0].Timing.VMListPoll))
	waitStatus(t, c.client(0), batch.ID, openai.BatchStatusCompleted)
	time.Sleep(time.Until(heardBy.Add(leavingPromise + 2*time.Second)))
	end()
	group.Wait()
	for _, run := range c.engines[0].Record.Runs() {
		assert.Check(t, run.Started.Before(heardBy.Add(leavingPromise)), "%s %s began %s after the news", run.Class, run.RequestID, run.Started.Sub(heardBy))
		if run.Class == "Batch" {
			assert.Check(t, run.Ended.Before(heardBy.Add(leavingPromise)), "batch ended late")
		}
	}
	served := c.engines[1].Record.Runs()
	assert.Assert(t, served[len(served)-1].Started.After(heardBy.Add(leavingPromise)), "the others go on serving")
}

// A reading of the list lost, a late peer: what one process knows reaches another that the news passed by.
func TestLeavingIsTakenOverFromPeers(t *testing.T) {
	t.Parallel()
	options := defaultCluster(71)
	options.vms = 2
	options.roles = []fleet.Role{fleet.RoleGateway}
	options.lag = time.Minute
	options.customise = func(s *settings.Settings) {
		s.Platform.VMListURL += "?reader=" + string(s.VM.Name)
	}
	c := newCluster(t, options)
	c.platform.VMs.SetLag("vm-0", 0)
	c.signal(fleet.RoleGateway, 1, syscall.SIGSTOP)
	vms := c.vmList()
	for i := range vms {
		if vms[i].Name == "engine-0" {
			vms[i].State = tablestore.VMLeaving
		}
	}
	c.platform.VMs.Set(vms)
	time.Sleep(time.Duration(c.settings[0].Timing.VMListPoll) + leavingPromise)
	c.signal(fleet.RoleGateway, 1, syscall.SIGCONT)
	awake := time.Now()
	for i := 0; time.Since(awake) < leavingPromise+2*time.Second; i++ {
		_, err := ask(c.client(1), fmt.Sprintf("question %d", i), 1)
		assert.NilError(t, err)
	}
	for _, run := range c.engines[0].Record.Runs() {
		assert.Check(t, run.Started.Before(awake.Add(leavingPromise)), "began %s after the gateway ran again", run.Started.Sub(awake))
	}
}
