package job

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbrudder/internal/lease"
	"rhubarbrudder/internal/tablestore"
)

const (
	modelLots    = 3
	modelItems   = 4
	modelWorkers = 3
)

// modelWorker is a process that holds lots. It may continue after its session has lapsed, without knowing about that.
type modelWorker struct {
	session lease.SessionID
	held    map[LotID]*heldLot
}

type heldLot struct {
	row      LotRow
	progress Checkpoint
}

// model is one job and the workers that process it.
type model struct {
	store    *Store
	platform *fakePlatform
	id       ID
	workers  []*modelWorker
	lapsed   map[lease.SessionID]bool
	// sessions counts the sessions that were started.
	sessions int
}

func newModel(t *rapid.T) *model {
	fake := &fakePlatform{
		rows:    map[tablestore.Key]tablestore.Row{},
		objects: map[tablestore.ObjectName][]byte{},
		outcome: func() int { return outcomeApplied },
	}
	m := &model{
		store: NewStore(fake, fakeObjects{
			fakePlatform: fake,
		}),
		platform: fake,
		id:       IDFor("lawinenwerk", "key"),
		lapsed:   map[lease.SessionID]bool{},
	}
	m.store.pause = func(context.Context, time.Duration) bool { return true }
	_, err := m.store.Create(context.Background(), Job{
		ID:           m.id,
		Organisation: "lawinenwerk",
		State:        StateRunning,
		Lots:         modelLots,
		Items:        modelLots * modelItems,
	})
	assert.NilError(t, err)
	for range modelWorkers {
		m.workers = append(m.workers, m.newWorker())
	}
	return m
}

func (m *model) newWorker() *modelWorker {
	m.sessions++
	return &modelWorker{
		session: lease.SessionID(fmt.Sprintf("session-%d", m.sessions)),
		held:    map[LotID]*heldLot{},
	}
}

// claim claims a random claimable lot for a random worker. It finds the claimable lots as the dispatcher does.
func (m *model) claim(t *rapid.T) {
	w := rapid.SampledFrom(m.workers).Draw(t, "worker")
	actives, err := m.store.Active(context.Background())
	assert.NilError(t, err)
	if len(actives) == 0 {
		return
	}
	lots, err := m.store.Lots(context.Background(), m.id)
	assert.NilError(t, err)
	hasRow := map[LotID]bool{}
	var free []LotRow
	for _, lot := range lots {
		hasRow[lot.ID] = true
		abandoned := lot.State == LotClaimed && lot.Session == w.session && w.held[lot.ID] == nil
		if abandoned || lot.State == LotClaimed && m.lapsed[lot.Session] || lot.State == LotFree && (!actives[0].Cancelled || lot.MayHaveUnstoredResults()) {
			free = append(free, lot)
		}
	}
	for number := range modelLots {
		if id := BaseLot(number); !hasRow[id] && !actives[0].Cancelled {
			free = append(free, LotRow{
				Lot: Lot{
					ID: id,
				},
			})
		}
	}
	if len(free) == 0 {
		return
	}
	lot, err := m.store.Claim(context.Background(), actives[0], rapid.SampledFrom(free).Draw(t, "lot"), w.session)
	if err != nil {
		return
	}
	progress, err := m.store.Progress(context.Background(), lot.Lot)
	assert.NilError(t, err)
	w.held[lot.ID] = &heldLot{
		row:      lot,
		progress: progress,
	}
}

func (m *model) pickHeld(t *rapid.T) (*modelWorker, *heldLot) {
	w := rapid.SampledFrom(m.workers).Draw(t, "worker")
	var ids []LotID
	for id := range w.held {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return w, nil
	}
	slices.Sort(ids)
	return w, w.held[rapid.SampledFrom(ids).Draw(t, "held")]
}

