package main

import (
	"errors"
	"time"
)

func init() {
	cases["service-moved"] = serviceMoved
}

// serviceMoved plays a move of the batch route from a service with one server to one with seven, after which the one server
// leaves. Some items of a job run at it then, the others wait for a place there.
func serviceMoved(d *deployment, trouble bool) verdict {
	zones := []string{"garmisch", "berchtesgaden", "oberstdorf"}
	length := func(string) int { return 60 }
	old := newServer("i-01d5e120", "sheets-old", zones[0], 8, 20*time.Millisecond, length)
	if err := d.addServer(old); err != nil {
		return verdict{err: err}
	}
	var fresh []*server
	for i := range 7 {
		v := newServer("i-a5515e0"+string(rune('1'+i)), "assist", zones[i%3], 8, 20*time.Millisecond, length)
		if err := d.addServer(v); err != nil {
			return verdict{err: err}
		}
		fresh = append(fresh, v)
	}
	services := []string{"assist", "sheets-old"}
	streams := streamRoute("r-assist", streamHost, streamPath, "assist")
	d.configure(services, streams, batchRoute("r-sheets", batchHost, batchPath, "sheets-old"))
	if err := d.addVMs(3, zones...); err != nil {
		return verdict{err: err}
	}
	d.watch()
	time.Sleep(contact + time.Second)
	stop := make(chan struct{})
	d.traffic(2, 60, stop, zones...)
	l := newLot(40, "9c2e41a0")
	if !d.submit(l, d.vms...) {
		return verdict{err: errors.New("batch job not accepted")}
	}
	time.Sleep(800 * time.Millisecond)
	if trouble {
		d.configure(services, streams, batchRoute("r-sheets", batchHost, batchPath, "assist"))
		time.Sleep(configApply)
		old.drain(drainTimeout)
	}
	d.readFor(l, time.Until(l.accepted.Add(7*time.Second)))
	close(stop)
	d.record.say("traffic ends, 7 s after the 202; %d of %d items are listed", l.readAll(d), len(l.items))
	d.readFor(l, completion)
	broken := d.unlisted(l, append(fresh, old))
	if trouble && broken {
		// What becomes of the items is not judged: it is recorded until the route's queueTtlS has passed.
		d.readFor(l, time.Until(l.accepted.Add(64*time.Second)))
		dead := 0
		for _, r := range l.listed {
			if r.State == "dead_letter" {
				dead++
			}
		}
		d.record.say("in the end %d of %d items are listed, %d of them as dead_letter", len(l.listed), len(l.items), dead)
	}
	return verdict{broken: broken}
}
