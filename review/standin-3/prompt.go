package main

import (
	"fmt"
	"sync"
	"time"
)

// The deployment is like a small part of the site lww-beaconhost; the times are those of its file.
const (
	promptPerMs   = 123.0  // prompt tokens that a server reads in a millisecond
	promptChunk   = 1024.0 // tokens that it reads in a step
	promptStepMs  = 2.27   // time that a step takes besides
	promptPairMs  = 0.263  // time that a million pairs of tokens take
	promptMemory  = 88648  // tokens that a server's memory holds
	promptLong    = 75000  // tokens of a long prompt, which a server reads in 1,560 ms
	promptShort   = 30000  // tokens of a prompt without trouble, 475 ms
	promptOut     = 247    // events of an item
	promptItems   = 4
	promptServers = 9
	promptVMs     = 3
)

// promptTime returns how long an idle server takes to read a prompt from one token to another one.
func promptTime(from, to int) time.Duration {
	a, b := float64(from), float64(to)
	ms := (b-a)/promptPerMs + (b-a)/promptChunk*promptStepMs + (b*b-a*a)/2/1e6*promptPairMs
	return time.Duration(ms * float64(time.Millisecond))
}

func promptCase(r *Rig, trouble bool) int {
	r.MemoryMB = adoptMemoryMB
	r.Configure(1, []map[string]any{
		{"name": "lots", "host": host, "pathPrefix": "/lot/", "kind": "batch", "service": "llm", "timeoutMs": 15000, "targetLatencyMs": 400, "maxAttempts": 3, "priority": 2,
			"resumable": true, "gapAimMs": 250, "completionWindowMs": adoptWindowMs, "queueTtlS": adoptQueueTTLS, "cap": adoptCap},
	}, adoptMaxBody)
	var mu sync.Mutex
	had := time.Time{} // when a server last had an item: not counted are runs that their sender ended within a second
	runs, cut := 0, 0
	longest := time.Duration(0)
	for n := range promptServers {
		e := &Engine{ID: fmt.Sprintf("i-%d", n), Slots: 8, Queue: 24, Reads: promptTime, First: 45 * time.Millisecond, Interval: 3 * time.Millisecond, Items: promptOut}
		e.OnEnd = func(engine, id string, took time.Duration, whole bool) {
			mu.Lock()
			defer mu.Unlock()
			runs++
			longest = max(longest, took)
			if !whole && took < time.Second {
				cut++
			} else {
				had = time.Now()
			}
			r.Logf("%s at %s: %d ms, whole %v", id, engine, took.Milliseconds(), whole)
		}
		if err := r.AddEngine(e); err != nil {
			r.Logf("%v", err)
			return unable
		}
	}
	for range promptVMs {
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
	time.Sleep(time.Second)
	tokens := promptShort
	if trouble {
		tokens = promptLong
	}
	if tokens+promptOut > promptMemory {
		return unable
	}
	l := NewLot("lot00", promptItems, 15000, tokens, promptOut)
	if !r.Submit(l, r.VMs, 0, 10*time.Second) {
		return unable
	}
	end, grown := time.Now(), time.Now()
	for n := 0; time.Since(end) < completionS+2*time.Second && len(l.Done) < promptItems; n++ {
		before := len(l.Done)
		if err := r.Read(l, r.VMs[n%len(r.VMs)]); err != nil {
			r.Logf("not read: %v", err)
		}
		if len(l.Done) > before {
			grown = time.Now()
		}
		time.Sleep(adoptReadPeriod)
	}
	for id, got := range l.Done {
		if got != "succeeded "+output(data, id, promptOut) {
			r.Logf("item %s has another result", id)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	missing := promptItems - len(l.Done)
	r.Logf("%d of %d items listed; %d runs, %d of them ended by their sender within a second, longest %d ms; a server had an item last %.1f s ago",
		len(l.Done), promptItems, runs, cut, longest.Milliseconds(), time.Since(later(had, end)).Seconds())
	if missing > 0 && time.Since(had) > calmS && time.Since(grown) > finishedS {
		r.Logf("%d items are listed neither as succeeded nor as dead_letter, %.1f s after the job was accepted", missing, time.Since(end).Seconds())
		return broken
	}
	return held
}
