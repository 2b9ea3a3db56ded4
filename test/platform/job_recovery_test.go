package platform

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestItemRunsAgainAtTheOnlyEndpoint guards against items that are not run again once they have failed at each endpoint of
// their service.
func TestItemRunsAgainAtTheOnlyEndpoint(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		subnet int
		// disrupt makes items fail, recover ends it.
		disrupt func(e *engineStandin)
		recover func(e *engineStandin)
	}{
		"answer broken off": {
			subnet:  73,
			disrupt: func(e *engineStandin) { e.breakAtEvent.Store(1) },
		},
		"rejected": {
			subnet:  74,
			disrupt: func(e *engineStandin) { e.refusing = true },
			recover: func(e *engineStandin) { e.refusing = false },
		},
		"restarted under its id": {
			subnet:  75,
			disrupt: func(e *engineStandin) { e.id = "other" },
			recover: func(e *engineStandin) { e.id = "e0" },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEngineStandin("e0", 4, 5, eventInterval)
			c := newCluster(t, test.subnet, 2, e)
			e.update(test.disrupt)
			assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 5, "b", 10)).status, http.StatusAccepted)
			if test.recover != nil {
				c.waitFor("an item failed", func() bool {
					return e.get(func(e *engineStandin) int { return len(e.arrivals) }) > 0
				})
				e.update(test.recover)
			}
			c.waitResults(1, "j", 5, 5)
		})
	}
}

// TestFailingItemIsGivenUpAtTheOnlyEndpoint guards against items that fail at each run and wait for another endpoint instead of
// being given up.
func TestFailingItemIsGivenUpAtTheOnlyEndpoint(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 4, 5, eventInterval)
	c := newCluster(t, 76, 2, e)
	e.update(func(e *engineStandin) { e.failing = true })
	assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 2, "b", 10)).status, http.StatusAccepted)
	c.waitResults(1, "j", 2, 5, "j-item-0", "j-item-1")
	assert.Equal(t, e.get(func(e *engineStandin) int { return e.runs["j-item-0"] }), 3)
}

// TestJobOutlivesItsRoute guards against VMs that answer 404 for jobs whose route a later configuration no longer has.
func TestJobOutlivesItsRoute(t *testing.T) {
	t.Parallel()
	online := func(prefix string) map[string]any {
		return map[string]any{
			"name": "other", "host": routeHost, "pathPrefix": prefix, "kind": "stream", "service": "llm",
			"timeoutMs": 20000, "targetLatencyMs": 300, "maxAttempts": 1, "gapAimMs": 250,
		}
	}
	moved := routes()[2]
	moved["pathPrefix"] = "/other/"
	elsewhere := routes()[2]
	elsewhere["host"] = "other.example"
	tests := map[string]struct {
		subnet int
		// routes are those of the later configuration.
		routes []map[string]any
		// restart means that all VMs are killed and started again with it.
		restart bool
	}{
		"removed":                             {subnet: 77, routes: []map[string]any{online("/once/")}},
		"removed, and all VMs restart":        {subnet: 78, routes: []map[string]any{online("/once/")}, restart: true},
		"another route matches all paths":     {subnet: 79, routes: []map[string]any{online("/")}},
		"another route, and all VMs restart":  {subnet: 80, routes: []map[string]any{online("/")}, restart: true},
		"another route has its path":          {subnet: 115, routes: []map[string]any{online("/jobs/")}},
		"the route has moved to another path": {subnet: 81, routes: []map[string]any{moved}},
		"the route has moved to another host": {subnet: 82, routes: []map[string]any{elsewhere}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEngineStandin("e0", 2, 40, 20*time.Millisecond)
			c := newCluster(t, test.subnet, 2, e)
			submit := func(vm int, id string) answer {
				r := c.request(vm, http.MethodPost, "/jobs/x", id, jobBody(id, 4, "the body", 10))
				r.Header.Set("Content-Type", "application/json")
				return doRequest(client, r)
			}
			assert.Equal(t, submit(0, "done").status, http.StatusAccepted)
			done := c.waitResults(1, "done", 4, 40)
			assert.Equal(t, submit(0, "open").status, http.StatusAccepted)
			c.replaceRoutes(test.routes)
			for vm := range 2 {
				if test.restart {
					c.signal(vm, syscall.SIGKILL)
					c.waitExit(vm)
					c.start(vm)
				}
			}
			for vm := range 2 {
				c.waitReady(vm)
				c.waitFor("configuration applied", func() bool {
					return strings.Contains(c.logs[vm].String(), fmt.Sprintf("version=%d ", c.version))
				})
			}
			for vm := range 2 {
				again, status := c.readResults(vm, "done", 0)
				assert.Equal(t, status, http.StatusOK)
				assert.DeepEqual(t, again, done)
				_, status = c.readResults(vm, "open", 0)
				assert.Equal(t, status, http.StatusOK)
				got := c.send(vm, http.MethodGet, "/items/open?id=open-item-3", "", "")
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, "the body")
				for _, id := range []string{"done", "open"} {
					assert.Equal(t, submit(vm, id).status, http.StatusAccepted)
					assert.Equal(t, e.get(func(e *engineStandin) int { return e.arrivals[id] }), 0, "the job was sent to an engine")
				}
				if test.routes[0]["pathPrefix"] == "/once/" || test.routes[0]["kind"] == "batch" {
					_, status = c.readResults(vm, "unknown", 0)
					assert.Equal(t, status, http.StatusNotFound)
					assert.Equal(t, submit(vm, "unknown").status, http.StatusNotFound)
				} else {
					assert.Equal(t, submit(vm, fmt.Sprintf("online-%d", vm)).status, http.StatusOK)
				}
				assert.Equal(t, c.send(vm, http.MethodDelete, "/lots/open", "", "").status, http.StatusOK)
			}
			before := e.get(func(e *engineStandin) int { return len(e.arrivals) })
			time.Sleep(time.Second)
			assert.Equal(t, e.get(func(e *engineStandin) int { return len(e.arrivals) }), before)
		})
	}
}
