package batch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/route"
)

// expiringSlots refuses each request when it expires.
type expiringSlots struct{}

func (expiringSlots) Acquire(ctx context.Context, _ route.Service, request pool.SlotRequest) (*pool.Slot, error) {
	if !sleep(ctx, time.Until(request.Expires)) {
		return nil, ctx.Err()
	}
	return nil, &pool.Refused{}
}

// TestItemMayWaitAsLongAsItsRouteAllows guards against items that are given up by the configuration of their submission although
// a later one gives them more time, and against items that a later one takes time from.
func TestItemMayWaitAsLongAsItsRouteAllows(t *testing.T) {
	const short, long = 100 * time.Millisecond, time.Hour
	tests := map[string]struct {
		submitted time.Duration
		now       time.Duration
		dead      bool
	}{
		"short":      {submitted: short, now: short, dead: true},
		"lengthened": {submitted: short, now: long},
		"shortened":  {submitted: long, now: short},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			mgr := newManager(t, newMemoryStore(), "a")
			mgr.clients = expiringSlots{}
			mgr.sender = forward.NewSender(noPrompts{})
			config := batchConfig()
			config.Routes[0].Abandon = test.now
			mgr.view.Apply(config)
			rt := *jobRoute
			rt.Abandon = test.submitted
			assert.NilError(t, mgr.Accept(context.Background(), submission("j", 2, 10), &rt))
			time.Sleep(5 * short)
			results, err := mgr.ledger.results(context.Background(), "j", 0, true)
			assert.NilError(t, err)
			assert.Equal(t, len(results) > 0, test.dead)
		})
	}
}
