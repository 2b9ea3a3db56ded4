package main

import (
	"fmt"
	"time"
)

// linesCase runs items whose text has several lines. With trouble, the text of each event begins with a line feed, which
// text/event-stream carries as an empty first data line.
func linesCase(r *Rig, trouble bool) int {
	r.MemoryMB = adoptMemoryMB
	r.Configure(1, []map[string]any{
		{"name": "lots", "host": host, "pathPrefix": "/lot/", "kind": "batch", "service": "llm", "timeoutMs": 15000, "targetLatencyMs": 400, "maxAttempts": 3, "priority": 2,
			"resumable": true, "gapAimMs": 250, "completionWindowMs": adoptWindowMs, "queueTtlS": adoptQueueTTLS, "cap": adoptCap},
	}, adoptMaxBody)
	const events, items = 10, 5
	text := func(id string, n int) string {
		if trouble {
			return fmt.Sprintf("\nline %d of %s", n, id)
		}
		return fmt.Sprintf("line %d of %s\nand one more", n, id)
	}
	for n := range 2 {
		if err := r.AddEngine(&Engine{ID: fmt.Sprintf("i-%d", n), Slots: 8, Queue: 24, First: 20 * time.Millisecond, Interval: 20 * time.Millisecond, Items: events, Text: text}); err != nil {
			r.Logf("%v", err)
			return unable
		}
	}
	for range 2 {
		if err := r.AddVM().Start(); err != nil {
			r.Logf("%v", err)
			return unable
		}
	}
	if !r.WaitReady(15 * time.Second) {
		r.Logf("not ready")
		return unable
	}
	time.Sleep(time.Second)
	l := NewLot("lot00", items, 100, 350, events)
	if !r.Submit(l, r.VMs, 0, 10*time.Second) {
		return unable
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && len(l.Done) < items; time.Sleep(adoptReadPeriod) {
		if err := r.Read(l, r.VMs[1]); err != nil {
			r.Logf("not read: %v", err)
		}
	}
	if len(l.Done) < items {
		r.Logf("%d of %d items listed", len(l.Done), items)
		return unable
	}
	wrong := 0
	for _, id := range l.Items {
		want := "succeeded " + output(text, id, events)
		r.Logf("item %s: listed %q", id, l.Done[id])
		if l.Done[id] != want {
			wrong++
			r.Logf("item %s: sent   %q", id, want)
		}
	}
	r.Logf("%d of %d results are succeeded with another text than the servers sent", wrong, items)
	if wrong > 0 {
		return broken
	}
	return held
}
