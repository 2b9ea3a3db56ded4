package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The deployment is like a small one of the site lww-beaconhost.
const (
	adoptEvents     = 20 // events of an item
	completionS     = 18 * time.Second
	adoptLotGap     = 400 * time.Millisecond
	recoveryS       = 12 * time.Second
	calmS           = 5 * time.Second
	finishedS       = 3 * time.Second
	adoptItems      = 200
	adoptItemBytes  = 15000
	adoptLots       = 20
	adoptMaxBody    = 4194304
	adoptCap        = 2000000
	adoptMemoryMB   = 304
	adoptServers    = 9
	adoptVMs        = 3
	adoptQueueTTLS  = 60
	adoptWindowMs   = 18000
	adoptReadPeriod = 500 * time.Millisecond
)

func adoptCase(r *Rig, trouble bool) int {
	r.MemoryMB = adoptMemoryMB
	lots := adoptLots
	r.Configure(1, []map[string]any{
		{"name": "lots", "host": host, "pathPrefix": "/lot/", "kind": "batch", "service": "llm", "timeoutMs": 15000, "targetLatencyMs": 400, "maxAttempts": 3, "priority": 2,
			"resumable": true, "gapAimMs": 250, "completionWindowMs": adoptWindowMs, "queueTtlS": adoptQueueTTLS, "cap": adoptCap},
	}, adoptMaxBody)
	var mu sync.Mutex
	lastRun := map[string]time.Time{} // by lot
	for n := range adoptServers {
		e := &Engine{ID: fmt.Sprintf("i-%d", n), Slots: 8, Queue: 24, First: 50 * time.Millisecond, Interval: 20 * time.Millisecond, Items: adoptEvents}
		e.OnRun = func(_, id, _ string) {
			lot, _, _ := strings.Cut(id, "-")
			mu.Lock()
			lastRun[lot] = time.Now()
			mu.Unlock()
		}
		if err := r.AddEngine(e); err != nil {
			r.Logf("%v", err)
			return unable
		}
	}
	for range adoptVMs {
		r.AddVM()
	}
	for _, v := range r.VMs {
		if err := v.Start(); err != nil {
			r.Logf("%v", err)
			return unable
		}
	}
	if !r.WaitReady(15 * time.Second) {
		r.Logf("not ready")
		return unable
	}
	time.Sleep(2 * time.Second)
	var jobs []*Lot
	for n := range lots {
		l := NewLot(fmt.Sprintf("lot%02d", n), adoptItems, adoptItemBytes, 350, adoptEvents)
		if len(l.Body) > adoptMaxBody {
			return unable
		}
		// One client sends all of them: the platform forwards its channels to one machine.
		if !r.Submit(l, r.VMs[:1], 0, 10*time.Second) {
			r.Logf("lot %s not accepted", l.ID)
			return unable
		}
		jobs = append(jobs, l)
		time.Sleep(adoptLotGap - time.Since(l.First))
	}
	read := func() (done, left int) {
		for n, l := range jobs {
			if len(l.Done) < len(l.Items) {
				if err := r.Read(l, r.VMs[n%len(r.VMs)]); err != nil {
					r.Logf("lot %s not read: %v", l.ID, err)
				}
			}
			done += len(l.Done)
			left += len(l.Items) - len(l.Done)
		}
		return done, left
	}
	done, left := read()
	r.Logf("all lots accepted; %d items listed, %d not; %d lots open in the store", done, left, r.Store.Rows("claims"))
	if trouble {
		r.Logf("the process of %s is killed", r.VMs[0].Name)
		r.VMs[0].Signal(syscall.SIGKILL, false)
		time.Sleep(restartDelay)
		if !r.WaitReady(recoveryS) {
			r.Logf("not ready again")
		}
		r.Logf("all machines are ready again")
	}
	end := time.Now() // the traffic ends here, when the machines are back
	before, grown := -1, time.Now()
	for until := end.Add(completionS + 2*time.Second); time.Now().Before(until); time.Sleep(adoptReadPeriod) {
		done, left = read()
		if done != before {
			before, grown = done, time.Now()
		}
		r.Store.mu.Lock()
		r.Logf("%d items listed, %d not; objects: %d sent whole, %d given up by the reader, slowest %d ms", done, left, r.Store.Whole, r.Store.Given, r.Store.Slowest.Milliseconds())
		r.Store.mu.Unlock()
		if left == 0 {
			break
		}
	}
	for _, l := range jobs {
		for id, got := range l.Done {
			if got != "succeeded "+output(data, id, adoptEvents) {
				r.Logf("item %s has another result", id)
			}
		}
	}
	lost := 0
	busy := 0
	for _, e := range r.Engines {
		busy += len(e.slots)
	}
	r.Logf("%d of %d slots at the servers are taken", busy, adoptServers*8)
	mu.Lock()
	for _, l := range jobs {
		missing := len(l.Items) - len(l.Done)
		if missing > 0 && busy < adoptServers*8/2 && time.Since(lastRun[l.ID]) > calmS && time.Since(grown) > finishedS {
			lost += missing
			last := "never"
			if at, ran := lastRun[l.ID]; ran {
				last = fmt.Sprintf("%.1f s ago", time.Since(at).Seconds())
			}
			r.Logf("lot %s: %d items listed neither as succeeded nor as dead_letter; a server had one last: %s", l.ID, missing, last)
		}
	}
	mu.Unlock()
	for _, v := range r.VMs {
		r.Logf("%s: peak %d MB, ended by itself %d times", v.Name, v.PeakMB, len(v.Ends))
	}
	r.Logf("items lost: %d; no item was finished for %.1f s", lost, time.Since(grown).Seconds())
	if lost > 0 {
		return broken
	}
	if left > 0 {
		r.Logf("items are left, and servers still work on them")
	}
	return held
}
