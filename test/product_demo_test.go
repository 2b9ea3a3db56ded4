package test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// demoLimit is how long the demo may take.
const demoLimit = time.Minute

// TestDemo checks that the demo ends in time and prints the expected results.
func TestDemo(t *testing.T) {
	t.Parallel()
	cli := commandLine{
		t: t,
	}
	started := time.Now()
	got := cli.run("demo", "--address", "127.114.0.1")
	assert.Equal(t, got.code, 0, got.stderr)
	assert.Assert(t, time.Since(started) < demoLimit)
	for _, want := range []string{
		// Every token of the stand-in engine begins with w.
		"Online request, streamed:\n  w",
		"20 items, one of which can never be done",
		"Job completed: 19 completed, 1 failed of 20.",
		"Results: GET /v1/files/file-output-batch_",
		"beacon-assist, FirstToken within 710 ms: 1 events, budget left",
	} {
		assert.Check(t, cmp.Contains(got.stdout, want))
	}
}
