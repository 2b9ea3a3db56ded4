package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// crowdCase: many clients open channels to one machine and keep them, up to what the machine's descriptors allow. Another machine
// is restarted meanwhile.
func crowdCase(r *record, folder string, trouble bool) int {
	vms, fds := 3, envInt("FDS", 8200)
	s := newStore()
	address := fmt.Sprintf("%s:%d", ip(1), 17000)
	if err := serve(address, s); err != nil {
		return cannotRun
	}
	s.put("op", "config", smallConfig(10))
	for i := range 9 {
		v := newServer(s, fmt.Sprintf("i-%08x", rand.Uint32()), "beacon-assist", fmt.Sprintf("%s:%d", ip(100+i), 17480), zones[i%3], 8)
		if err := v.start(); err != nil {
			return cannotRun
		}
	}
	var processes []*vmProcess
	defer func() {
		for _, v := range processes {
			v.stopVM()
		}
	}()
	seeds := []string{fmt.Sprintf("%s:%d", ip(10), portControl)}
	for i := range vms {
		v, err := startVM(folder, fmt.Sprintf("front-%s-1", zones[i]), zones[i], ip(10+i), address, seeds, fds)
		if err != nil {
			return cannotRun
		}
		processes = append(processes, v)
	}
	if !awaitReady(processes, 15*time.Second) {
		return cannotRun
	}
	time.Sleep(4 * time.Second)
	var open []net.Conn
	var mu sync.Mutex
	target := processes[envInt("TARGET", 0)]
	if trouble {
		var dials sync.WaitGroup
		lanes := make(chan struct{}, 64)
		for range fds + 200 {
			lanes <- struct{}{}
			dials.Go(func() {
				defer func() { <-lanes }()
				c, err := net.DialTimeout("tcp", target.front(), time.Second)
				if err != nil {
					return
				}
				_ = c.SetDeadline(time.Now().Add(2 * time.Second))
				id := newID()
				fmt.Fprintf(c, "GET /none/ HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n\r\n", host, id)
				answer := make([]byte, 300)
				n, _ := c.Read(answer)
				mu.Lock()
				open = append(open, c)
				if !strings.HasPrefix(string(answer[:n]), "HTTP/1.1 404") && len(open)%100 == 0 {
					r.say("channel %d: %q", len(open), answer[:n])
				}
				mu.Unlock()
			})
		}
		dials.Wait()
		r.say("%d channels open", len(open))
	}
	v, err := startVM(folder, "front-garmisch-2", zones[0], ip(20), address, seeds, fds)
	if err != nil {
		return cannotRun
	}
	r.say("a machine is added")
	processes = append(processes, v)
	select {
	case <-target.done:
		r.say("the process with the channels has ended: %v", target.command.ProcessState)
		return broken
	case <-time.After(6 * time.Second):
	}
	return held
}
