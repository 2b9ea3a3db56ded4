package platform

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOddEntriesAmongEndpoints guards against VMs that end, stop following the list of endpoints or send requests elsewhere
// because of one entry in it that is not an endpoint's.
func TestOddEntriesAmongEndpoints(t *testing.T) {
	t.Parallel()
	entry := func(address, slots string) string {
		return fmt.Sprintf(`{"service":"llm","address":%q,"zone":"a","slots":%s,"state":"ready"}`, address, slots)
	}
	tests := map[string]struct {
		subnet int
		value  string
	}{
		"deeply nested":       {subnet: 92, value: `{"service":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`},
		"number too large":    {subnet: 93, value: entry("127.0.0.1:9", "9223372036854775807")},
		"number out of range": {subnet: 94, value: entry("127.0.0.1:9", "1e400")},
		"port out of range":   {subnet: 95, value: entry("127.0.0.1:99999", "8")},
		"negative port":       {subnet: 96, value: entry("127.0.0.1:-7", "8")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEngineStandin("e0", 2, 5, eventInterval)
			c := newPlatform(t, test.subnet, e, newEngineStandin("e1", 2, 5, eventInterval))
			c.store.remove("servers", "e1")
			odd := func() {
				c.store.putBytes("servers", "odd", []byte(test.value))
			}
			odd()
			c.startAll(2)
			for round := range 3 {
				// The entry is there at the start, comes anew and replaces one that was in order.
				odd()
				c.putEngineRow(1, "ready")
				for vm := range 2 {
					for n := range 5 {
						id := fmt.Sprintf("%d-%d-%d", round, vm, n)
						got := c.send(vm, http.MethodPost, "/once/x", id, "")
						assert.Equal(t, got.status, http.StatusOK)
						assert.Equal(t, got.body, wholeStream(id, 5))
					}
				}
				job := fmt.Sprintf("j%d", round)
				assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", job, jobBody(job, 4, "b", 10)).status, http.StatusAccepted)
				c.waitResults(1, job, 4, 5)
				c.store.putBytes("servers", "e1", []byte(test.value))
			}
			// The VMs learn of the last replacement.
			time.Sleep(500 * time.Millisecond)
			before := c.engines[1].get(func(e *engineStandin) int { return len(e.arrivals) })
			for n := range 5 {
				assert.Equal(t, c.send(n%2, http.MethodPost, "/once/x", fmt.Sprintf("last-%d", n), "").status, http.StatusOK)
			}
			assert.Equal(t, c.engines[1].get(func(e *engineStandin) int { return len(e.arrivals) }), before)
			for vm := range 2 {
				assert.Equal(t, strings.Count(c.logs[vm].String(), "msg=started"), 1)
				assert.Assert(t, !strings.Contains(c.logs[vm].String(), "endpoint=odd service"), "the entry is taken for an endpoint")
				select {
				case <-c.processes[vm].done:
					t.Fatalf("vm-%d has ended", vm)
				default:
				}
			}
		})
	}
}
