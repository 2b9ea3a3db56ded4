package test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"gotest.tools/v3/assert"
)

// BenchmarkBatchThroughput runs a job, then sends the same items directly to the same engines with the concurrency that
// batch may use and without storing results, and reports the ratio of the two rates.
func BenchmarkBatchThroughput(b *testing.B) {
	const items, tokens, slots = 12000, 16, 32
	options := batchCluster(47)
	options.engine.Slots = slots
	options.engine.TokenInterval = 4 * time.Millisecond
	options.policy.LotItems = 500
	options.policy.CheckpointMilliseconds = 3000
	for b.Loop() {
		c := newCluster(b, options)
		client := c.client(0)
		start := time.Now()
		batch := submitBatch(b, client, batchInput(items, tokens, sheetPrompt))
		waitStatus(b, client, batch.ID, openai.BatchStatusCompleted)
		systemRate := items / time.Since(start).Seconds()
		directRate := runDirectly(b, c, items, tokens, slots-2)
		b.ReportMetric(systemRate, "items/s")
		b.ReportMetric(directRate, "direct-items/s")
		b.ReportMetric(systemRate/directRate, "ratio")
		c.stop()
	}
}

// runDirectly sends the items to the engines with the given concurrency at each engine, and returns the rate.
func runDirectly(tb testing.TB, c *cluster, items, tokens, concurrency int) float64 {
	tb.Helper()
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: concurrency,
		},
	}
	next := make(chan int, items)
	for i := range items {
		next <- i
	}
	close(next)
	start := time.Now()
	var group sync.WaitGroup
	for engine := range c.options.engines {
		url := "http://" + c.address(101+engine, 8000) + "/v1/chat/completions"
		for range concurrency {
			group.Go(func() {
				for i := range next {
					body := fmt.Sprintf(`{"model":"%s","max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"%s"}]}`, testModel, tokens, sheetPrompt(i))
					response, err := client.Post(url, "application/json", bytes.NewReader([]byte(body)))
					assert.Check(tb, err)
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			})
		}
	}
	group.Wait()
	return float64(items) / time.Since(start).Seconds()
}
