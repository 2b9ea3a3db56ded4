package loadtest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestArrivals checks that equal settings give equal schedules, that another seed gives another one, and that a schedule
// is in order and has idle seconds and bursts.
func TestArrivals(t *testing.T) {
	load := BurstyLoad{
		Seed:          1,
		Length:        time.Minute,
		CalmPerSecond: 20,
		Gateways:      12,
		Organisations: 6,
	}
	arrivals := load.Arrivals()
	assert.DeepEqual(t, arrivals, load.Arrivals())
	load.Seed = 2
	assert.Assert(t, len(load.Arrivals()) != len(arrivals), "another seed gave as many arrivals")
	perSecond := make([]int, 60)
	for i, arrival := range arrivals {
		assert.Assert(t, i == 0 || arrival.At >= arrivals[i-1].At, "arrivals are out of order")
		perSecond[int(arrival.At/time.Second)]++
	}
	idle, burst := 0, 0
	for _, count := range perSecond {
		if count == 0 {
			idle++
		}
		if count > 100 {
			burst++
		}
	}
	assert.Assert(t, idle >= 10 && burst >= 5, "%d idle seconds, %d burst seconds", idle, burst)
}