// finishItem sets the result of an unfinished item. The result names the worker's session.
func (m *model) finishItem(t *rapid.T) {
	w, held := m.pickHeld(t)
	if held == nil {
		return
	}
	for _, index := range held.progress.Indexes(modelItems) {
		if _, done := held.progress.Results[index]; !done {
			held.progress.Results[index] = Result{
				CustomID: fmt.Sprintf("%s/%d", held.row.ID[:8], index),
				Response: &ResultResponse{
					StatusCode: 200,
					Body:       json.RawMessage(fmt.Sprintf("%q", w.session)),
				},
			}
			return
		}
	}
}

func (h *heldLot) results() []Result {
	var found []Result
	for _, result := range h.progress.Results {
		found = append(found, result)
	}
	return found
}

func (h *heldLot) left() []int {
	var left []int
	for _, index := range h.progress.Indexes(modelItems) {
		if _, done := h.progress.Results[index]; !done {
			left = append(left, index)
		}
	}
	return left
}

// checkFenced fails the test if a write of a claim was accepted after another claim had taken the lot over.
func (m *model) checkFenced(t *rapid.T, held *heldLot, err error, before Lot) {
	if err == nil {
		assert.Equal(t, before.Session, held.row.Session, "a fenced holder committed")
		assert.Equal(t, before.Claim, held.row.Claim, "a fenced holder committed")
	}
}

func (m *model) storedLot(t *rapid.T, id LotID) Lot {
	lot, _, err := m.store.lotRow(context.Background(), m.id, id)
	assert.NilError(t, err)
	return lot
}

func (m *model) commit(t *rapid.T) {
	w, held := m.pickHeld(t)
	if held == nil {
		return
	}
	ctx := context.Background()
	before := m.storedLot(t, held.row.ID)
	left := held.left()
	operation := rapid.SampledFrom([]string{"save", "checkpoint", "free", "split", "keep", "complete"}).Draw(t, "how")
	var err error
	lot := held.row.ID
	drop := true
	switch {
	case operation == "save":
		drop = false
		var row LotRow
		row, err = m.store.Save(ctx, m.id, held.row, held.progress)
		held.row = row
	case operation == "checkpoint":
		_ = m.store.Checkpoint(ctx, m.id, held.row, held.progress)
		return
	case operation == "free":
		err = m.store.Free(ctx, m.id, held.row, held.progress, true)
	case (operation == "split" || operation == "keep") && len(left) > 0 && len(left) < modelItems:
		var row LotRow
		row, err = m.store.Split(ctx, m.id, held.row, held.results(), held.progress.ForRemainder(left), operation == "keep")
		if err == nil && operation == "keep" {
			w.held[row.ID] = &heldLot{
				row:      row,
				progress: held.progress.ForRemainder(left),
			}
		}
	case len(left) == 0:
		err = m.store.Complete(ctx, m.id, held.row, held.results())
	default:
		return
	}
	m.checkFenced(t, held, err, before)
	if err == nil && drop || errors.Is(err, ErrFenced) {
		delete(w.held, lot)
	}
}

// lapse ends a worker's session and starts another worker. The old one is removed, or continues with the lots that it
// held.
func (m *model) lapse(t *rapid.T) {
	at := rapid.IntRange(0, len(m.workers)-1).Draw(t, "lapses")
	w := m.workers[at]
	m.lapsed[w.session] = true
	if rapid.Bool().Draw(t, "gone") {
		m.workers[at] = m.newWorker()
	} else if len(m.workers) < 2*modelWorkers {
		m.workers = append(m.workers, m.newWorker())
	}
}

