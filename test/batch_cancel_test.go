package test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/standin"
)

// cancelGrace is how long after an acknowledged cancellation an item may still start.
const cancelGrace = 3 * time.Second

// TestBatchCancelStops cancels a job under faults. No item may start later than cancelGrace after the acknowledgement,
// and the job's counts must match the stored results.
func TestBatchCancelStops(t *testing.T) {
	const items, tokens = 1200, 10
	cases := map[string]struct {
		// net is the cluster's clusterOptions.net.
		net int
		// before and after inject a fault before the cancellation and after its acknowledgement.
		before func(c *cluster, holder int)
		after  func(c *cluster, holder int)
	}{
		"table away after the acknowledgement": {
			net: 40,
			after: func(c *cluster, _ int) {
				c.platform.Table.Faults.Set(standin.Fault{
					Outage: true,
				})
				time.Sleep(cancelGrace + 3*time.Second)
				c.platform.Table.Faults.Set(standin.Fault{})
			},
		},
		"dispatcher frozen during the cancellation": {
			net: 41,
			before: func(c *cluster, holder int) {
				c.signal(fleet.RoleDispatcher, holder, syscall.SIGSTOP)
			},
			after: func(c *cluster, holder int) {
				time.Sleep(cancelGrace + 2*time.Second)
				c.signal(fleet.RoleDispatcher, holder, syscall.SIGCONT)
			},
		},
		"dispatcher killed at the cancellation": {
			net: 42,
			after: func(c *cluster, holder int) {
				c.signal(fleet.RoleDispatcher, holder, syscall.SIGKILL)
				c.waitExit(fleet.RoleDispatcher, holder)
			},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			options := batchCluster(tt.net)
			// A claimed lot takes longer than cancelGrace, so that only the cancellation can stop it in time.
			options.policy.LotItems = items / 3
			c := newCluster(t, options)
			client := c.client(0)
			batch := submitBatch(t, client, batchInput(items, tokens, sheetPrompt))
			check := batchCheck{
				c:  c,
				id: job.ID(batch.ID),
			}
			check.waitRuns(t, 60)
			holder := c.lotHolder()
			if tt.before != nil {
				tt.before(c, holder)
			}
			_, err := client.Batches.Cancel(context.Background(), batch.ID)
			assert.NilError(t, err)
			acknowledged := time.Now()
			tt.after(c, holder)
			waitStatus(t, c.client(2), batch.ID, openai.BatchStatusCancelled)
			assert.Equal(t, check.startedAfter(acknowledged.Add(cancelGrace)), 0)
			row := check.row(t)
			assert.Equal(t, row.Counts.Completed+row.Counts.Failed, len(check.results(t)))
			assert.Assert(t, len(check.results(t)) < items)
			t.Logf("%d results stored, %d items started after the acknowledgement", len(check.results(t)), check.startedAfter(acknowledged))
		})
	}
}

// TestBatchSubmittedTwice sends the same submission concurrently to different gateways while answers of the platform
// are lost.
func TestBatchSubmittedTwice(t *testing.T) {
	t.Parallel()
	const items, tokens = 40, 5
	c := newCluster(t, batchCluster(43))
	loseAnswers(c.platform.Objects.Faults, "file/", 2)
	loseAnswers(c.platform.Table.Faults, "File", 2)
	// Half of the submissions name a second upload of the same items.
	files := make([]string, 2)
	for i := range files {
		client := c.client(i)
		file, err := client.Files.New(context.Background(), openai.FileNewParams{
			File:    openai.File(strings.NewReader(batchInput(items, tokens, sheetPrompt)), "input.jsonl", "application/jsonl"),
			Purpose: openai.FilePurposeBatch,
		})
		assert.NilError(t, err)
		files[i] = file.ID
	}
	loseAnswers(c.platform.Table.Faults, "Job", 4)
	ids := make([]string, 12)
	var sent sync.WaitGroup
	for i := range ids {
		sent.Go(func() {
			waitFor(t, "submission", readyTimeout, func() bool {
				client := c.client(i % 3)
				batch, err := client.Batches.New(context.Background(), openai.BatchNewParams{
					InputFileID:      files[i%len(files)],
					Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
					CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
				}, option.WithHeader("Idempotency-Key", "evening-sheets"))
				if err == nil {
					ids[i] = batch.ID
				}
				return err == nil
			})
		})
	}
	sent.Wait()
	for _, id := range ids {
		assert.Equal(t, id, ids[0])
	}
	waitStatus(t, c.client(1), ids[0], openai.BatchStatusCompleted)
	assert.Equal(t, len(c.platform.Table.Rows("Job")), 1)
	batchCheck{
		c:       c,
		id:      job.ID(ids[0]),
		items:   items,
		tokens:  tokens,
		content: sheetPrompt,
	}.assertComplete(t)
}

