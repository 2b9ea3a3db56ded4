package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

// unreadable has clients read the results of a finished batch job from the start, at two machines whose links carry 22 Mbit/s, after
// the third machine, whose link carries 600 Mbit/s, was removed for good.
func unreadable(caseFolder string, trouble bool) (int, error) {
	const (
		items, tokens = 200, 1850
		gap           = 31 * time.Millisecond
		// clients is how many read at once. Each tries for readFor, at one machine after the other, half a second after a failure.
		clients = 6
		readFor = 25 * time.Second
		most    = 70 * time.Second
	)
	w, err := newWorld(caseFolder)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	if err := w.addServers(5, 8, gap, func(string) int { return 150 }); err != nil {
		return exitNotRun, err
	}
	// Events have about 80 bytes.
	for _, m := range w.servers {
		m.text = func(id string, n int) string { return eventData(id, n) + strings.Repeat("y", 20) }
	}
	routes := deploymentRoutes()
	routes[1]["cap"] = 5000000
	w.configure(routes)
	if err := w.addVMs(largeMachine, smallMachine, smallMachine); err != nil {
		return exitNotRun, err
	}
	w.note("a machine with a link of 600 Mbit/s and two with 22 Mbit/s are ready")
	stop := make(chan struct{})
	var background sync.WaitGroup
	for _, v := range w.vms {
		background.Go(func() { v.keepWithin(time.Second, stop, func(line string) { w.note("%s", line) }) })
	}
	defer background.Wait()
	defer close(stop)
	id := fmt.Sprintf("%012x", rand.Uint64()>>16)
	status, _, err := call(w.vms[0].front(), http.MethodPost, "/pule252/"+id, map[string]string{"X-Attempt-Id": id, "Content-Type": "application/json"}, lot(id, items, 500, tokens), 5*time.Second)
	w.note("lot %s of %d items at %s: status %d, err %v", id, items, w.vms[0].name, status, err)
	r := &lotReader{world: w, id: id}
	for r.total == 0 || r.next < r.total {
		if time.Since(w.started) > most {
			return exitNotRun, fmt.Errorf("the lot is not done in time")
		}
		time.Sleep(500 * time.Millisecond)
		r.read()
	}
	w.note("all %d items of the lot are listed and read, %d bytes", r.total, r.bytes)
	if trouble {
		w.vms[0].setWanted(false)
		w.vms[0].kill("removed for good by the disruption")
		w.note("%s is removed for good", w.vms[0].name)
	}
	return readAgain(w, id, r.total, clients, readFor), nil
}

// readAgain has clients read a lot from the start, at the small machines in turn, and again after each failure. LOST is broken if none
// of them gets all results.
func readAgain(w *world, id string, total, clients int, readFor time.Duration) int {
	var reading sync.WaitGroup
	var mu sync.Mutex
	complete, tries, failed := 0, 0, 0
	for n := range clients {
		reading.Go(func() {
			next := 0
			for begin, try := time.Now(), n; next < total && time.Since(begin) < readFor; try++ {
				v := w.vms[1+try%2]
				asked := time.Now()
				status, got, err := readLot(v.front(), id, next)
				w.detail("client %d reads from %d at %s: status %d, %d results, err %v, %.2f s", n, next, v.name, status, len(got.Results), err, time.Since(asked).Seconds())
				ok := err == nil && status == http.StatusOK
				mu.Lock()
				tries++
				if !ok {
					failed++
				}
				mu.Unlock()
				if ok {
					next = got.Next
					continue
				}
				time.Sleep(500 * time.Millisecond)
			}
			w.note("client %d has read %d of %d results from the start", n, next, total)
			if next == total {
				mu.Lock()
				complete++
				mu.Unlock()
			}
		})
	}
	reading.Wait()
	if complete == 0 {
		w.note("LOST is broken: the lot, which was done and read, can't be read any more by any of %d clients; %d of %d reads failed", clients, failed, tries)
		return exitBroken
	}
	w.note("LOST holds: %d of %d clients have read all results again; %d of %d reads failed", complete, clients, failed, tries)
	return exitHeld
}
