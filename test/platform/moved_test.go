package platform

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// movable returns routes for batch jobs and for online requests with much time, to a service.
func movable(service string) []map[string]any {
	jobs := routes()[2]
	jobs["service"] = service
	online := map[string]any{
		"name": "patient", "host": routeHost, "pathPrefix": "/patient/", "kind": "idempotent", "service": service,
		"timeoutMs": 20000, "targetLatencyMs": 10000, "maxAttempts": 2,
	}
	return []map[string]any{jobs, online}
}

// TestWaitingRequestsFollowTheirRoute guards against items and requests that wait for a service that their route has left.
func TestWaitingRequestsFollowTheirRoute(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		subnet int
		// services are those to which the routes lead, one after the other.
		services []string
		// leaves means that the endpoint of the first service, which runs some of the items, takes no new work.
		leaves bool
	}{
		"from a service without endpoints":   {subnet: 83, services: []string{"empty", "llm"}},
		"there and back":                     {subnet: 84, services: []string{"empty", "llm", "empty", "llm"}},
		"from a service whose endpoint left": {subnet: 85, services: []string{"old", "llm"}, leaves: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newPlatform(t, test.subnet, newEngineStandin("e0", 4, 5, eventInterval), newEngineStandin("e1", 1, 40, 20*time.Millisecond))
			old := func(state string) {
				c.store.put("servers", "e1", map[string]any{
					"service": "old",
					"address": c.address(102, portEngine),
					"zone":    "a",
					"slots":   1,
					"state":   state,
				})
			}
			old("ready")
			c.replaceRoutes(movable(test.services[0]))
			c.startAll(2)
			assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 4, "b", 10)).status, http.StatusAccepted)
			online := make(chan answer, 1)
			if !test.leaves {
				go func() {
					online <- c.send(1, http.MethodPost, "/patient/x", "patient", "")
				}()
			}
			time.Sleep(300 * time.Millisecond)
			for _, service := range test.services[1:] {
				if test.leaves {
					old("draining")
				}
				c.replaceRoutes(movable(service))
				time.Sleep(50 * time.Millisecond)
			}
			moved := time.Now()
			c.waitFor("job complete", func() bool {
				l, _ := c.readResults(1, "j", 0)
				return len(l.Results) == 4
			})
			l, _ := c.readResults(1, "j", 0)
			for _, r := range l.Results {
				assert.Equal(t, r.State, "succeeded", "item %s", r.ID)
			}
			if !test.leaves {
				assert.Equal(t, (<-online).status, http.StatusOK)
			}
			assert.Assert(t, time.Since(moved) < 5*time.Second, "took %v", time.Since(moved))
		})
	}
}
