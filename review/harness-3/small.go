package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// small submits batch jobs to three of the smallest machines of the deployment ogsna-nominate-grown, whose links carry 22 Mbit/s, at
// the rate of its sheet, and kills one process. The platform starts it again.
func small(caseFolder string, trouble bool) (int, error) {
	const (
		vms                                  = 3
		lots, itemsPerLot, itemBytes, tokens = 40, 20, 15000, 1850
		lotCap                               = 5000000
		submitEvery                          = 307 * time.Millisecond
		gap                                  = 31 * time.Millisecond
		restart                              = time.Second
		completion                           = 18 * time.Second
		// No server may have had an item of the batch job in the last 5 s, and none may have failed in the last 20 s.
		idleFor    = 5500 * time.Millisecond
		lotIdleFor = 20500 * time.Millisecond
		most       = 115 * time.Second
	)
	w, err := newWorld(caseFolder)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	if err := w.addServers(6, 8, gap, func(string) int { return 150 }); err != nil {
		return exitNotRun, err
	}
	routes := deploymentRoutes()
	routes[1]["cap"] = lotCap
	w.configure(routes)
	if err := w.addVMs(smallMachine, smallMachine, smallMachine); err != nil {
		return exitNotRun, err
	}
	w.note("%d machines with links of 22 Mbit/s are ready", vms)
	stop := make(chan struct{})
	var background sync.WaitGroup
	for _, v := range w.vms {
		background.Go(func() { v.keepWithin(restart, stop, func(line string) { w.note("%s", line) }) })
	}
	var submitting sync.WaitGroup
	var mu sync.Mutex
	readers := map[string]*lotReader{}
	for n := range lots {
		submitting.Go(func() {
			id := fmt.Sprintf("%08x%04x", rand.Uint32(), n)
			body := lot(id, itemsPerLot, itemBytes, tokens)
			for try := range 6 {
				v := w.vms[(n+try)%vms]
				status, _, err := call(v.front(), http.MethodPost, "/pule252/"+id, map[string]string{"X-Attempt-Id": id, "Content-Type": "application/json"}, body, 5*time.Second)
				w.detail("lot %s of %d items and %d bytes at %s: status %d, err %v", id, itemsPerLot, len(body), v.name, status, err)
				if status == http.StatusAccepted {
					mu.Lock()
					readers[id] = &lotReader{world: w, id: id, quiet: true}
					mu.Unlock()
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
		time.Sleep(submitEvery)
	}
	submitting.Wait()
	w.note("%d of %d lots are accepted, %d are open; traffic ends", len(readers), lots, w.store.count("claims"))
	ended := time.Now()
	if trouble {
		w.vms[0].kill("killed by the disruption")
		w.note("%s is killed", w.vms[0].name)
	}
	code := exitNotRun
	for code == exitNotRun && time.Since(w.started) < most {
		time.Sleep(time.Second)
		code = judgeSmall(w, readers, time.Since(ended) > completion, idleFor, lotIdleFor)
	}
	if code == exitNotRun {
		w.note("neither done nor lost after %v", most)
	}
	close(stop)
	background.Wait()
	var ids []string
	for id, r := range readers {
		ids = append(ids, id)
		w.detail("lot %s: the client has read %d of %d results. %s", id, r.next, r.total, r.failed)
	}
	recordRuns(w, ids)
	return code, nil
}

// judgeSmall reads the lots that are not done. Those that could be read when all servers had been idle for long enough, and are not
// done, are lost, if no server has had one of their items for longer.
func judgeSmall(w *world, readers map[string]*lotReader, over bool, idleFor, lotIdleFor time.Duration) int {
	running, idle := w.serversIdle()
	open, waiting, unread, lost, missing := 0, 0, 0, 0, 0
	var reading sync.WaitGroup
	for _, r := range readers {
		if r.total > 0 && r.next == r.total {
			continue
		}
		reading.Go(r.read)
	}
	reading.Wait()
	for _, r := range readers {
		switch {
		case r.total > 0 && r.next == r.total:
		case r.failed != "":
			open++
			unread++
		default:
			open++
			waiting += r.total - r.next
			if over && idle > idleFor && w.idleWith(r.id) > lotIdleFor {
				lost++
				missing += r.total - r.next
			}
		}
	}
	w.note("%d lots are not done: %d can't be read at present, the others lack %d items; %d runs at the servers, which have been idle for %.1f s", open, unread, waiting, running, idle.Seconds())
	switch {
	case open == 0:
		w.note("LOST holds: every item is listed")
		return exitHeld
	case lost > 0:
		w.note("LOST is broken: completionS is over, %d items of %d open lots are not listed, and no server has worked for %.1f s, nor had an item of these lots for %.1f s", missing, lost, idle.Seconds(), lotIdleFor.Seconds())
		return exitBroken
	}
	return exitNotRun
}
