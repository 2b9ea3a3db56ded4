package platform

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// leaveEngines makes one engine after the other say in its answers that it leaves, while its entry says that it is ready, and
// some seconds later puts another engine in its place. It has random numbers of its own, so that the disruptions of a seed stay
// the same.
func (s *soak) leaveEngines(rng *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Second + time.Duration(rng.Int64N(int64(2*time.Second))))
		at := rng.IntN(len(s.engines))
		id := s.engineID(at)
		s.logEvent("engine %s says that it leaves", id)
		s.engines[at].update(func(e *engineStandin) { e.leaving = e.id == id })
		time.Sleep(soakApplyTime + time.Duration(rng.Int64N(int64(2*time.Second))))
		s.succeedEngine(at, id)
	}
}

// succeedEngine puts another engine in the place of one that has left, unless that has ended already.
func (s *soak) succeedEngine(at int, id string) {
	s.engineLock.Lock()
	defer s.engineLock.Unlock()
	if s.engineID(at) != id {
		return
	}
	defer s.watcher.startFault()()
	next := fmt.Sprintf("e%d-%d", at, s.ids.Add(1))
	s.logEvent("engine %s has left, %s follows", id, next)
	s.engines[at].replace(next)
	s.store.remove("servers", id)
	s.putEngineRowAt(at, "ready", portEngineLink)
}

// departureKey names an engine that a VM has passed on an answer of.
type departureKey struct {
	vm     int
	engine string
}

// forgetDepartures records that a VM need not remember what it has heard, because its process was frozen or is new.
func (w *watcher) forgetDepartures(vm int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remembersFrom[vm] = time.Now()
}

// checkDeparture checks an answer that a VM has passed on: none may come from an engine of which the VM had passed on, some time
// before the request was sent, that it leaves.
func (w *watcher) checkDeparture(vm int, sent time.Time, got answer) {
	engine, _, signed := strings.Cut(got.header.Get(signatureHeader), "/")
	if !signed {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	key := departureKey{
		vm:     vm,
		engine: engine,
	}
	heard := w.departures[key]
	left := heard.After(w.remembersFrom[vm])
	if left && sent.Sub(heard) > soakApplyTime {
		w.addViolation("vm-%d sends a request to engine %s, %v after it has passed on that the engine leaves", vm, engine, sent.Sub(heard))
	}
	if !left && got.header.Get("Server-Leaving") == "1" && sent.After(w.remembersFrom[vm]) {
		w.departures[key] = time.Now()
	}
}
