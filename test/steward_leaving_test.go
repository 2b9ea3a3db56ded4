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

// leavingLimit is the time after which no new request may reach a leaving endpoint. It counts from when the first
// gateway learns that the endpoint leaves.
const leavingLimit = 3 * time.Second

// TestLeavingEndpointGetsNothingNew runs twelve gateways. Only vm-0 reads a current VM list; the list that the other
// VMs read is a minute old, so that they must learn from vm-0 that an endpoint leaves.
func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	options := defaultCluster(70)
	options.vms = 12
	options.engines = 3
	options.roles = []fleet.Role{fleet.RoleGateway, fleet.RoleDispatcher}
	options.vmListLag = time.Minute
	options.engine.Slots = 16
	options.policy.LotItems = 5
	options.customiseSettings = func(s *settings.Settings) {
		s.Platform.VMListURL += "?reader=" + string(s.VM.Name)
	}
	c := newCluster(t, options)
	c.platform.VMs.SetLag("vm-0", 0)
	batch := submitBatch(t, c.client(0), batchInput(100, 100, func(i int) string { return fmt.Sprintf("item %d", i) }))
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for vm := range options.vms {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				_, err := streamChat(c.client(vm), fmt.Sprintf("question %d of %d", i, vm), 4)
				assert.Check(t, err)
			}
		})
	}
	countBatchRuns := func() (running, ended int) {
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
	t.Cleanup(cancel)
	waitFor(t, "batch work on the endpoint", readyTimeout, func() bool {
		running, _ := countBatchRuns()
		return running > 0
	})
	vms := c.vmList()
	for i := range vms {
		if vms[i].Name == "engine-0" {
			vms[i].State = tablestore.VMLeaving
		}
	}
	c.platform.VMs.Set(vms)
	knownBy := time.Now().Add(time.Duration(c.settings[0].Timing.VMListPoll))
	waitStatus(t, c.client(0), batch.ID, openai.BatchStatusCompleted)
	time.Sleep(time.Until(knownBy.Add(leavingLimit + 2*time.Second)))
	cancel()
	group.Wait()
	for _, run := range c.engines[0].Record.Runs() {
		assert.Check(t, run.Started.Before(knownBy.Add(leavingLimit)), "%s request %s started %s after the first gateway knew", run.Class, run.RequestID, run.Started.Sub(knownBy))
		if run.Class == "Batch" {
			assert.Check(t, run.Ended.Before(knownBy.Add(leavingLimit)), "batch request ended late")
		}
	}
	served := c.engines[1].Record.Runs()
	assert.Assert(t, served[len(served)-1].Started.After(knownBy.Add(leavingLimit)), "the other endpoint stopped serving")
}

// TestLeavingIsTakenOverFromPeers freezes a gateway whose VM list is a minute old while the other gateway learns that
// an endpoint leaves. After the freeze, the gateway must learn it from its peer.
func TestLeavingIsTakenOverFromPeers(t *testing.T) {
	t.Parallel()
	options := defaultCluster(71)
	options.vms = 2
	options.roles = []fleet.Role{fleet.RoleGateway}
	options.vmListLag = time.Minute
	options.customiseSettings = func(s *settings.Settings) {
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
	time.Sleep(time.Duration(c.settings[0].Timing.VMListPoll) + leavingLimit)
	c.signal(fleet.RoleGateway, 1, syscall.SIGCONT)
	resumedAt := time.Now()
	for i := 0; time.Since(resumedAt) < leavingLimit+2*time.Second; i++ {
		_, err := streamChat(c.client(1), fmt.Sprintf("question %d", i), 1)
		assert.NilError(t, err)
	}
	for _, run := range c.engines[0].Record.Runs() {
		assert.Check(t, run.Started.Before(resumedAt.Add(leavingLimit)), "request started %s after the gateway continued", run.Started.Sub(resumedAt))
	}
}
