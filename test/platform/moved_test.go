package platform

import (
	"net/http"
	"strings"
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

// TestBrokenRequestFollowsItsRoute guards against requests whose answer broke off, and which may be sent again, that wait for the
// service that their route has left.
func TestBrokenRequestFollowsItsRoute(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		subnet int
		// change changes the routes of the later configuration.
		change func(online map[string]any)
		status int
	}{
		"idempotent":                {subnet: 7, status: http.StatusOK},
		"may not be repeated there": {subnet: 8, change: func(online map[string]any) { online["kind"] = "non_idempotent" }, status: http.StatusGatewayTimeout},
		"no attempt is left there":  {subnet: 9, change: func(online map[string]any) { online["maxAttempts"] = 1 }, status: http.StatusGatewayTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			left := newEngineStandin("e1", 1, 40, eventInterval)
			left.breakAtEvent.Store(20)
			c := newPlatform(t, test.subnet, newEngineStandin("e0", 4, 5, eventInterval), left)
			c.store.put("servers", "e1", map[string]any{
				"service": "old", "address": c.address(102, portEngine), "zone": "a", "slots": 1, "state": "ready",
			})
			c.replaceRoutes(movable("old"))
			c.startAll(2)
			online := make(chan answer, 1)
			go func() {
				r := c.request(1, http.MethodPost, "/patient/x", "patient", "")
				r.Header.Set("X-Deadline-Ms", "4000")
				online <- doRequest(client, r)
			}()
			c.waitFor("the request runs", func() bool { return left.arrived() > 0 })
			c.store.remove("servers", "e1")
			c.waitFor("the request waits again", func() bool {
				return strings.Contains(c.logs[1].String(), "msg=\"attempt failed\" id=patient")
			})
			later := movable("llm")
			if test.change != nil {
				test.change(later[1])
			}
			c.replaceRoutes(later)
			got := <-online
			assert.Equal(t, got.status, test.status)
			assert.Equal(t, left.arrived(), 1)
			assert.Equal(t, c.engines[0].arrived() == 1, test.status == http.StatusOK)
		})
	}
}
