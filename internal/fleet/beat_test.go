package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnknownTargetsDiffer checks that an address at which no member is known to be alive gets one heartbeat a round.
func TestUnknownTargetsDiffer(t *testing.T) {
	cases := map[string]struct {
		unknown []string
		targets int
	}{
		"none":  {},
		"one":   {unknown: []string{"a"}, targets: 1},
		"three": {unknown: []string{"a", "b", "c"}, targets: 3},
		"many":  {unknown: []string{"a", "b", "c", "d", "e"}, targets: unknownPerRound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &Fleet{
				unknown: c.unknown,
			}
			for range 100 {
				seen := map[string]bool{}
				for _, to := range f.unknownTargets() {
					assert.Assert(t, !seen[to.address], "%s twice", to.address)
					seen[to.address] = true
				}
				assert.Equal(t, len(seen), c.targets)
			}
		})
	}
}
