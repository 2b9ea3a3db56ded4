package platform

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// trouble is something that happens to the system. Planned trouble must cost callers nothing.
type trouble struct {
	name    string
	planned bool
	// run brings it about, lasts for about as long as it is told, and undoes it.
	run func(s *soak, rng *rand.Rand, lasts time.Duration)
}

// troubles are all kinds; a seed draws from them.
var troubles = []trouble{
	{name: "kill", run: (*soak).kill},
	{name: "herd", run: (*soak).herd},
	{name: "freeze", run: (*soak).freeze},
	{name: "peer link", run: func(s *soak, rng *rand.Rand, lasts time.Duration) { s.harm(rng, s.peerLinks, lasts) }},
	{name: "store link", run: func(s *soak, rng *rand.Rand, lasts time.Duration) { s.harm(rng, s.storeLinks, lasts) }},
	{name: "engine link", run: func(s *soak, rng *rand.Rand, lasts time.Duration) { s.harm(rng, s.engineLinks, lasts) }},
	{name: "store", run: (*soak).storeTrouble},
	{name: "clock", run: (*soak).clock},
	{name: "engine", run: (*soak).engineTrouble},
	{name: "restart", planned: true, run: (*soak).restart},
	{name: "reload", planned: true, run: (*soak).reload},
	{name: "configuration", planned: true, run: (*soak).addRoute},
	{name: "departure", planned: true, run: (*soak).departure},
	{name: "replacement", run: (*soak).replacement},
}

// storms plays series of overlapping troubles, with calm between them in which only planned ones happen.
func (s *soak) storms(rng *rand.Rand, until time.Time) {
	var under sync.WaitGroup
	for time.Now().Before(until) {
		s.series(&under, rng, 2+rng.IntN(4), 2*time.Second, false)
		under.Wait()
		s.series(&under, rng, 1+rng.IntN(3), 2*time.Second, true)
		time.Sleep(time.Duration(1000+rng.IntN(2500)) * time.Millisecond)
	}
	under.Wait()
}

// series starts troubles at moments within a time. Any may be planned, and all are if only those are wanted.
func (s *soak) series(under *sync.WaitGroup, rng *rand.Rand, n int, within time.Duration, planned bool) {
	for range n {
		t := troubles[rng.IntN(len(troubles))]
		for planned && !t.planned {
			t = troubles[rng.IntN(len(troubles))]
		}
		starts := time.Duration(rng.Int64N(int64(within)))
		lasts := 200*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second)))
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		under.Go(func() {
			time.Sleep(starts)
			s.note("%s for %v", t.name, lasts.Round(time.Millisecond))
			if !t.planned {
				defer s.watch.fault()()
			}
			t.run(s, own, lasts)
		})
	}
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.played = append(s.played, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// again ends a VM's process with a signal, waits until it is gone and starts it anew.
func (s *soak) again(vm int, signal syscall.Signal, pause time.Duration) {
	if !s.changing[vm].TryLock() {
		return
	}
	defer s.changing[vm].Unlock()
	s.note("vm-%d gets %v", vm, signal)
	p := s.process(vm)
	_ = p.command.Process.Signal(signal)
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		s.watch.mu.Lock()
		s.watch.breach("vm-%d does not end after %v", vm, signal)
		s.watch.mu.Unlock()
		_ = p.command.Process.Kill()
		<-p.done
	}
	time.Sleep(pause)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts[vm]++
	s.start(vm)
}

func (s *soak) process(vm int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[vm]
}

func (s *soak) kill(rng *rand.Rand, lasts time.Duration) {
	s.again(rng.IntN(s.vms), syscall.SIGKILL, lasts/2)
}

// herd kills every VM at once.
func (s *soak) herd(rng *rand.Rand, lasts time.Duration) {
	if rng.IntN(2) == 0 {
		s.kill(rng, lasts)
		return
	}
	var all sync.WaitGroup
	for vm := range s.vms {
		all.Go(func() { s.again(vm, syscall.SIGKILL, lasts/3) })
	}
	all.Wait()
}

