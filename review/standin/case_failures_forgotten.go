package main

import (
	"errors"
	"sync"
	"time"
)

func init() {
	cases["failures-forgotten"] = failuresForgotten
}

// failuresForgotten plays a rolling restart of eight VMs while a batch job has items that fail at each run.
func failuresForgotten(d *deployment, trouble bool) verdict {
	const failing, maxAttempts = 4, 3
	zones := []string{"garmisch", "berchtesgaden", "oberstdorf"}
	length := func(string) int { return 40 }
	l := newLot(8, "9c2e41a0")
	poison := map[string]bool{}
	for _, each := range l.items[:failing] {
		poison[each.ID] = true
	}
	var mu sync.Mutex
	broken := false
	answers := map[string]int{}
	for i := range 6 {
		v := newServer("i-a5515e0"+string(rune('1'+i)), "assist", zones[i%3], 8, 15*time.Millisecond, length)
		v.failTime = 400 * time.Millisecond
		v.decide = func(id string, _ int) deed {
			if poison[id] {
				return deedFail
			}
			return deedServe
		}
		v.arrived = func(id, from string) {
			mu.Lock()
			defer mu.Unlock()
			if poison[id] && answers[id] >= 3*maxAttempts {
				sender := d.senderOf(from)
				if sender == nil {
					d.record.add("%s reaches server %s again after %d answers of 500; its sender is not known", id, v.id, answers[id])
					return
				}
				inTouch := sender.inTouch()
				broken = broken || inTouch
				d.record.say("%s reaches server %s again after %d answers of 500, from %s, in touch: %v", id, v.id, answers[id], sender.name, inTouch)
			}
		}
		v.failed = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			answers[id]++
		}
		if err := d.addServer(v); err != nil {
			return verdict{err: err}
		}
	}
	d.configure([]string{"assist"}, streamRoute("r-assist", streamHost, streamPath, "assist"), batchRoute("r-sheets", batchHost, batchPath, "assist"))
	if err := d.addVMs(8, "garmisch"); err != nil {
		return verdict{err: err}
	}
	d.watch()
	time.Sleep(contact + time.Second)
	if !d.submit(l, d.vms[0]) {
		return verdict{err: errors.New("batch job not accepted")}
	}
	var restarts sync.WaitGroup
	if trouble {
		time.Sleep(900 * time.Millisecond)
		for _, v := range d.vms {
			restarts.Go(func() { _, _ = v.terminate() })
			time.Sleep(time.Second)
		}
	}
	d.readFor(l, 20*time.Second)
	restarts.Wait()
	d.readFor(l, 10*time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, each := range l.items[:failing] {
		d.record.say("%s was answered 500 %d times and is listed as %q", each.ID, answers[each.ID], l.listed[each.ID].State)
	}
	return verdict{broken: broken}
}
