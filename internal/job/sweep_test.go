package job_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/standin"
	"rhubarbrudder/internal/tablestore"
)

const retention = 30 * 24 * time.Hour

// endedJob stores an ended job whose only lot was claimed twice, and returns its ID.
func endedJob(t *testing.T, store *job.Store) job.ID {
	t.Helper()
	ctx := context.Background()
	made, err := store.Create(ctx, job.Job{
		ID:           job.IDFor("lawinenwerk", "key"),
		Organisation: "lawinenwerk",
		State:        job.StateRunning,
		Items:        1,
		Lots:         1,
	})
	assert.NilError(t, err)
	active, err := store.Active(ctx)
	assert.NilError(t, err)
	fenced, err := store.Claim(ctx, active[0], job.LotRow{
		Lot: job.Lot{
			ID: job.BaseLot(0),
		},
	}, "session-1")
	assert.NilError(t, err)
	assert.NilError(t, store.Checkpoint(ctx, made.ID, fenced, job.NewCheckpoint()))
	lot, err := store.Claim(ctx, active[0], fenced, "session-2")
	assert.NilError(t, err)
	result := []job.Result{
		{
			CustomID: "item-0",
		},
	}
	assert.ErrorIs(t, store.Complete(ctx, made.ID, fenced, result), job.ErrFenced)
	assert.NilError(t, store.Complete(ctx, made.ID, lot, result))
	ended, err := store.Finish(ctx, made.ID)
	assert.NilError(t, err)
	assert.Assert(t, ended)
	return made.ID
}

func TestSweepDeletesUnreferencedObjects(t *testing.T) {
	platform := standin.NewPlatform(1, 0)
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	objects := tablestore.NewObjects(server.Client(), server.URL, "objects", nil)
	store := job.NewStore(tablestore.NewTable(server.Client(), server.URL, "test", nil), objects)
	ctx := context.Background()
	id := endedJob(t, store)
	input := strings.NewReader(`{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}`)
	upload := job.NewIntake(objects, document.StandardPolicy(), "lawinenwerk", "orphan.jsonl")
	_, err := upload.Read(ctx, input)
	assert.NilError(t, err)
	sweeper := job.NewSweeper(store, objects, func(string) bool { return true }, func() time.Duration { return retention }, slog.New(slog.DiscardHandler))

	assert.Equal(t, len(platform.Objects.Names("result/")), 2, "the stored result and that of the fenced claim")
	assert.NilError(t, sweeper.Sweep(ctx, time.Now()))
	assert.Equal(t, len(platform.Objects.Names("result/")), 2)
	assert.Equal(t, len(platform.Objects.Names("file/")), 1)

	assert.NilError(t, sweeper.Sweep(ctx, time.Now().Add(25*time.Hour)))
	assert.Equal(t, len(platform.Objects.Names("file/")), 0)
	lots, err := store.Lots(ctx, id)
	assert.NilError(t, err)
	assert.DeepEqual(t, platform.Objects.Names("result/"), []string{string(lots[0].Results)})

	assert.NilError(t, sweeper.Sweep(ctx, time.Now().Add(retention+time.Hour)))
	assert.Equal(t, len(platform.Objects.Names("")), 0)
	assert.Equal(t, len(platform.Table.Rows("")), 0)
}
