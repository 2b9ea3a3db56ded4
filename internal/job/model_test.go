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

// modelWorker is a process that holds lots; after its session lapsed it may go on without knowing.
type modelWorker struct {
	session lease.SessionID
	held    map[LotID]*heldLot
}

type heldLot struct {
	row      LotRow
	progress Checkpoint
}

// model drives a job through workers that lapse, take over, and lose answers.
type model struct {
	store    *Store
	platform *fakePlatform
	id       ID
	workers  []*modelWorker
	lapsed   map[lease.SessionID]bool
	sessions int
}

func newModel(t *rapid.T) *model {
	fake := &fakePlatform{
		rows:    map[tablestore.Key]tablestore.Row{},
		objects: map[tablestore.ObjectName][]byte{},
		fate:    func() int { return fateGood },
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
		m.workers = append(m.workers, m.worker())
	}
	return m
}

func (m *model) worker() *modelWorker {
	m.sessions++
	return &modelWorker{
		session: lease.SessionID(fmt.Sprintf("session-%d", m.sessions)),
		held:    map[LotID]*heldLot{},
	}
}

// claim takes the first free lot for a worker, as the dispatcher chooses them.
func (m *model) claim(t *rapid.T) {
	w := rapid.SampledFrom(m.workers).Draw(t, "worker")
	actives, err := m.store.Active(context.Background())
	assert.NilError(t, err)
	if len(actives) == 0 {
		return
	}
	lots, err := m.store.Lots(context.Background(), m.id)
	assert.NilError(t, err)
	seen := map[LotID]bool{}
	var free []LotRow
	for _, lot := range lots {
		seen[lot.ID] = true
		stray := lot.State == LotClaimed && lot.Session == w.session && w.held[lot.ID] == nil
		if stray || lot.State == LotClaimed && m.lapsed[lot.Session] || lot.State == LotFree && (!actives[0].Cancelled || lot.Open()) {
			free = append(free, lot)
		}
	}
	for number := range modelLots {
		if id := BaseLot(number); !seen[id] && !actives[0].Cancelled {
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

func (m *model) pick(t *rapid.T) (*modelWorker, *heldLot) {
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

// finishItem gives an unfinished item a result that names the worker's session.
func (m *model) finishItem(t *rapid.T) {
	w, held := m.pick(t)
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

// taken fails the test if a write of a claim was accepted that another had taken over.
func (m *model) taken(t *rapid.T, held *heldLot, err error, before Lot) {
	if err == nil {
		assert.Equal(t, before.Session, held.row.Session, "a fenced holder committed")
		assert.Equal(t, before.Claim, held.row.Claim, "a fenced holder committed")
	}
}

func (m *model) stored(t *rapid.T, id LotID) Lot {
	lot, _, err := m.store.lotRow(context.Background(), m.id, id)
	assert.NilError(t, err)
	return lot
}

func (m *model) commit(t *rapid.T) {
	w, held := m.pick(t)
	if held == nil {
		return
	}
	ctx := context.Background()
	before := m.stored(t, held.row.ID)
	left := held.left()
	how := rapid.SampledFrom([]string{"save", "checkpoint", "free", "split", "keep", "complete"}).Draw(t, "how")
	var err error
	lot := held.row.ID
	drop := true
	switch {
	case how == "save":
		drop = false
		var row LotRow
		row, err = m.store.Save(ctx, m.id, held.row, held.progress)
		held.row = row
	case how == "checkpoint":
		_ = m.store.Checkpoint(ctx, m.id, held.row, held.progress)
		return
	case how == "free":
		err = m.store.Free(ctx, m.id, held.row, held.progress, true)
	case (how == "split" || how == "keep") && len(left) > 0 && len(left) < modelItems:
		var row LotRow
		row, err = m.store.Split(ctx, m.id, held.row, held.results(), held.progress.Rest(left), how == "keep")
		if err == nil && how == "keep" {
			w.held[row.ID] = &heldLot{
				row:      row,
				progress: held.progress.Rest(left),
			}
		}
	case len(left) == 0:
		err = m.store.Complete(ctx, m.id, held.row, held.results())
	default:
		return
	}
	m.taken(t, held, err, before)
	if err == nil && drop || errors.Is(err, ErrFenced) {
		delete(w.held, lot)
	}
}

// lapse ends a worker's session; the worker may go on with what it held, or be gone.
func (m *model) lapse(t *rapid.T) {
	at := rapid.IntRange(0, len(m.workers)-1).Draw(t, "lapses")
	w := m.workers[at]
	m.lapsed[w.session] = true
	if rapid.Bool().Draw(t, "gone") {
		m.workers[at] = m.worker()
	} else if len(m.workers) < 2*modelWorkers {
		m.workers = append(m.workers, m.worker())
	}
}

// check is the safety property: no item has two results, and an ended job has one for each.
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
			assert.Assert(t, !found[result.CustomID], "doubled %s", result.CustomID)
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
		assert.Equal(t, job.Counts.Completed, len(found), "untrue counts")
		assert.Equal(t, unstored, 0, "finished items of a cancelled job were dropped")
	}
}

// TestModelOfClaims drives claims, lapses, takeovers, checkpoints, splits, commits and cancellation while answers
// are lost and writes come late.
func TestModelOfClaims(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	ended := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		fates := drawFates(t)
		calls := 0
		m.platform.fate = func() int {
			calls++
			return fates[calls%len(fates)]
		}
		cancels := rapid.Bool().Draw(t, "cancels")
		steps := map[string]func(*rapid.T){
			"claim":  m.claim,
			"item":   m.finishItem,
			"item 2": m.finishItem,
			"item 3": m.finishItem,
			"commit": m.commit,
			"lapse":  m.lapse,
			"late": func(t *rapid.T) {
				if count := len(m.platform.late); count > 0 {
					m.platform.arrive(rapid.IntRange(0, count-1).Draw(t, "late"))
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

// drawFates draws the fates of calls, each of which lasts for a while, as outages do.
func drawFates(t *rapid.T) []int {
	var fates []int
	for range 8 {
		fate := rapid.SampledFrom([]int{fateGood, fateGood, fateApplied, fateLost, fateRefused, fateLate}).Draw(t, "fate")
		for range rapid.IntRange(1, 6).Draw(t, "lasts") {
			fates = append(fates, fate)
		}
	}
	return fates
}

// drain lets one healthy worker end the job.
func (m *model) drain(t *rapid.T) {
	m.platform.fate = func() int { return fateGood }
	for _, w := range m.workers {
		m.lapsed[w.session] = true
	}
	last := m.worker()
	m.workers = []*modelWorker{last}
	for range 20 * modelLots {
		if len(m.platform.late) > 0 {
			m.platform.arrive(0)
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
