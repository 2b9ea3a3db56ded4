package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/inventory"
)

// TestAvoidedEndpointsAreUsedAgain guards against requests that wait in vain because each endpoint that could take them is one
// at which they failed before.
func TestAvoidedEndpointsAreUsedAgain(t *testing.T) {
	leaving := endpoints(1, "b")
	leaving[0].Leaving = true
	tests := map[string]struct {
		endpoints []inventory.Endpoint
		avoid     []inventory.ID
		// failing is an endpoint that the pool could not reach, full one whose slots are in use.
		failing inventory.ID
		full    inventory.ID
		// wait is how long the ticket waits, want the endpoint that it gets.
		wait time.Duration
		want inventory.ID
	}{
		"the only endpoint":                 {endpoints: endpoints(1, "a"), avoid: []inventory.ID{"a"}, want: "a"},
		"the only endpoint, failed thrice":  {endpoints: endpoints(1, "a"), avoid: []inventory.ID{"a", "a", "a"}, want: "a"},
		"each of three endpoints":           {endpoints: endpoints(1, "a", "b", "c"), avoid: []inventory.ID{"a", "b", "c"}, full: "b", failing: "c", want: "a"},
		"all but one that leaves":           {endpoints: append(endpoints(1, "a"), leaving...), avoid: []inventory.ID{"a"}, want: "a"},
		"all but one that does not answer":  {endpoints: endpoints(1, "a", "b"), avoid: []inventory.ID{"a"}, failing: "b", want: "a"},
		"all but one that has no slot":      {endpoints: endpoints(1, "a", "b"), avoid: []inventory.ID{"a"}, full: "b", wait: avoidTime, want: "a"},
		"all but one without a slot so far": {endpoints: endpoints(1, "a", "b"), avoid: []inventory.ID{"a"}, full: "b", wait: avoidTime / 2},
		"all but one that is free":          {endpoints: endpoints(1, "a", "b"), avoid: []inventory.ID{"a"}, want: "b"},
	}
	for name, test := range tests {
		for _, class := range []Class{ClassOnline, ClassBatch} {
			t.Run(name, func(t *testing.T) {
				now := time.Now()
				p := New()
				p.SetEndpoints(test.endpoints)
				if test.full != "" {
					p.AddRun(ticket("v", "other", ClassOnline, now, 0), test.full, now)
				}
				if test.failing != "" {
					p.AddRun(ticket("v", "failed", ClassOnline, now, 0), test.failing, now)
					p.Release("v", "failed", TroubleUnreachable, now)
				}
				p.Enqueue(Ticket{
					ID:      "one",
					VM:      "v",
					Class:   class,
					Start:   now.Add(time.Minute),
					Expires: now.Add(time.Hour),
					Avoid:   test.avoid,
				}, now)
				p.Decide(now)
				var got inventory.ID
				for _, outcome := range p.Decide(now.Add(test.wait)) {
					got = outcome.Endpoint.ID
				}
				for _, r := range p.runs {
					if r.ticket.ID == "one" {
						got = r.endpoint
					}
				}
				assert.Equal(t, got, test.want)
			})
		}
	}
}
