package platform

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSoakDetectsViolations guards against a watcher whose checks always pass. It shows the watcher observations that
// violate a promise and, for comparison, similar ones that are allowed.
func TestSoakDetectsViolations(t *testing.T) {
	now := time.Now()
	past := now.Add(-10 * time.Second)
	cut := answer{status: 200, body: wholeStream("once-1", 2), err: errors.New("cut")}
	runs := func(engine string, ids ...string) func(w *watcher) {
		return func(w *watcher) {
			for _, id := range ids {
				w.runStarted(engine, id)
			}
		}
	}
	answered := func(got answer) func(w *watcher) {
		return func(w *watcher) {
			w.runStarted("e0", "once-1")
			w.checkAnswer("once-1", past.Add(5*time.Second), got, wholeStream("once-1", soakEvents), false)
		}
	}
	listed := func(ids ...string) func(w *watcher) {
		return func(w *watcher) {
			l := listing{Total: 2}
			for _, id := range ids {
				l.Results = append(l.Results, listingResult{ID: id, State: "succeeded", Output: itemOutput(id, soakEvents)})
			}
			w.checkResults(w.jobs["job"], 0, l, soakEvents)
		}
	}
	crashing := func(crashes, arrivals int) func(w *watcher) {
		return func(w *watcher) {
			w.lastOtherEnd = past
			w.part("bad").crashes, w.part("bad").fifthAt = crashes, past
			for range arrivals {
				w.crashingArrival("bad")
			}
		}
	}
	// limited plays requests, spread over four seconds, to an engine that takes 2 a second and named that before.
	limited := func(requests int, named time.Duration) func(w *watcher) {
		return func(w *watcher) {
			w.limitedArrival("e", 2, past.Add(-named))
			for n := range requests {
				w.limitedArrival("e", 2, past.Add(time.Duration(n)*time.Millisecond))
			}
		}
	}
	// departed plays an answer of an engine that leaves, which a VM passes on, and one for a request sent some time later.
	departed := func(vm int, later time.Duration) func(w *watcher) {
		return func(w *watcher) {
			leaving := answer{status: 200, header: http.Header{"Server-Leaving": {"1"}, signatureHeader: {"e0/a"}}}
			w.checkDeparture(0, past, leaving)
			w.checkDeparture(vm, time.Now().Add(later), leaving)
		}
	}
	cases := map[string]struct {
		observe    func(w *watcher)
		violations int
	}{
		"run once":                         {observe: runs("e0", "once-1")},
		"run twice":                        {observe: runs("e0", "once-1", "once-1"), violations: 1},
		"resumed":                          {observe: runs("e0", "resumable-1", "resumable-1")},
		"run without a request":            {observe: runs("e0", "once-2"), violations: 1},
		"run by an engine that left":       {observe: runs("left", "once-1"), violations: 1},
		"item of a refused job":            {observe: runs("e0", "refused-item-0"), violations: 1},
		"item of an ended job":             {observe: runs("e0", "ended-item-0"), violations: 1},
		"complete answer":                  {observe: answered(answer{status: 200, body: wholeStream("once-1", soakEvents)})},
		"short answer that looks complete": {observe: answered(answer{status: 200, body: wholeStream("once-1", 2)}), violations: 1},
		"answer of another request":        {observe: answered(answer{status: 200, body: wholeStream("once-2", soakEvents)}), violations: 1},
		"answer cut without a fault":       {observe: answered(cut), violations: 1},
		"answer cut in a fault":            {observe: func(w *watcher) { defer w.startFault()(); answered(cut)(w) }},
		"refused although it ran":          {observe: answered(answer{status: 503}), violations: 1},
		"failed without a fault":           {observe: answered(answer{status: 502}), violations: 1},
		"denied":                           {observe: answered(answer{status: 404}), violations: 1},
		"configuration unknown after 10 s": {observe: func(w *watcher) { w.checkMarker("vm", 1, past, now, false) }, violations: 1},
		"configuration unknown at once":    {observe: func(w *watcher) { w.checkMarker("vm", 1, now, now, false) }},
		"configuration lost in a fault":    {observe: forgetsConfig, violations: 1},
		"listed":                           {observe: listed("job-item-0", "job-item-1")},
		"listed twice":                     {observe: listed("job-item-0", "job-item-0"), violations: 1},
		"item of another job":              {observe: listed("ended-item-0"), violations: 1},
		"moved": {observe: func(w *watcher) {
			listed("job-item-0")(w)
			listed("job-item-1")(w)
		}, violations: 1},
		"dead letter after too few attempts":        {observe: func(w *watcher) { w.checkResult(w.jobs["job"], "job-item-0", "dead_letter", "", soakEvents) }, violations: 1},
		"output incomplete":                         {observe: func(w *watcher) { w.checkResult(w.jobs["job"], "job-item-0", "succeeded", "", soakEvents) }, violations: 1},
		"crashing part, long after the fifth crash": {observe: crashing(5, 4), violations: 1},
		"crashing part, a few requests":             {observe: crashing(5, 3)},
		"crashing part, four crashes":               {observe: crashing(4, 9)},
		"crashing part in another fault":            {observe: func(w *watcher) { defer w.startFault()(); crashing(5, 9)(w) }},
		"crashing request looks answered":           {observe: func(w *watcher) { w.checkCrashingAnswer("resumable-1", answer{status: 200}, true) }, violations: 1},
		"answer to a part that crashed before":      {observe: func(w *watcher) { w.checkCrashingAnswer("resumable-1", answer{status: 200}, false) }},
		"request to an engine that has left":        {observe: departed(0, soakApplyTime+time.Second), violations: 1},
		"request to an engine that leaves":          {observe: departed(0, soakApplyTime/2)},
		"request of another VM to it":               {observe: departed(1, soakApplyTime+time.Second)},
		"request after a restart":                   {observe: func(w *watcher) { departed(0, 0)(w); w.vmStarted(0, time.Now()); departed(0, time.Minute)(w) }},
		"request after a restart, heard again":      {observe: func(w *watcher) { w.vmStarted(0, past.Add(-time.Second)); departed(0, time.Minute)(w) }, violations: 1},
		"limit exceeded":                            {observe: limited(18, 5*time.Second), violations: 1},
		"limit kept":                                {observe: limited(17, 5*time.Second)},
		"limit that is new":                         {observe: limited(30, 2*time.Second)},
		"limit that is forgotten":                   {observe: func(w *watcher) { w.vmStarted(0, past); limited(30, 5*time.Second)(w) }},
		"job lost":                                  {observe: func(w *watcher) { w.checkNotFound(w.jobs["job"], 0) }, violations: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWatcher()
			w.vmStarted(0, past.Add(-time.Minute))
			w.lastFaultEnd = past.Add(-time.Minute)
			w.leftAt["left"] = past
			w.requestSent("once-1")
			w.requestSent("resumable-1")
			for id, j := range map[string]*soakJob{
				"job":     {acceptedAt: past},
				"refused": {refused: true},
				"ended":   {acceptedAt: past, endedAt: past},
			} {
				j.id, j.items, j.seenItems = id, 2, map[string]bool{}
				w.jobs[id] = j
			}
			c.observe(w)
			assert.Equal(t, len(w.violations), c.violations, "%v", w.violations)
		})
	}
}

// forgetsConfig observes a VM that has applied a configuration and, during a fault, no longer follows it.
func forgetsConfig(w *watcher) {
	defer w.startFault()()
	w.checkMarker("vm", 1, time.Now(), time.Now(), true)
	w.configSeen["vm"] = seenConfig{marker: 1, at: time.Now().Add(-5 * time.Second)}
	w.checkMarker("vm", 1, time.Now(), time.Now(), false)
}
