package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/standin"
	"rhubarbrudder/internal/tablestore"
)

// batchCheck checks a job only against what the stand-ins recorded and stored, not against the system's answers.
type batchCheck struct {
	c      *cluster
	id     job.ID
	items  int
	tokens int
	// content returns the prompt of an item.
	content func(i int) string
	// alwaysFails reports whether an item can never succeed. If it is nil, every item must succeed.
	alwaysFails func(i int) bool
}

// row returns the job's stored row.
func (b batchCheck) row(t *testing.T) job.Job {
	t.Helper()
	var found job.Job
	for _, row := range b.c.platform.Table.Rows("Job") {
		if row.Key.Sort == string(b.id) {
			assert.NilError(t, json.Unmarshal(row.Data, &found))
		}
	}
	assert.Equal(t, found.ID, b.id)
	return found
}

// results returns the stored results of the job's lots by the items' custom ids. It fails the test if an item has two.
func (b batchCheck) results(t *testing.T) map[string]job.Result {
	t.Helper()
	found := map[string]job.Result{}
	for _, row := range b.c.platform.Table.Rows("Lot/" + string(b.id)) {
		var lot job.Lot
		assert.NilError(t, json.Unmarshal(row.Data, &lot))
		for _, name := range []tablestore.ObjectName{lot.Results, lot.Errors} {
			if name == "" {
				continue
			}
			data, ok := b.c.platform.Objects.Data(name)
			assert.Assert(t, ok, "lost object %s", name)
			for line := range bytes.Lines(data) {
				var result job.Result
				assert.NilError(t, json.Unmarshal(line, &result))
				_, duplicate := found[result.CustomID]
				assert.Assert(t, !duplicate, "item %s has two results", result.CustomID)
				found[result.CustomID] = result
			}
		}
	}
	return found
}

// finished returns the requests that engines answered completely.
func (b batchCheck) finished() map[request.ID]bool {
	found := map[request.ID]bool{}
	for _, engine := range b.c.engines {
		for _, run := range engine.Record.Runs() {
			if run.Finished {
				found[request.ID(run.RequestID)] = true
			}
		}
	}
	return found
}

// assertComplete fails the test unless each accepted item has exactly one complete and readable result.
func (b batchCheck) assertComplete(t *testing.T) {
	t.Helper()
	results := b.results(t)
	finished := b.finished()
	assert.Equal(t, len(results), b.items, "number of results")
	failed := 0
	for i := range b.items {
		result, ok := results[fmt.Sprintf("item-%d", i)]
		assert.Assert(t, ok, "no result of item %d", i)
		if b.alwaysFails != nil && b.alwaysFails(i) {
			failed++
			assert.Assert(t, result.Failed(), "item %d", i)
			continue
		}
		assert.Assert(t, !result.Failed(), "item %d failed: %+v", i, result.Error)
		text := gjson.GetBytes(result.Response.Body, "choices.0.message.content").String()
		assert.Equal(t, text, standin.Answer(b.content(i), b.tokens), "item %d", i)
		assert.Assert(t, finished[result.ID], "item %d has a result, but no engine answered it", i)
	}
	row := b.row(t)
	assert.Equal(t, row.State, job.StateCompleted)
	assert.Equal(t, row.Counts.Completed, b.items-failed)
	assert.Equal(t, row.Counts.Failed, failed)
	t.Logf("%d items, %d engine runs finished, %d of them beyond one per item", b.items, len(finished), len(finished)-(b.items-failed))
}

// startedAfter counts the engine runs that started after the given time.
func (b batchCheck) startedAfter(at time.Time) int {
	count := 0
	for _, run := range b.runs() {
		if run.Started.After(at) {
			count++
		}
	}
	return count
}

func (b batchCheck) runs() []standin.Run {
	var runs []standin.Run
	for _, engine := range b.c.engines {
		runs = append(runs, engine.Record.Runs()...)
	}
	return runs
}