func (s *soak) freeze(rng *rand.Rand, lasts time.Duration) {
	vm := rng.IntN(s.vms)
	p := s.process(vm)
	s.note("vm-%d is frozen", vm)
	_ = p.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

func (s *soak) restart(rng *rand.Rand, lasts time.Duration) {
	s.again(rng.IntN(s.vms), syscall.SIGTERM, lasts/4)
}

func (s *soak) reload(rng *rand.Rand, _ time.Duration) {
	_ = s.process(rng.IntN(s.vms)).command.Process.Signal(syscall.SIGHUP)
}

// harm makes one link misbehave in one of its ways.
func (s *soak) harm(rng *rand.Rand, links []*link, lasts time.Duration) {
	at := rng.IntN(len(links))
	states := []linkState{
		{Delay: time.Duration(5+rng.IntN(300)) * time.Millisecond},
		{HoldUp: true},
		{HoldDown: true},
		{HoldUp: true, HoldDown: true},
		{Reset: true},
	}
	state := states[rng.IntN(len(states))]
	s.note("link to %s: %+v", links[at].target, state)
	links[at].set(state)
	time.Sleep(lasts)
	links[at].set(linkState{})
}

// storeTrouble makes the store misbehave toward a share of all calls.
func (s *soak) storeTrouble(rng *rand.Rand, lasts time.Duration) {
	kinds := []fault{faultBusy, faultReset, faultSilent, faultLost, faultLate}
	kind := kinds[rng.IntN(len(kinds))]
	share := []float64{0.1, 0.5, 1}[rng.IntN(3)]
	s.note("store: %s for %v of the calls", kind, share)
	s.store.setFault(func(string, string) fault {
		if rand.Float64() < share {
			return kind
		}
		return faultNone
	})
	time.Sleep(lasts)
	s.store.setFault(nil)
	if rng.IntN(3) == 0 {
		s.store.compact()
	}
}

// clock makes the store's clock jump forward or back, and right again.
func (s *soak) clock(rng *rand.Rand, lasts time.Duration) {
	skew := time.Duration(rng.IntN(8000)-4000) * time.Millisecond
	s.note("the store's clock is wrong by %v", skew)
	s.store.setSkew(skew)
	time.Sleep(lasts)
	s.store.setSkew(0)
}

// engineTrouble makes an engine misbehave in one of its ways.
func (s *soak) engineTrouble(rng *rand.Rand, lasts time.Duration) {
	at := rng.IntN(len(s.engines))
	e := s.engines[at]
	ways := map[int]func(e *engineStandin, on bool){
		0: func(e *engineStandin, on bool) { e.shed = on },
		1: func(e *engineStandin, on bool) { e.failing = on },
		2: func(e *engineStandin, on bool) { e.hanging = on },
		3: func(e *engineStandin, on bool) {
			e.slow = 1
			if on {
				e.slow = 8
			}
		},
		4: func(e *engineStandin, on bool) { e.breakAt.Store(int64(2 + soakEvents/2)) },
	}
	way := rng.IntN(len(ways))
	s.note("engine %d: way %d", at, way)
	e.set(func(e *engineStandin) { ways[way](e, true) })
	time.Sleep(lasts)
	e.set(func(e *engineStandin) { ways[way](e, false) })
	e.breakAt.Store(0)
}

// addRoute puts a configuration with one more route in force.
func (s *soak) addRoute(*rand.Rand, time.Duration) {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	s.mu.Lock()
	markers := len(s.added) + 1
	s.mu.Unlock()
	var more []map[string]any
	for marker := 1; marker <= markers; marker++ {
		more = append(more, map[string]any{
			"name": fmt.Sprintf("v%d", marker), "host": routeHost, "pathPrefix": fmt.Sprintf("/v%d/", marker), "kind": "stream", "service": "llm",
			"timeoutMs": 20000, "targetLatencyMs": 300, "maxAttempts": 2, "resumable": true, "gapAimMs": 250,
		})
	}
	s.configure(more)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.added = append(s.added, time.Now())
}

// departure makes an engine leave and come back.
func (s *soak) departure(rng *rand.Rand, lasts time.Duration) {
	at := rng.IntN(len(s.engines))
	if !s.moving.TryLock() {
		return
	}
	defer s.moving.Unlock()
	id := s.engineID(at)
	s.note("engine %s leaves", id)
	s.listAt(at, "draining", portEngineLink)
	s.leaves(id, true)
	time.Sleep(lasts)
	s.leaves(id, false)
	s.listAt(at, "ready", portEngineLink)
}

// replacement puts another engine at the address of one.
func (s *soak) replacement(rng *rand.Rand, _ time.Duration) {
	at := rng.IntN(len(s.engines))
	if !s.moving.TryLock() {
		return
	}
	defer s.moving.Unlock()
	e := s.engines[at]
	old, next := s.engineID(at), fmt.Sprintf("e%d-%d", at, s.ids.Add(1))
	s.note("engine %s becomes %s", old, next)
	e.replace(next)
	s.store.remove("servers", old)
	s.listAt(at, "ready", portEngineLink)
}

func (s *soak) engineID(at int) string {
	e := s.engines[at]
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

func (s *soak) leaves(engine string, left bool) {
	s.watch.mu.Lock()
	defer s.watch.mu.Unlock()
	delete(s.watch.left, engine)
	if left {
		s.watch.left[engine] = time.Now()
	}
}
