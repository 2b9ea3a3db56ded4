package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// silentCase: the open channels to the store go silent for good, without a reset, while new ones work. A server leaves, and requests
// go on reaching it.
func silentCase(r *record, folder string, trouble bool) int {
	vms, servers := 12, 9
	s := newStore()
	direct, address := fmt.Sprintf("%s:%d", ip(1), 17001), fmt.Sprintf("%s:%d", ip(1), 17000)
	if err := serve(direct, s); err != nil {
		r.say("store: %v", err)
		return cannotRun
	}
	link, err := newProxy(address, direct)
	if err != nil {
		r.say("proxy: %v", err)
		return cannotRun
	}
	s.put("op", "config", smallConfig(10))
	var list []*server
	for i := range servers {
		v := newServer(s, fmt.Sprintf("i-%08x", rand.Uint32()), "beacon-assist", fmt.Sprintf("%s:%d", ip(100+i), 17480), zones[i%3], 8)
		if err := v.start(); err != nil {
			r.say("server: %v", err)
			return cannotRun
		}
		list = append(list, v)
	}
	var processes []*vmProcess
	defer func() {
		for _, v := range processes {
			v.stopVM()
		}
	}()
	seeds := []string{fmt.Sprintf("%s:%d", ip(10), portControl), fmt.Sprintf("%s:%d", ip(11), portControl), fmt.Sprintf("%s:%d", ip(12), portControl)}
	for i := range vms {
		v, err := startVM(folder, fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zones[i%3], ip(10+i), address, seeds, "")
		if err != nil {
			r.say("vm: %v", err)
			return cannotRun
		}
		processes = append(processes, v)
	}
	if !awaitReady(processes, 15*time.Second) {
		r.say("not all processes are ready")
		return cannotRun
	}
	r.say("%d processes, %d servers ready", vms, servers)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	front := map[string]string{}
	counts := map[string]int{}
	client := func(pause time.Duration, do func(v *vmProcess)) {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(float64(pause) * (0.5 + rand.Float64()))):
				}
				v := processes[rand.IntN(len(processes))]
				clients.Go(func() { do(v) })
			}
		})
	}
	count := func(what string, o outcome) {
		mu.Lock()
		defer mu.Unlock()
		key := fmt.Sprintf("%s: %d", what, o.status)
		if o.err != nil {
			key += " and broken off"
		}
		counts[key]++
	}
	// The sheet's load is 42 streams a second on average and, by the steps of the site file, 1.84 times that at its peaks; and half a
	// batch job a second.
	client(time.Second/60, func(v *vmProcess) {
		id := newID()
		mu.Lock()
		front[id] = v.ip
		mu.Unlock()
		count("stream", online(v.front(), "/lohu930/2f", id))
	})
	client(2*time.Second, func(v *vmProcess) {
		id := newID()
		items := newItems("/pule252/3/", 6+rand.IntN(9), 1500)
		o := submit(v.front(), "/pule252/7c", id, items)
		count("job", o)
		for got, until := 0, time.Now().Add(25*time.Second); o.status == 202 && got < len(items) && time.Now().Before(until); {
			reader := processes[rand.IntN(len(processes))]
			l := readLot(reader.front(), id, got)
			got += len(l.Results)
			time.Sleep(500 * time.Millisecond)
		}
	})
	time.Sleep(12 * time.Second)
	silent := time.Now()
	if trouble {
		open := link.silence()
		r.say("the channels to the store that are open now go silent: %v", open)
	}
	// A release: a new server starts, then an old one leaves, each second another one. These servers never report draining.
	var left []*server
	var acked []time.Time
	for i := range 2 {
		v := newServer(s, fmt.Sprintf("i-%08x", rand.Uint32()), "beacon-assist", fmt.Sprintf("%s:%d", ip(150+i), 17480), zones[i], 8)
		if err := v.start(); err != nil {
			r.say("server: %v", err)
			return cannotRun
		}
		time.Sleep(time.Until(silent.Add(time.Duration(50+950*i) * time.Millisecond)))
		left = append(left, list[i])
		acked = append(acked, list[i].leave())
		r.say("the store accepts that server %s is gone", list[i].id)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	mu.Lock()
	for what, n := range counts {
		r.say("%s: %d times", what, n)
	}
	mu.Unlock()
	late, before := 0, 0
	for i, v := range left {
		// drainTimeoutMs is 2,000. In touch again contactMs (3,000) after the channels went silent.
		bound := acked[i].Add(2 * time.Second)
		if inTouch := silent.Add(3 * time.Second); trouble && inTouch.After(bound) {
			bound = inTouch
		}
		for _, a := range v.seen() {
			if a.at.After(acked[i]) {
				before++
			}
			if a.at.After(bound) {
				late++
				mu.Lock()
				from := front[a.id]
				mu.Unlock()
				if from == "" {
					from = "an item's owner"
				}
				r.say("request %s, taken by %s, reaches %s %d ms after the ack, %d ms after the silence began; ran: %v", a.id, from, a.server, a.at.Sub(acked[i]).Milliseconds(), a.at.Sub(silent).Milliseconds(), a.ran)
			}
		}
	}
	r.say("%d requests reached the two servers after the ack, %d of them later than the rule allows", before, late)
	if late > 0 {
		return broken
	}
	return held
}

var zones = []string{"garmisch", "berchtesgaden", "oberstdorf"}

// smallConfig is a configuration like that of the small deployment.
func smallConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "a", "host": host, "pathPrefix": "/lohu930/", "kind": "stream", "service": "beacon-assist", "timeoutMs": 5000, "targetLatencyMs": 300, "maxAttempts": 2, "resumable": true, "gapAimMs": 250, "priority": 0, "stickySessions": true},
			{"name": "b", "host": host, "pathPrefix": "/cuxa770/", "kind": "stream", "service": "beacon-assist", "timeoutMs": 5000, "targetLatencyMs": 300, "maxAttempts": 1, "gapAimMs": 250, "priority": 0, "stickySessions": true},
			{"name": "c", "host": host, "pathPrefix": "/pule252/", "kind": "batch", "service": "beacon-assist", "timeoutMs": 15000, "targetLatencyMs": 400, "maxAttempts": 3, "resumable": true, "gapAimMs": 250, "priority": 2, "completionWindowMs": 18000, "queueTtlS": 60, "cap": 2000000, "stickySessions": true},
		},
		"services": []map[string]any{{"name": "beacon-assist", "healthPath": "/healthz", "maxConnections": 370, "engine": map[string]any{"stride": 7}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	}
}

func awaitReady(processes []*vmProcess, wait time.Duration) bool {
	until := time.Now().Add(wait)
	for _, v := range processes {
		for {
			if o := attempt("GET", v.ready(), "/readyz", "", "", nil, time.Second); o.err == nil && o.status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
