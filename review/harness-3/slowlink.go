package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// slowLink stops the machine that runs a batch job of 200 items, by SIGTERM, when most of its results are listed, and starts it again. The
// machines are the smallest of the deployment ogsna-nominate-grown, whose links carry 22 Mbit/s.
func slowLink(caseFolder string, trouble bool) (int, error) {
	const (
		vms, items, tokens = 3, 200, 2750
		gap                = 31 * time.Millisecond
		killAt             = 175
		grace              = 8 * time.Second
		restart            = time.Second
		completion         = 18 * time.Second
		idleFor            = 20500 * time.Millisecond
		most               = 115 * time.Second
	)
	w, err := newWorld(caseFolder)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	// The items have 165 to 240 events of about 100 bytes.
	events := func(path string) int {
		n, _ := strconv.ParseInt(path[len(path)-2:], 16, 32)
		return 165 + int(n*37)%76
	}
	if err := w.addServers(5, 8, gap, events); err != nil {
		return exitNotRun, err
	}
	for _, m := range w.servers {
		m.text = func(id string, n int) string { return eventData(id, n) + strings.Repeat("y", 40) }
	}
	routes := deploymentRoutes()
	routes[1]["cap"] = 5000000
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
	id := fmt.Sprintf("%012x", rand.Uint64()>>16)
	status, _, err := call(w.vms[0].front(), http.MethodPost, "/pule252/"+id, map[string]string{"X-Attempt-Id": id, "Content-Type": "application/json"}, lot(id, items, 500, tokens), 5*time.Second)
	w.note("lot %s of %d items at %s: status %d, err %v", id, items, w.vms[0].name, status, err)
	if status != http.StatusAccepted {
		return exitNotRun, fmt.Errorf("the lot is not accepted")
	}
	r := &lotReader{world: w, id: id}
	code := exitNotRun
	var ended time.Time
	for code == exitNotRun && time.Since(w.started) < most {
		time.Sleep(500 * time.Millisecond)
		r.read()
		if ended.IsZero() && r.next >= killAt {
			ended = time.Now()
			if trouble {
				w.vms[0].terminate(grace)
				w.note("%s, which runs the lot, gets SIGTERM with %d of %d items listed, %d bytes", w.vms[0].name, r.next, r.total, r.bytes)
			} else {
				w.note("%d of %d items are listed, %d bytes", r.next, r.total, r.bytes)
			}
		}
		code = r.judge(!ended.IsZero() && time.Since(ended) > completion, idleFor)
	}
	if code == exitNotRun {
		w.note("neither done nor lost after %v", most)
	}
	close(stop)
	background.Wait()
	recordRuns(w, []string{id})
	return code, nil
}

// lotReader is a client that reads the results of a lot from where it stands.
type lotReader struct {
	world              *world
	id                 string
	next, total, bytes int
	failed             string
	noted              time.Time
	// quiet means that the items listed don't go into the record one by one.
	quiet bool
}

func (r *lotReader) read() {
	v := r.world.vms[rand.Intn(len(r.world.vms))]
	status, got, err := readLot(v.front(), r.id, r.next)
	r.failed = ""
	if err != nil || status != http.StatusOK {
		r.failed = fmt.Sprintf("the last read, at %s, got status %d, err %v", v.name, status, err)
		r.world.detail("read after %d: %s", r.next, r.failed)
		return
	}
	r.total, r.next = got.Total, got.Next
	for _, result := range got.Results {
		r.bytes += len(result.Output)
		if r.quiet {
			continue
		}
		r.world.detail("item %s is listed at %s: %s, %d bytes", result.ID, v.name, result.State, len(result.Output))
	}
}

func (r *lotReader) judge(over bool, idleFor time.Duration) int {
	running, idle := r.world.serversIdle()
	if time.Since(r.noted) > 2*time.Second {
		r.noted = time.Now()
		r.world.note("%d of %d items are listed, %d bytes; %d runs at the servers, which have been idle for %.1f s. %s", r.next, r.total, r.bytes, running, idle.Seconds(), r.failed)
	}
	switch {
	case r.total > 0 && r.next == r.total:
		r.world.note("LOST holds: every item is listed")
		return exitHeld
	case over && r.failed == "" && idle > idleFor:
		r.world.note("LOST is broken: completionS is over, %d items are not listed, and no server has worked for %.1f s", r.total-r.next, idle.Seconds())
		return exitBroken
	}
	return exitNotRun
}
