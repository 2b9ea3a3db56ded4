package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// portProxy is the port at which the other machines reach a machine, through a proxy.
const portProxy = 18170

// uploadCase: the store turns one machine away, which then makes its calls through its peers; two of these lose their power for good
// while large batch jobs arrive.
func uploadCase(r *record, folder string, trouble bool) int {
	const vms, servers, large = 4, 9, 8
	s := newStore()
	address := fmt.Sprintf("%s:%d", ip(1), 17000)
	if err := serve(address, s); err != nil {
		r.say("store: %v", err)
		return cannotRun
	}
	config := smallConfig(10)
	config["limits"].(map[string]any)["maxBodyBytes"] = 4194304
	s.put("op", "config", config)
	var mu sync.Mutex
	short := map[string]bool{}
	var list []*server
	for i := range servers {
		v := newServer(s, fmt.Sprintf("i-%08x", rand.Uint32()), "beacon-assist", fmt.Sprintf("%s:%d", ip(100+i), 17480), zones[i%3], 8)
		v.events = func(id string) int {
			mu.Lock()
			defer mu.Unlock()
			if short[id] {
				return 5
			}
			return 200
		}
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
	var seeds []string
	for i := range vms {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(10+i), portProxy))
	}
	var links []*proxy
	for i := range vms {
		link, err := newProxy(seeds[i], fmt.Sprintf("%s:%d", ip(10+i), portControl))
		if err != nil {
			r.say("proxy: %v", err)
			return cannotRun
		}
		links = append(links, link)
		if trouble && (i == 1 || i == 2) {
			link.large, link.onLarge = 500<<10, func() {
				link.lose()
				processes[i].signal(syscall.SIGKILL)
				r.say("machine %s loses its power for good, in the middle of a large call", ip(10+i))
			}
		}
		v, err := startVM(folder, fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zones[i%3], ip(10+i), address, seeds[:3], seeds[i])
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
	time.Sleep(5 * time.Second)
	a, sound := processes[0], processes[3]
	// Jobs of ten items, which take four to five seconds, are accepted by machine a.
	jobs := map[string]int{}
	for range 4 {
		id := newID()
		if o := submit(a.front(), "/pule252/7c", id, newItems("/pule252/3/", 10, 1500)); o.status != 202 {
			r.say("job %s: %d %v", id, o.status, o.err)
			return cannotRun
		}
		jobs[id] = 0
		r.say("job %s accepted by %s", id, a.ip)
		time.Sleep(300 * time.Millisecond)
	}
	began := time.Now()
	if trouble {
		s.reject(a.ip, true)
		r.say("the store turns %s away", a.ip)
	}
	time.Sleep(time.Second)
	var uploads sync.WaitGroup
	for range large {
		id, items := newID(), newItems("/pule252/3/", 200, 15000)
		mu.Lock()
		for _, it := range items {
			short[it.ID] = true
		}
		mu.Unlock()
		uploads.Go(func() {
			o := submit(a.front(), "/pule252/7c", id, items)
			r.say("job %s of 200 items, sent to %s: %d after %d ms, %v", id, a.ip, o.status, o.ended.Sub(o.sent).Milliseconds(), o.err)
		})
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(9 * time.Second)))
	s.reject(a.ip, false)
	if trouble {
		r.say("the store serves %s again", a.ip)
	}
	uploads.Wait()
	// completionS is 18 s. Clients read about twice a second.
	until := began.Add(9*time.Second + 21*time.Second)
	for time.Now().Before(until) {
		for id, got := range jobs {
			if got < 10 {
				jobs[id] += len(readLot(sound.front(), id, got).Results)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	left := 0
	for id, got := range jobs {
		r.say("job %s: %d of 10 items listed", id, got)
		left += 10 - got
	}
	ran, last := 0, time.Time{}
	for _, v := range list {
		for _, x := range v.seen() {
			if x.ran && strings.HasPrefix(x.path, "/pule252/") {
				ran++
				if x.at.After(last) {
					last = x.at
				}
			}
		}
	}
	r.say("%d runs of items, the last began %.1f s ago", ran, time.Since(last).Seconds())
	r.say("%d items aren't listed 21 s after the last impairment", left)
	if left > 0 {
		return broken
	}
	return held
}
