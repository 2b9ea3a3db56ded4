package platform

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSoakJudges shows the soak's judge what must not happen, so that no check of it passes whatever happens, and beside each
// what is alike and allowed.
func TestSoakJudges(t *testing.T) {
	now := time.Now()
	long := now.Add(-10 * time.Second)
	cut := answer{status: 200, body: whole("once-1", 2), err: errors.New("cut")}
	began := func(engine string, ids ...string) func(w *watcher) {
		return func(w *watcher) {
			for _, id := range ids {
				w.began(engine, id)
			}
		}
	}
	answered := func(got answer) func(w *watcher) {
		return func(w *watcher) {
			w.began("e0", "once-1")
			w.answered("once-1", long.Add(5*time.Second), got, whole("once-1", soakEvents), false)
		}
	}
	listed := func(ids ...string) func(w *watcher) {
		return func(w *watcher) {
			l := listing{Total: 2}
			for _, id := range ids {
				l.Results = append(l.Results, listingResult{ID: id, State: "succeeded", Output: itemOutput(id, soakEvents)})
			}
			w.results(w.jobs["job"], 0, l, soakEvents)
		}
	}
	cases := map[string]struct {
		seen   func(w *watcher)
		broken int
	}{
		"run once":                           {seen: began("e0", "once-1")},
		"run twice":                          {seen: began("e0", "once-1", "once-1"), broken: 1},
		"resumed":                            {seen: began("e0", "resumable-1", "resumable-1")},
		"never sent":                         {seen: began("e0", "once-2"), broken: 1},
		"run by an engine that left":         {seen: began("left", "once-1"), broken: 1},
		"item of a refused job":              {seen: began("e0", "refused-item-0"), broken: 1},
		"item of an ended job":               {seen: began("e0", "ended-item-0"), broken: 1},
		"whole answer":                       {seen: answered(answer{status: 200, body: whole("once-1", soakEvents)})},
		"short answer that looks whole":      {seen: answered(answer{status: 200, body: whole("once-1", 2)}), broken: 1},
		"another's answer":                   {seen: answered(answer{status: 200, body: whole("once-2", soakEvents)}), broken: 1},
		"answer cut without a fault":         {seen: answered(cut), broken: 1},
		"answer cut in a fault":              {seen: func(w *watcher) { defer w.fault()(); answered(cut)(w) }},
		"refused though it ran":              {seen: answered(answer{status: 503}), broken: 1},
		"failed without a fault":             {seen: answered(answer{status: 502}), broken: 1},
		"denied":                             {seen: answered(answer{status: 404}), broken: 1},
		"configuration late":                 {seen: func(w *watcher) { w.marker("vm", 1, long, now, false) }, broken: 1},
		"configuration soon":                 {seen: func(w *watcher) { w.marker("vm", 1, now, now, false) }},
		"configuration forgotten in a fault": {seen: forgets, broken: 1},
		"listed":                             {seen: listed("job-item-0", "job-item-1")},
		"listed twice":                       {seen: listed("job-item-0", "job-item-0"), broken: 1},
		"another job's item":                 {seen: listed("ended-item-0"), broken: 1},
		"moved": {seen: func(w *watcher) {
			listed("job-item-0")(w)
			listed("job-item-1")(w)
		}, broken: 1},
		"given up too soon": {seen: func(w *watcher) { w.result(w.jobs["job"], "job-item-0", "dead_letter", "", soakEvents) }, broken: 1},
		"output not whole":  {seen: func(w *watcher) { w.result(w.jobs["job"], "job-item-0", "succeeded", "", soakEvents) }, broken: 1},
		"job lost":          {seen: func(w *watcher) { w.missing(w.jobs["job"], 0) }, broken: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWatcher()
			w.healed = long.Add(-time.Minute)
			w.left["left"] = long
			w.request("once-1")
			w.request("resumable-1")
			for id, j := range map[string]*soakJob{
				"job":     {accepted: long},
				"refused": {refused: true},
				"ended":   {accepted: long, ended: long},
			} {
				j.id, j.items, j.stands = id, 2, map[string]bool{}
				w.jobs[id] = j
			}
			c.seen(w)
			assert.Equal(t, len(w.broken), c.broken, "%v", w.broken)
		})
	}
}

// forgets is a VM that followed a configuration and then does not, while faults last.
func forgets(w *watcher) {
	defer w.fault()()
	w.marker("vm", 1, time.Now(), time.Now(), true)
	w.effects["vm"] = effect{marker: 1, at: time.Now().Add(-5 * time.Second)}
	w.marker("vm", 1, time.Now(), time.Now(), false)
}
