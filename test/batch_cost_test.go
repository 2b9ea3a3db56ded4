package test

import (
	"testing"

	"github.com/openai/openai-go/v3"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/job"
)

// maxWritesPerItem limits the table writes per item of a job with 500 items per lot.
const maxWritesPerItem = 0.01

// TestBatchPlatformCost counts the reads and writes that a job causes. Renewals of sessions are subtracted, because
// they happen without jobs as well.
func TestBatchPlatformCost(t *testing.T) {
	t.Parallel()
	const items, tokens = 6000, 2
	options := batchCluster(46)
	options.policy.LotItems = 500
	options.policy.CheckpointMilliseconds = 500
	options.engine.Slots = 64
	options.engine.TokenInterval = 0
	c := newCluster(t, options)
	sessionRenewals := func() (writes int64) {
		for _, row := range c.platform.Table.Rows("Session") {
			writes += int64(row.Version)
		}
		return writes
	}
	statsBefore, renewalsBefore := c.platform.Stats(), sessionRenewals()
	client := c.client(0)
	batch := submitBatch(t, client, batchInput(items, tokens, sheetPrompt))
	waitStatus(t, client, batch.ID, openai.BatchStatusCompleted)
	statsAfter := c.platform.Stats()
	batchCheck{
		c:       c,
		id:      job.ID(batch.ID),
		items:   items,
		tokens:  tokens,
		content: sheetPrompt,
	}.assertComplete(t)
	writes := float64(statsAfter.Table.Writes-statsBefore.Table.Writes-(sessionRenewals()-renewalsBefore)) / items
	t.Logf("per item: %.4f table writes, %.4f table reads, %.4f object puts, %.4f object gets", writes,
		float64(statsAfter.Table.Reads-statsBefore.Table.Reads)/items,
		float64(statsAfter.Objects.Puts-statsBefore.Objects.Puts)/items,
		float64(statsAfter.Objects.Gets-statsBefore.Objects.Gets)/items)
	assert.Assert(t, writes < maxWritesPerItem, "%.4f writes per item", writes)
}
