package platform

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// rollingGrace is the time after SIGTERM at which the platform kills a process.
	rollingGrace = 8 * time.Second
	// rollingGap is the time between the stops of two VMs.
	rollingGap = time.Second
	// rollingLag is how long after SIGTERM the balancer still sends new connections to a VM.
	rollingLag = 2 * time.Second
)

var rollingRounds = flag.Int("rolling.rounds", 2, "how often TestRollingRestartUnderBatchLoad restarts each VM")

// rolling plays a rolling restart under a load of streams and jobs.
type rolling struct {
	*cluster
	mu sync.Mutex
	// stopped holds when each VM was told to stop, accepted the jobs that were accepted.
	stopped  map[int]time.Time
	accepted []string
	ids      atomic.Int64
	cut      []string
}

// TestRollingRestartUnderBatchLoad guards against VMs that do not end in time, and cut their streams, because the jobs that come
// in and are handed to them while they stop keep them busy. Each VM gets SIGTERM twice, and SIGHUP in between.
func TestRollingRestartUnderBatchLoad(t *testing.T) {
	t.Parallel()
	const vms = 4
	for name, jobsPerSecond := range map[string]int{
		"5 jobs a second":  5,
		"10 jobs a second": 10,
		"15 jobs a second": 15,
		"20 jobs a second": 20,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engines := make([]*engineStandin, 0, 3)
			for n := range 3 {
				engines = append(engines, newEngineStandin(fmt.Sprintf("e%d", n), 12, 30, 20*time.Millisecond))
			}
			r := &rolling{
				cluster: newCluster(t, 10+jobsPerSecond, vms, engines...),
				stopped: map[int]time.Time{},
			}
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for vm := range vms {
				callers.Go(func() { every(time.Second/4, stop, func() { r.stream(vm) }) })
				callers.Go(func() { every(vms*time.Second/time.Duration(jobsPerSecond), stop, func() { r.submit(vm) }) })
			}
			time.Sleep(2 * time.Second)
			for range *rollingRounds {
				var restarts sync.WaitGroup
				for vm := range vms {
					restarts.Go(func() { r.restart(vm) })
					time.Sleep(rollingGap)
				}
				restarts.Wait()
			}
			close(stop)
			callers.Wait()
			assert.Equal(t, len(r.cut), 0, "%v", r.cut)
			assert.Assert(t, len(r.accepted) > 0)
			for _, id := range r.accepted {
				c := r.cluster
				c.waitFor("job "+id+" complete", func() bool {
					l, _ := c.readResults(0, id, 0)
					return len(l.Results) == 3
				})
			}
		})
	}
}

// every calls f periodically, without waiting for earlier calls, until stop is closed; it returns when all calls have ended.
func every(period time.Duration, stop <-chan struct{}, f func()) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			calls.Go(f)
		}
	}
}

// restart stops a VM, which must end within the grace, and starts it again.
func (r *rolling) restart(vm int) {
	told := time.Now()
	r.mu.Lock()
	r.stopped[vm] = told
	p := r.processes[vm]
	r.mu.Unlock()
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		_ = p.command.Process.Signal(signal)
		time.Sleep(300 * time.Millisecond)
	}
	select {
	case <-p.done:
	case <-time.After(time.Until(told.Add(rollingGrace))):
		r.report("vm-%d has not ended %v after SIGTERM", vm, rollingGrace)
		_ = p.command.Process.Kill()
		<-p.done
	}
	r.mu.Lock()
	r.start(vm)
	r.mu.Unlock()
	for r.readyStatus(vm) != http.StatusOK {
		time.Sleep(20 * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.stopped, vm)
}

// reachable returns the first VM, from the given one on, that the balancer sends new connections to.
func (r *rolling) reachable(vm int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range len(r.processes) {
		candidate := (vm + n) % len(r.processes)
		if at, told := r.stopped[candidate]; !told || time.Since(at) < rollingLag {
			return candidate
		}
	}
	return vm
}

func (r *rolling) stream(vm int) {
	vm = r.reachable(vm)
	id := fmt.Sprintf("s%d", r.ids.Add(1))
	got := r.send(vm, http.MethodPost, "/once/x", id, "")
	ran := 0
	for _, e := range r.engines {
		ran += e.get(func(e *engineStandin) int { return e.runs[id] })
	}
	if got.err != nil && ran > 0 {
		r.report("stream %s, sent to vm-%d, was cut: %v", id, vm, got.err)
	}
}

func (r *rolling) submit(vm int) {
	vm = r.reachable(vm)
	id := fmt.Sprintf("j%d", r.ids.Add(1))
	if r.send(vm, http.MethodPost, "/jobs/x", id, jobBody(id, 3, "b", 10)).status != http.StatusAccepted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = append(r.accepted, id)
}

func (r *rolling) report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = append(r.cut, fmt.Sprintf(format, args...))
}
