package loadtest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestArrivals(t *testing.T) {
	rush := Rush{
		Seed:          1,
		Length:        time.Minute,
		CalmPerSecond: 20,
		Gateways:      12,
		Organisations: 6,
	}
	arrivals := rush.Arrivals()
	assert.DeepEqual(t, arrivals, rush.Arrivals())
	rush.Seed = 2
	assert.Assert(t, len(rush.Arrivals()) != len(arrivals), "another seed, other arrivals")
	perSecond := make([]int, 60)
	for i, arrival := range arrivals {
		assert.Assert(t, i == 0 || arrival.At >= arrivals[i-1].At, "in order")
		perSecond[int(arrival.At/time.Second)]++
	}
	idle, rushed := 0, 0
	for _, count := range perSecond {
		if count == 0 {
			idle++
		}
		if count > 100 {
			rushed++
		}
	}
	assert.Assert(t, idle >= 10 && rushed >= 5, "%d idle seconds and %d of a rush", idle, rushed)
}
