package main

import (
	"sync"
	"time"
)

func init() {
	cases["drain"] = drain
}

// drain plays rolling restarts of five VMs, of which each zone has one, while batch jobs come in steadily. A VM that hands its jobs
// over has to stop accepting requests and to end within the grace; it must not cut off requests that it has read.
func drain(d *deployment, trouble bool) verdict {
	const events, rounds, gap = 60, 5, time.Second
	const jobsPerSecond, items = 3, 10
	zones := []string{"garmisch", "berchtesgaden", "oberstdorf", "mittenwald", "lenggries"}
	length := func(id string) int {
		if id[0] == 'e' {
			return 40
		}
		return events
	}
	for i, zone := range zones {
		v := newServer("i-a5515e0"+string(rune('1'+i)), "assist", zone, 8, 15*time.Millisecond, length)
		if err := d.addServer(v); err != nil {
			return verdict{err: err}
		}
	}
	sheets := batchRoute("r-sheets", batchHost, batchPath, "assist")
	sheets["cap"] = 7700000
	d.configure([]string{"assist"}, streamRoute("r-assist", streamHost, streamPath, "assist"), sheets)
	if err := d.addVMs(len(zones), zones...); err != nil {
		return verdict{err: err}
	}
	d.watch()
	time.Sleep(contact + time.Second)
	var mu sync.Mutex
	lost := 0
	stop := make(chan struct{})
	var streams sync.WaitGroup
	for _, zone := range zones {
		streams.Go(func() {
			each(4, stop, func() {
				v := d.pick(zone)
				sent := time.Now()
				got, id, complete := d.stream(v, events)
				took := time.Since(sent)
				d.record.add("client in %s sent stream %s to %s: %v after %d ms, complete %v", zone, id, v.name, got, took.Milliseconds(), complete)
				if got.err == nil || !d.broke(v, id, sent, took) {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				lost++
			})
		})
	}
	for _, zone := range zones {
		streams.Go(func() {
			each(jobsPerSecond, stop, func() {
				l := newLotOf(items, "9c2e41a0", 350, 50)
				d.submit(l, d.pick(zone), d.pick(zones[0]), d.pick(zones[1]), d.pick(zones[2]))
			})
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for round := 1; round <= rounds; round++ {
			var restarts sync.WaitGroup
			for _, v := range d.vms {
				restarts.Go(func() {
					killed, err := v.terminate()
					d.record.say("round %d: %s ended, killed after the grace: %v %v", round, v.name, killed, err)
				})
				time.Sleep(gap)
			}
			restarts.Wait()
			mu.Lock()
			found := lost > 0
			mu.Unlock()
			if found {
				break
			}
			time.Sleep(contact + time.Second)
		}
	} else {
		time.Sleep(20 * time.Second)
	}
	close(stop)
	streams.Wait()
	d.record.say("%d requests were cut off by a VM that was told to stop", lost)
	return verdict{broken: lost > 0}
}

// broke reports whether a stream that ended without a complete answer counts as LOST around a SIGTERM of its VM: it was passed on
// to a server, its channel ended without a complete answer, after the SIGTERM and until 1 s after the grace, before the time
// budget and the route's timeout, and it is not one that was sent no later than 3 s after the SIGTERM and whose server was still
// at work in the last sixth of the grace.
func (d *deployment) broke(v *vm, id string, sent time.Time, took time.Duration) bool {
	v.mu.Lock()
	termed := v.lastTerm
	v.mu.Unlock()
	ended := sent.Add(took)
	ran := 0
	for _, each := range d.servers {
		ran += each.runsOf(id)
	}
	switch {
	case ran == 0 || termed.IsZero() || took > 4900*time.Millisecond:
		return false
	case ended.Before(termed) || ended.After(termed.Add(grace+time.Second)):
		return false
	case sent.Before(termed.Add(3*time.Second)) && ended.After(termed.Add(grace*5/6)):
		return false
	}
	d.record.say("LOST: stream %s, sent to %s %.1f s after its SIGTERM, ran and was cut off %.1f s after the SIGTERM", id, v.name, sent.Sub(termed).Seconds(), ended.Sub(termed).Seconds())
	return true
}

// each calls f perSecond times a second until stop is closed, and returns when all calls have ended.
func each(perSecond float64, stop <-chan struct{}, f func()) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
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
