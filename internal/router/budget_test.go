package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryBudget spends the initial budget, then what requests and time add to it.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	budget := newRetryBudget()
	now := time.Unix(0, 0)
	spend := func() int {
		spent := 0
		for budget.takeRetry("beacon-assist", now) {
			spent++
		}
		return spent
	}
	assert.Equal(t, spend(), int(retryBurst))
	for range 505 {
		budget.addRequest("beacon-assist", now)
	}
	assert.Equal(t, spend(), 50)
	now = now.Add(2 * time.Second)
	assert.Equal(t, spend(), 20)
	now = now.Add(time.Hour)
	assert.Equal(t, spend(), int(retryBurst))
	assert.Assert(t, budget.takeRetry("booking", now))
}
