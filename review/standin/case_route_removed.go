package main

import (
	"errors"
	"net/http"
	"time"
)

func init() {
	cases["route-removed"] = routeRemoved
}

// routeRemoved plays a configuration that no longer has the route of batch jobs that were accepted before. One job has been read
// to its end, one is half done.
func routeRemoved(d *deployment, trouble bool) verdict {
	zones := []string{"garmisch", "berchtesgaden", "oberstdorf"}
	length := func(string) int { return 60 }
	for i, zone := range zones {
		if err := d.addServer(newServer("i-a5515e0"+string(rune('1'+i)), "assist", zone, 4, 20*time.Millisecond, length)); err != nil {
			return verdict{err: err}
		}
	}
	streams := streamRoute("r-assist", streamHost, streamPath, "assist")
	d.configure([]string{"assist"}, streams, batchRoute("r-sheets", batchHost, batchPath, "assist"))
	if err := d.addVMs(3, zones...); err != nil {
		return verdict{err: err}
	}
	d.watch()
	time.Sleep(contact + time.Second)
	whole, open := newLot(8, "9c2e41a0"), newLot(40, "9c2e41a1")
	if !d.submit(whole, d.vms...) {
		return verdict{err: errors.New("batch job not accepted")}
	}
	d.readFor(whole, 10*time.Second)
	if len(whole.listed) != len(whole.items) {
		return verdict{err: errors.New("batch job not done")}
	}
	if !d.submit(open, d.vms[1], d.vms[2], d.vms[0]) {
		return verdict{err: errors.New("batch job not accepted")}
	}
	time.Sleep(2 * time.Second)
	open.read(d, d.vms[0])
	d.record.say("before: %d of %d items of the first job are read, and %d of %d of the second", len(whole.listed), len(whole.items), len(open.listed), len(open.items))
	if trouble {
		d.configure([]string{"assist"}, streams)
	}
	time.Sleep(configApply + settle + 2*time.Second)
	broken := false
	for _, v := range d.vms {
		for _, l := range []*lot{whole, open} {
			again := &lot{id: l.id, items: l.items, listed: map[string]result{}}
			status := again.read(d, v)
			d.record.say("%s answers %d for batch job %s, accepted %.1f s ago; in touch: %v", v.name, status, l.id, time.Since(l.accepted).Seconds(), v.inTouch())
			if (status == http.StatusNotFound || status == http.StatusGone) && v.inTouch() && time.Since(l.accepted) > settle {
				d.record.say("LOST: %s answers %d for a batch job that exists", v.name, status)
				broken = true
			}
			if status != http.StatusOK {
				continue
			}
			for _, r := range l.listed {
				if again.listed[r.ID] != r {
					d.record.say("LOST: the result of %s, which had been read, does not come again", r.ID)
					broken = true
				}
			}
		}
	}
	return verdict{broken: broken}
}
