package main

import (
	"errors"
	"sync/atomic"
	"time"
)

func init() {
	cases["lost-answer"] = lostAnswer
}

// lostAnswer plays a service with one server, beside a larger service. The server loses the answer of one of 40 items.
func lostAnswer(d *deployment, trouble bool) verdict {
	const items, events = 40, 40
	zones := []string{"garmisch", "berchtesgaden", "oberstdorf"}
	length := func(string) int { return events }
	var lost atomic.Value
	var runs atomic.Int64
	sheets := newServer("i-5e1f0a10", "sheets", zones[0], 8, 10*time.Millisecond, length)
	sheets.decide = func(id string, _ int) deed {
		if trouble && runs.Add(1) == 12 {
			lost.Store(id)
			return deedLose
		}
		return deedServe
	}
	d.configure([]string{"assist", "sheets"}, streamRoute("r-assist", streamHost, streamPath, "assist"), batchRoute("r-sheets", batchHost, batchPath, "sheets"))
	if err := d.addServer(sheets); err != nil {
		return verdict{err: err}
	}
	for i, zone := range zones {
		if err := d.addServer(newServer("i-a5515e0"+string(rune('1'+i)), "assist", zone, 8, 10*time.Millisecond, length)); err != nil {
			return verdict{err: err}
		}
	}
	if err := d.addVMs(3, zones...); err != nil {
		return verdict{err: err}
	}
	d.watch()
	time.Sleep(contact + time.Second)
	stop := make(chan struct{})
	d.traffic(2, events, stop, zones...)
	l := newLot(items, "9c2e41a0")
	if !d.submit(l, d.vms...) {
		return verdict{err: errors.New("batch job not accepted")}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	d.record.say("traffic ends, 6 s after the 202; %d of %d items are listed", l.readAll(d), items)
	d.readFor(l, completion)
	broken := d.unlisted(l, []*server{sheets})
	if trouble && broken {
		// What becomes of the item is not judged: it is recorded until the route's queueTtlS has passed.
		d.readFor(l, time.Until(l.accepted.Add(64*time.Second)))
		id, _ := lost.Load().(string)
		d.record.say("%s, whose answer was lost, ran %d time(s); in the end it is listed as %q", id, sheets.runsOf(id), l.listed[id].State)
	}
	return verdict{broken: broken}
}
