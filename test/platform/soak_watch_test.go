package platform

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// soakContact is how long a time without faults must have lasted until what happens in it is judged by bounds.
	soakContact = time.Second
	// soakApply is how soon a configuration, a departure or the end of a job must be in force in calm.
	soakApply = 2 * time.Second
	// soakRollback is how long after a configuration's first effect older ones may still be seen at a VM.
	soakRollback = time.Second
	// soakAttempts is the most runs of a failing item.
	soakAttempts = 3
)

// soakJob is a job as its caller knows it.
type soakJob struct {
	id         string
	items      int
	impossible string
	accepted   time.Time
	refused    bool
	// asked says that its caller asked for its end, ended since when that is acknowledged.
	asked bool
	ended time.Time
	// listed holds the results that were read, by position.
	listed []string
	stands map[string]bool
}

// watcher judges what callers and engines see.
type watcher struct {
	mu       sync.Mutex
	faults   int
	healed   time.Time
	sent     map[string]bool
	runs     map[string]int
	failures map[string]int
	refused  map[string]bool
	left     map[string]time.Time
	jobs     map[string]*soakJob
	// effects are the newest configuration that a VM's incarnation was seen to follow, and since when.
	effects map[string]effect
	counts  map[string]int
	broken  []string
}

type effect struct {
	marker int
	at     time.Time
}

func newWatcher() *watcher {
	return &watcher{
		healed:   time.Now(),
		sent:     map[string]bool{},
		runs:     map[string]int{},
		failures: map[string]int{},
		refused:  map[string]bool{},
		left:     map[string]time.Time{},
		jobs:     map[string]*soakJob{},
		effects:  map[string]effect{},
		counts:   map[string]int{},
	}
}

// fault begins a fault; the function that it returns ends it.
func (w *watcher) fault() func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults++
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.faults--
		w.healed = time.Now()
	}
}

// calm says that there was no fault from a while before a time until now; the lock is held.
func (w *watcher) calm(since time.Time) bool {
	return w.faults == 0 && w.healed.Before(since.Add(-soakContact))
}

// breach notes a broken promise; the lock is held.
func (w *watcher) breach(format string, args ...any) {
	w.broken = append(w.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// began is told by an engine of a run.
func (w *watcher) began(engine, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.runs[id]++
	if left, has := w.left[engine]; has && now.Sub(left) > soakApply && w.calm(left) {
		w.breach("engine %s runs %s, %v after it left", engine, id, now.Sub(left))
	}
	name, _, item := strings.Cut(id, "-item-")
	if !item {
		w.beganOnline(id)
		return
	}
	j := w.jobs[name]
	switch {
	case j == nil:
		w.breach("item %s of a job that nobody sent", id)
	case j.refused:
		w.breach("item %s runs, its job was refused", id)
	case !j.ended.IsZero() && now.Sub(j.ended) > soakApply && w.calm(j.ended):
		w.breach("item %s runs, %v after its job was ended", id, now.Sub(j.ended))
	}
}

func (w *watcher) beganOnline(id string) {
	switch {
	case !w.sent[id]:
		w.breach("request %s that nobody sent runs", id)
	case w.refused[id]:
		w.breach("request %s runs though it was refused", id)
	case strings.HasPrefix(id, "once") && w.runs[id] > 1:
		w.breach("request %s runs again", id)
	}
}

// failed is told by an engine of a failure that it answered.
func (w *watcher) failed(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures[id]++
	if strings.Contains(id, "-item-") && w.failures[id] > soakAttempts && w.calm(time.Now()) {
		w.breach("item %s failed %d times and still runs", id, w.failures[id])
	}
}

// request notes that a request is sent.
func (w *watcher) request(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[id] = true
}

// answered judges the answer to a stream; left says that its caller went.
func (w *watcher) answered(id string, sent time.Time, got answer, want string, left bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[fmt.Sprintf("%s %d", id[:4], got.status)]++
	switch {
	case got.err != nil:
		if !strings.HasPrefix(want, got.body) {
			w.breach("request %s: not the beginning of its answer: %q", id, got.body)
		}
		if !left && w.runs[id] > 0 && w.calm(sent) {
			w.breach("request %s: answer lost without a fault after %v: %v", id, time.Since(sent), got.err)
		}
	case got.status == 200:
		if got.body != want {
			w.breach("request %s: another answer than its own: %q", id, got.body)
		}
	case got.status == 503 || got.status == 429:
		w.refused[id] = true
		if strings.HasPrefix(id, "once") && w.runs[id] > 0 {
			w.breach("request %s was refused and has run", id)
		}
	case got.status == 500 && w.failures[id] > 0:
	case got.status == 502 || got.status == 504:
		if w.calm(sent) {
			w.breach("request %s: status %d without a fault", id, got.status)
		}
	default:
		w.breach("request %s: status %d", id, got.status)
	}
}

// marker judges how a VM handled a route that a configuration added; vm names its incarnation.
func (w *watcher) marker(vm string, marker int, added, sent time.Time, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := w.effects[vm]
	if known {
		if marker > seen.marker {
			w.effects[vm] = effect{marker: marker, at: time.Now()}
		}
		return
	}
	if sent.Sub(added) > soakApply && w.calm(added) {
		w.breach("%s does not know configuration %d, %v after it was written", vm, marker, sent.Sub(added))
	}
	if marker <= seen.marker && sent.Sub(seen.at) > soakRollback {
		w.breach("%s forgot configuration %d", vm, marker)
	}
}

// results judges the results of a job from a position on.
func (w *watcher) results(j *soakJob, after int, l listing, events int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Total != j.items {
		w.breach("job %s: %d items of %d", j.id, l.Total, j.items)
	}
	for n, r := range l.Results {
		position, text := after+n, r.ID+" "+r.State+" "+r.Output
		switch {
		case position < len(j.listed):
			if j.listed[position] != text {
				w.breach("job %s: position %d was %.60q and is %.60q", j.id, position, j.listed[position], text)
			}
			continue
		case position > len(j.listed):
			w.breach("job %s: position %d after %d", j.id, position, len(j.listed))
			return
		case j.stands[r.ID] || !strings.HasPrefix(r.ID, j.id+"-item-"):
			w.breach("job %s: item %s stands twice or is another's", j.id, r.ID)
		}
		j.listed = append(j.listed, text)
		j.stands[r.ID] = true
		w.result(j, r.ID, r.State, r.Output, events)
	}
}

func (w *watcher) result(j *soakJob, item, state, output string, events int) {
	switch {
	case state == "succeeded" && output != itemOutput(item, events):
		w.breach("item %s: output %q", item, output)
	case state == "dead_letter" && item != j.impossible && w.failures[item] < soakAttempts && !j.asked:
		w.breach("item %s was given up after %d failures", item, w.failures[item])
	}
}

// missing judges a 404 for an accepted job.
func (w *watcher) missing(j *soakJob, vm int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(j.accepted) > soakApply && w.calm(j.accepted) {
		w.breach("vm-%d does not know job %s, %v after it was accepted", vm, j.id, time.Since(j.accepted))
	}
}

// open lists the jobs that were accepted, not ended, and have no result for each item yet.
func (w *watcher) open() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var open []string
	for _, j := range w.jobs {
		if !j.accepted.IsZero() && !j.asked && len(j.listed) < j.items {
			open = append(open, fmt.Sprintf("%s (%d of %d)", j.id, len(j.listed), j.items))
		}
	}
	return open
}
