package test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/standin"
)

// TestGracefulShutdownCutsNoRequest shuts a gateway down while answers stream through it. All answers must be complete.
func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	const requests = 12
	const tokens = 200
	options := defaultCluster(22)
	options.vms = 1
	options.engine.Slots = requests
	options.engine.TokenInterval = 10 * time.Millisecond
	c := newCluster(t, options)
	client := c.client(0)
	var group sync.WaitGroup
	answers := make([]string, requests)
	errs := make([]error, requests)
	for i := range requests {
		group.Go(func() {
			answers[i], errs[i] = streamChat(client, fmt.Sprintf("question %d", i), tokens)
		})
	}
	waitFor(t, "every request to run", readyTimeout, func() bool {
		running := 0
		for _, engine := range c.engines {
			running += len(engine.Record.Runs())
		}
		return running == requests
	})
	c.signal(fleet.RoleGateway, 0, syscall.SIGTERM)
	group.Wait()
	for i := range requests {
		assert.NilError(t, errs[i])
		assert.Equal(t, answers[i], standin.Answer(fmt.Sprintf("question %d", i), tokens))
	}
	c.waitExit(fleet.RoleGateway, 0)
}
