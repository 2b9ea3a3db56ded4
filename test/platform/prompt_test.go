package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// promptJob returns the body that submits a job whose items have prompts of the size, which their headers state.
func promptJob(id string, items, tokens int) string {
	requests := make([]map[string]any, 0, items)
	for n := range items {
		requests = append(requests, map[string]any{
			"id":      fmt.Sprintf("%s-item-%d", id, n),
			"path":    "/jobs/item",
			"headers": map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,3", tokens)},
			"body":    []byte("body"),
			"tokens":  10,
		})
	}
	data, _ := json.Marshal(map[string]any{"requests": requests})
	return string(data)
}

// TestItemsWithLongPrompts guards against items that never get to their first event, because each of the sound endpoints is cut
// off while it reads their prompts.
func TestItemsWithLongPrompts(t *testing.T) {
	tests := map[string]struct {
		subnet   int
		tokens   int
		reading  time.Duration
		pausesAt int
		// mostRuns is the largest number of runs of an item.
		mostRuns int
	}{
		"as long as the headers state": {subnet: 162, tokens: 20_000, reading: 1300 * time.Millisecond, mostRuns: 1},
		"read again between events":    {subnet: 163, tokens: 20_000, reading: 1300 * time.Millisecond, pausesAt: 2, mostRuns: 1},
		"longer than they state":       {subnet: 164, tokens: 10, reading: 3 * time.Second, mostRuns: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engines := []*engineStandin{
				newEngineStandin("e0", 4, 3, eventInterval),
				newEngineStandin("e1", 4, 3, eventInterval),
			}
			for _, e := range engines {
				e.reads = func(http.Header) time.Duration { return test.reading }
				e.pausesAt = test.pausesAt
			}
			c := newCluster(t, test.subnet, 2, engines...)
			const items = 4
			assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", promptJob("j", items, test.tokens)).status, http.StatusAccepted)
			c.waitResults(1, "j", items, 3)
			for n := range items {
				id := fmt.Sprintf("j-item-%d", n)
				runs := 0
				for _, e := range engines {
					runs += e.get(func(e *engineStandin) int { return e.runs[id] })
				}
				assert.Assert(t, runs <= test.mostRuns, "%s: %d runs", id, runs)
			}
		})
	}
}