// check checks the safety properties: no item has two results, a completed job has a result for each item, and a
// cancelled job counts and stores all that were finished.
func (m *model) check(t *rapid.T) {
	lots, err := m.store.Lots(context.Background(), m.id)
	assert.NilError(t, err)
	found := map[string]bool{}
	unstored := 0
	for _, lot := range lots {
		if lot.State != LotDone && lot.Checkpoint != "" {
			progress, err := m.store.Progress(context.Background(), lot.Lot)
			assert.NilError(t, err)
			unstored += len(progress.Results)
		}
		if lot.State != LotDone || lot.Results == "" {
			continue
		}
		data, ok := m.platform.objects[lot.Results]
		assert.Assert(t, ok, "lost results of %s", lot.ID)
		for line := range bytes.Lines(data) {
			var result Result
			assert.NilError(t, json.Unmarshal(line, &result))
			assert.Assert(t, !found[result.CustomID], "duplicate result of %s", result.CustomID)
			found[result.CustomID] = true
		}
	}
	job, _, err := m.store.jobRow(context.Background(), m.id)
	assert.NilError(t, err)
	switch job.State {
	case StateRunning, StateCancelling:
	case StateCompleted:
		assert.Equal(t, len(found), job.Items, "lost items")
		assert.Equal(t, job.Counts.Completed, job.Items)
	case StateCancelled:
		assert.Equal(t, job.Counts.Completed, len(found), "wrong counts")
		assert.Equal(t, unstored, 0, "finished items of a cancelled job were dropped")
	}
}

// TestModelOfClaims runs random claims, lapses, takeovers, checkpoints, splits, commits and cancellations while answers
// are lost and writes take effect late. It checks the safety properties after each step, and at the end that the job
// ends.
func TestModelOfClaims(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	ended := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		outcomes := drawOutcomes(t)
		calls := 0
		m.platform.outcome = func() int {
			calls++
			return outcomes[calls%len(outcomes)]
		}
		cancels := rapid.Bool().Draw(t, "cancels")
		// The step "item" has three entries, so that it is drawn three times as often as each other one.
		steps := map[string]func(*rapid.T){
			"claim":  m.claim,
			"item":   m.finishItem,
			"item 2": m.finishItem,
			"item 3": m.finishItem,
			"commit": m.commit,
			"lapse":  m.lapse,
			"late": func(t *rapid.T) {
				if count := len(m.platform.late); count > 0 {
					m.platform.applyLate(rapid.IntRange(0, count-1).Draw(t, "late"))
				}
			},
			"finish": func(*rapid.T) { _, _ = m.store.Finish(context.Background(), m.id) },
			"cancel": func(t *rapid.T) {
				if cancels && rapid.IntRange(0, 9).Draw(t, "dice") == 0 {
					_, _ = m.store.Cancel(context.Background(), "lawinenwerk", m.id)
				}
			},
			"": m.check,
		}
		t.Repeat(steps)
		m.drain(t)
		job, _, err := m.store.jobRow(context.Background(), m.id)
		assert.NilError(t, err)
		assert.Assert(t, job.State.Ended(), "the job does not end")
		ended++
	})
	t.Logf("%d jobs ended", ended)
}

// drawOutcomes draws the outcomes of calls. Each outcome is repeated for up to 6 calls, as in an outage.
func drawOutcomes(t *rapid.T) []int {
	var outcomes []int
	for range 8 {
		outcome := rapid.SampledFrom([]int{outcomeApplied, outcomeApplied, outcomeAnswerLost, outcomeWriteLost, outcomeRefused, outcomeDelayed}).Draw(t, "fate")
		for range rapid.IntRange(1, 6).Draw(t, "lasts") {
			outcomes = append(outcomes, outcome)
		}
	}
	return outcomes
}

// drain ends all sessions and lets one new worker end the job on a platform without faults.
func (m *model) drain(t *rapid.T) {
	m.platform.outcome = func() int { return outcomeApplied }
	for _, w := range m.workers {
		m.lapsed[w.session] = true
	}
	last := m.newWorker()
	m.workers = []*modelWorker{last}
	for range 20 * modelLots {
		if len(m.platform.late) > 0 {
			m.platform.applyLate(0)
		}
		m.claim(t)
		for id, held := range last.held {
			for len(held.left()) > 0 {
				m.finishItem(t)
			}
			assert.NilError(t, m.store.Complete(context.Background(), m.id, held.row, held.results()))
			delete(last.held, id)
		}
		_, err := m.store.Finish(context.Background(), m.id)
		assert.NilError(t, err)
		m.check(t)
	}
}
