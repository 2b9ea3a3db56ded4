package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// orphans submits batch jobs of 200 items each, and kills all processes at the same moment. The platform starts them again. The jobs
// come at the rate of the sheet, one in 1.46 s; 24 servers' slots can't do them as fast, so about 16 are open at the end.
func orphans(caseFolder string, trouble bool) (int, error) {
	const (
		vms, lots, itemsPerLot, itemBytes, tokens = 3, 24, 200, 14900, 490
		submitEvery                               = 1460 * time.Millisecond
		restart                                   = time.Second
		// completion is completionS. Items that failed at a server in the last 20 s don't count, so the servers must have been idle for
		// longer.
		completion = 18 * time.Second
		idleFor    = 20500 * time.Millisecond
		most       = 110 * time.Second
	)
	w, err := newWorld(caseFolder)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	if err := w.addServers(3, 8, 20*time.Millisecond, func(string) int { return 20 }); err != nil {
		return exitNotRun, err
	}
	w.configure(deploymentRoutes())
	if err := w.addVMs(vms, machineMemoryMB, func(int) string { return w.address(1, 8169) }); err != nil {
		return exitNotRun, err
	}
	w.note("%d machines are ready", vms)
	stop := make(chan struct{})
	var background sync.WaitGroup
	for _, v := range w.vms {
		background.Go(func() { v.keepWithin(restart, stop, func(line string) { w.note("%s", line) }) })
	}
	var submitting sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	for n := range lots {
		submitting.Go(func() {
			id := fmt.Sprintf("%08x%04x", rand.Uint32(), n)
			body := lot(id, itemsPerLot, itemBytes, tokens)
			for try := 0; try < 6; try++ {
				v := w.vms[(n+try)%vms]
				status, _, err := call(v.front(), http.MethodPost, "/pule252/"+id, map[string]string{"X-Attempt-Id": id, "Content-Type": "application/json"}, body, 5*time.Second)
				w.note("lot %s of %d items and %d bytes at %s: status %d, err %v", id, itemsPerLot, len(body), v.name, status, err)
				if status == http.StatusAccepted {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
		time.Sleep(submitEvery)
	}
	submitting.Wait()
	w.note("%d of %d lots are accepted, %d are open; traffic ends", len(accepted), lots, w.store.count("claims"))
	ended := time.Now()
	if trouble {
		var killing sync.WaitGroup
		for _, v := range w.vms {
			killing.Go(func() { v.kill("killed by the disruption") })
		}
		killing.Wait()
		w.note("all processes are killed; the platform starts them again after a second")
	}
	code := exitNotRun
	for code == exitNotRun && time.Since(w.started) < most {
		time.Sleep(time.Second)
		code = judgeOrphans(w, accepted, time.Since(ended) > completion, idleFor)
	}
	if code == exitNotRun {
		w.note("the lots are still being worked on after %v", most)
		code = exitHeld
	}
	close(stop)
	background.Wait()
	recordRuns(w, accepted)
	return code, nil
}

// judgeOrphans applies the rule LOST: once completionS is over, an item that is not listed counts as lost if in the last 5 s no server
// had an unlisted item of its batch job and the servers were under half full, and in the last 3 s no item was finished.
func judgeOrphans(w *world, accepted []string, over bool, idleFor time.Duration) int {
	open, unread, waiting := 0, 0, 0
	for _, id := range accepted {
		total, listed, err := allResults(w, id)
		if err != nil {
			w.detail("lot %s can't be read: %v", id, err)
			open++
			unread++
			continue
		}
		if listed < total {
			open++
			waiting += total - listed
		}
	}
	running, idle := w.serversIdle()
	memory := ""
	for _, v := range w.vms {
		memory += fmt.Sprintf(" %d", v.memory()>>20)
	}
	w.note("%d lots with %d items are not done, %d of them can't be read; %d runs at the servers, which have been idle for %.1f s; memory in MB%s", open, waiting, unread, running, idle.Seconds(), memory)
	switch {
	case open == 0:
		w.note("LOST holds: every item is listed")
		return exitHeld
	case over && unread == 0 && idle > idleFor:
		w.note("LOST is broken: completionS is over, %d items of %d open lots are not listed, and no server has worked for %.1f s", waiting, open, idle.Seconds())
		return exitBroken
	}
	return exitNotRun
}

// allResults returns the number of items of a lot and of its listed results.
func allResults(w *world, id string) (total, listed int, err error) {
	for {
		status, got, err := readLot(w.vms[rand.Intn(len(w.vms))].front(), id, listed)
		if err != nil || status != http.StatusOK {
			return 0, 0, fmt.Errorf("status %d, %w", status, errOr(err))
		}
		total, listed = got.Total, got.Next
		if len(got.Results) == 0 {
			return total, listed, nil
		}
	}
}

func errOr(err error) error {
	if err == nil {
		return fmt.Errorf("not served")
	}
	return err
}

// recordRuns writes into the record how often items of each lot were run, and how the processes ended.
func recordRuns(w *world, accepted []string) {
	runs := map[string]map[string]int{}
	for _, m := range w.servers {
		m.mu.Lock()
		for _, run := range m.runs {
			lot := run.id[:len(run.id)-2]
			if runs[lot] == nil {
				runs[lot] = map[string]int{}
			}
			runs[lot][run.status]++
		}
		m.mu.Unlock()
	}
	for _, id := range accepted {
		w.detail("lot %s: runs at the servers: %v", id, runs[id])
	}
	for _, v := range w.vms {
		for _, end := range v.ends {
			w.detail("%s: a process ended at %.3f: %s, peak %d MB", v.name, end.at.Sub(w.started).Seconds(), end.cause, end.peak>>20)
		}
	}
}
