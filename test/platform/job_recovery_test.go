package platform

import (
	"net/http"
	"testing"

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