// TestBatchRefusalIsTrue submits jobs while the table is unavailable: if the refusal says "not run", no job may be
// stored.
func TestBatchRefusalIsTrue(t *testing.T) {
	t.Parallel()
	options := batchCluster(48)
	options.vms = 1
	c := newCluster(t, options)
	client := c.client(0)
	file, err := client.Files.New(context.Background(), openai.FileNewParams{
		File:    openai.File(strings.NewReader(batchInput(5, 2, sheetPrompt)), "input.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	assert.NilError(t, err)
	submitRefused := func(key string) *http.Response {
		var response *http.Response
		_, err := client.Batches.New(context.Background(), openai.BatchNewParams{
			InputFileID:      file.ID,
			Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
			CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
		}, option.WithHeader("Idempotency-Key", key), option.WithResponseInto(&response))
		assert.Assert(t, err != nil, "the submission was accepted")
		return response
	}
	c.platform.Table.Faults.Set(standin.Fault{
		Outage: true,
	})
	assert.Equal(t, submitRefused("down").Header.Get("Rhubarbrudder-Outcome"), "not run")
	loseAnswers(c.platform.Table.Faults, "Job", 100)
	assert.Equal(t, submitRefused("lost").Header.Get("Rhubarbrudder-Outcome"), "unknown")
	c.platform.Table.Faults.Set(standin.Fault{})
	rows := c.platform.Table.Rows("Job")
	assert.Equal(t, len(rows), 1, "the submission that was refused as not run was stored")
	assert.Equal(t, rows[0].Key.Sort, string(job.IDFor("lawinenwerk", "lost")))
}

// submitNonIdempotent creates a job of calls that may run at most once.
func submitNonIdempotent(t *testing.T, c *cluster, items int) job.ID {
	t.Helper()
	const path = "/services/booking/confirm"
	var input strings.Builder
	for i := range items {
		_, _ = fmt.Fprintf(&input, `{"custom_id":"item-%d","method":"POST","url":"%s","body":{"Seat":%d}}`+"\n", i, path, i)
	}
	client := c.client(0)
	file, err := client.Files.New(context.Background(), openai.FileNewParams{
		File:    openai.File(strings.NewReader(input.String()), "input.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	assert.NilError(t, err)
	body := fmt.Sprintf(`{"input_file_id":"%s","endpoint":"%s","completion_window":"24h"}`, file.ID, path)
	request, err := http.NewRequest(http.MethodPost, c.gatewayURL(0)+"/v1/batches", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	var created struct {
		ID string `json:"id"`
	}
	assert.NilError(t, json.Unmarshal(data, &created))
	assert.Assert(t, created.ID != "", "%s", data)
	return job.ID(created.ID)
}

// TestBatchRunsNonIdempotentItemsAtMostOnce kills one dispatcher and freezes another while calls run that must not be
// repeated.
func TestBatchRunsNonIdempotentItemsAtMostOnce(t *testing.T) {
	t.Parallel()
	const items = 400
	options := batchCluster(44)
	options.engines = 1
	options.plain = 3
	c := newCluster(t, options)
	for _, plain := range c.plains {
		plain.Delay = 400 * time.Millisecond
	}
	calls := func() []standin.Run {
		var found []standin.Run
		for _, plain := range c.plains {
			for _, run := range plain.Record.Runs() {
				if run.Path == "/confirm" {
					found = append(found, run)
				}
			}
		}
		return found
	}
	check := batchCheck{
		c:  c,
		id: submitNonIdempotent(t, c, items),
	}
	waitFor(t, "calls to run", readyTimeout, func() bool { return len(calls()) > 30 })
	frozen := c.lotHolder()
	killed := (frozen + 1) % 3
	survivor := processName(fleet.RoleDispatcher, (frozen+2)%3)
	c.signal(fleet.RoleDispatcher, frozen, syscall.SIGSTOP)
	held := c.lotsHeldBy(frozen)
	c.signal(fleet.RoleDispatcher, killed, syscall.SIGKILL)
	waitFor(t, "takeovers", readyTimeout, func() bool {
		return strings.Count(c.processes[survivor].logText(), "session taken over") == 2
	})
	c.waitTakeover(held)
	c.signal(fleet.RoleDispatcher, frozen, syscall.SIGCONT)
	waitStatus(t, c.client(2), string(check.id), openai.BatchStatusCompleted)
	assert.Assert(t, check.row(t).Once)
	startedCalls := map[string]bool{}
	for _, run := range calls() {
		assert.Assert(t, !startedCalls[run.RequestID], "call %s ran twice", run.RequestID)
		startedCalls[run.RequestID] = true
	}
	results := check.results(t)
	assert.Equal(t, len(results), items, "number of results")
	unknownOutcomes := 0
	for id, result := range results {
		if result.Failed() {
			assert.Equal(t, result.Error.Code, "outcome_unknown", "%s: %+v", id, result.Error)
			unknownOutcomes++
			continue
		}
		assert.Assert(t, startedCalls[string(result.ID)], "item %s has a result, but no service ran its call", id)
	}
	assert.Assert(t, len(startedCalls) <= items)
	t.Logf("%d items, %d calls ran, %d outcomes unknown", items, len(startedCalls), unknownOutcomes)
}

// TestBatchEndsDespiteBadItems runs a job with an item whose answer always breaks off, one that the engine refuses and
// one that is slow.
func TestBatchEndsDespiteBadItems(t *testing.T) {
	t.Parallel()
	const items, tokens = 120, 16
	marks := map[int]string{
		7:  standin.CrashMark,
		50: standin.InvalidPromptMark,
		73: standin.SlowMark,
	}
	content := func(i int) string {
		return sheetPrompt(i) + marks[i]
	}
	options := batchCluster(45)
	options.engine.TokenInterval = 40 * time.Millisecond
	c := newCluster(t, options)
	client := c.client(0)
	batch := submitBatch(t, client, batchInput(items, tokens, content))
	check := batchCheck{
		c:       c,
		id:      job.ID(batch.ID),
		items:   items,
		tokens:  tokens,
		content: content,
		alwaysFails: func(i int) bool {
			return i == 7 || i == 50
		},
	}
	waitStatus(t, client, batch.ID, openai.BatchStatusCompleted)
	check.assertComplete(t)
	results := check.results(t)
	assert.Equal(t, results["item-7"].Error.Code, "attempts_exhausted")
	assert.Equal(t, results["item-50"].Error.Code, "item_refused")
	var remainders []string
	for _, row := range c.platform.Table.Rows("Lot/" + batch.ID) {
		if strings.Contains(row.Key.Sort, "-") {
			remainders = append(remainders, row.Key.Sort)
		}
	}
	assert.Assert(t, len(remainders) > 0, "no remainder was split off")
	t.Logf("remainders: %v", remainders)
}
