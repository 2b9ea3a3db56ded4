package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// silent makes the open channels to the store go silent for good, while new ones work, and has the operator drop a route shortly after.
// A moment before, clients of a batch job have read its results, so that each machine has idle channels to the store, and the operator
// has made a change that drops nothing.
func silent(caseFolder string, trouble bool) (int, error) {
	const (
		vms = 3
		// contact is contactMs: the machines are in touch again that long after the silence, which counts as a reset of all channels.
		contact     = 3 * time.Second
		configApply = 2 * time.Second
		// readers is how many clients read at each machine.
		readers = 16
		watch   = 6 * time.Second
	)
	w, err := newWorld(caseFolder)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	if err := w.addServers(3, 8, 20*time.Millisecond, func(string) int { return 5 }); err != nil {
		return exitNotRun, err
	}
	dropped := map[string]any{
		"name": "r-dropped", "host": callerHost, "pathPrefix": "/dropped/", "kind": "stream", "service": "model", "timeoutMs": 5000,
		"targetLatencyMs": 300, "priority": 0, "maxAttempts": 2, "stickySessions": true, "resumable": true, "gapAimMs": 250,
	}
	w.configure(append(deploymentRoutes(), dropped))
	if err := w.addVMs(standardMachine, standardMachine, standardMachine); err != nil {
		return exitNotRun, err
	}
	w.note("%d machines are ready", vms)
	time.Sleep(4 * time.Second)
	id := fmt.Sprintf("%012x", rand.Uint64()>>16)
	status, _, err := call(w.vms[0].front(), http.MethodPost, "/pule252/"+id, map[string]string{"X-Attempt-Id": id, "Content-Type": "application/json"}, lot(id, 10, 15000, 490), 5*time.Second)
	w.note("lot %s: status %d, err %v", id, status, err)
	time.Sleep(3 * time.Second)
	var reading sync.WaitGroup
	for _, v := range w.vms {
		for range readers {
			reading.Go(func() { _, _, _ = readLot(v.front(), id, 0) })
		}
	}
	reading.Wait()
	w.configure(append(deploymentRoutes(), dropped))
	w.note("the operator has made a change that drops nothing")
	time.Sleep(20 * time.Millisecond)
	begin := time.Now()
	if trouble {
		for n, p := range w.proxies {
			w.note("%s: %d open channels to the store go silent", w.vms[n].name, p.silence())
		}
	}
	time.Sleep(300 * time.Millisecond)
	w.configure(deploymentRoutes())
	acked := time.Now()
	w.note("the operator has dropped a route: acknowledged")
	// Both bounds are over: the machines are in touch, and the change must be in force.
	time.Sleep(max(time.Until(begin.Add(contact)), time.Until(acked.Add(configApply))) + 10*time.Millisecond)
	broken, sent := 0, 0
	for time.Since(begin) < watch {
		for _, v := range w.vms {
			c, err := openChannel(v.front())
			if err != nil {
				w.note("%s: %v", v.name, err)
				continue
			}
			sent++
			id := fmt.Sprintf("d%s-%03d", v.name, sent)
			got := c.send(v.name, "/dropped/2f", id, 2*time.Second, "X-Model: m\r\nX-Token-Usage: 450,35\r\n", []byte("question"))
			_ = c.conn.Close()
			runs := w.runsOf(id)
			line := fmt.Sprintf("request %s, sent %.2f s after the silence and %.2f s after the acknowledgement: status %d, run %d times", id, got.sent.Sub(begin).Seconds(), got.sent.Sub(acked).Seconds(), got.status, len(runs))
			if len(runs) == 0 {
				w.detail("%s", line)
				continue
			}
			broken++
			w.note("%s", line)
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.note("CONFIG: of %d requests on the dropped route, all sent when it may not be used any more, %d were run", sent, broken)
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
