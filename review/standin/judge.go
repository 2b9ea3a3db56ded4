package main

import "time"

// readAll reads what a job's client has not read yet and returns how many items are listed.
func (l *lot) readAll(d *deployment) int {
	l.read(d, d.vms[0])
	return len(l.listed)
}

// readFor reads a job twice a second, at one VM after another, until all items are listed or the time is over.
func (d *deployment) readFor(l *lot, how time.Duration) {
	until := time.Now().Add(how)
	for n := 0; time.Now().Before(until) && len(l.listed) < len(l.items); n++ {
		l.read(d, d.vms[n%len(d.vms)])
		time.Sleep(min(500*time.Millisecond, max(0, time.Until(until))))
	}
}

// unlisted judges the rule LOST at the end of completionS: it reports whether an item of the job is not listed, though in the
// last 5 s no server had an unlisted item of that job and its servers were under half full, in the last 3 s no item was
// finished, and the item did not fail at a server in the last 20 s. It watches these 5 s, after which the rule is even easier to
// keep.
func (d *deployment) unlisted(l *lot, servers []*server) bool {
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, v := range d.servers {
			if v.hasUnlisted(l) {
				d.record.add("server %s has an unlisted item: the rule does not apply", v.id)
				return false
			}
		}
		for _, v := range servers {
			if v.halfFull() {
				d.record.add("server %s is half full: the rule does not apply", v.id)
				return false
			}
		}
	}
	before := len(l.listed)
	for _, v := range d.vms {
		l.read(d, v)
	}
	if len(l.listed) != before {
		d.record.add("items were listed in the last 5 s: the rule does not apply")
		return false
	}
	broken := false
	for _, each := range l.items {
		if _, listed := l.listed[each.ID]; listed {
			continue
		}
		if since := d.sinceFailure(each.ID); since < 20*time.Second {
			d.record.say("%s is not listed, but it failed at a server %.1f s ago", each.ID, since.Seconds())
			continue
		}
		d.record.say("LOST: %s of batch job %s is not listed, %.1f s after the 202, and no server has it", each.ID, l.id, time.Since(l.accepted).Seconds())
		broken = true
	}
	return broken
}

// sinceFailure returns how long ago an item last failed at a server.
func (d *deployment) sinceFailure(id string) time.Duration {
	since := time.Hour
	for _, v := range d.servers {
		v.mu.Lock()
		if at, failed := v.lastFailure[id]; failed {
			since = min(since, time.Since(at))
		}
		v.mu.Unlock()
	}
	return since
}

func (v *server) hasUnlisted(l *lot) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, each := range l.items {
		if _, listed := l.listed[each.ID]; !listed && v.present[each.ID] > 0 {
			return true
		}
	}
	return false
}

func (v *server) halfFull() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return 2*(v.running+v.waiting) >= v.slots
}

func (v *server) runsOf(id string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runs[id]
}
