package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainConfig is the small configuration with a route to a plain service, whose requests may be repeated.
func plainConfig(version int) map[string]any {
	config := smallConfig(version)
	config["routes"] = append(config["routes"].([]map[string]any), map[string]any{
		"name": "d", "host": host, "pathPrefix": "/pufi791/", "kind": "idempotent", "service": "kit-stock", "timeoutMs": 5000, "targetLatencyMs": 1500, "maxAttempts": 2, "priority": 0,
	})
	config["services"] = append(config["services"].([]map[string]any), map[string]any{"name": "kit-stock", "healthPath": "/healthz", "maxConnections": 370})
	return config
}

// plainCase: one of nine servers of a plain service works four times as long for 6.5 s, and later another one. Answers of which the
// beginning has been forwarded are cut off.
func plainCase(r *record, folder string, trouble bool) int {
	const vms, servers, clientsEach = 3, 9, 22
	s := newStore()
	address := fmt.Sprintf("%s:%d", ip(1), 17000)
	if err := serve(address, s); err != nil {
		r.say("store: %v", err)
		return cannotRun
	}
	s.put("op", "config", plainConfig(10))
	var list []*server
	for i := range 2 * servers {
		service := "beacon-assist"
		if i >= servers {
			service = "kit-stock"
		}
		v := newServer(s, fmt.Sprintf("i-%08x", rand.Uint32()), service, fmt.Sprintf("%s:%d", ip(100+i), 17480), zones[i%3], 8)
		if i >= servers {
			v.bytes, v.work = 256<<10, 700*time.Millisecond
			list = append(list, v)
		}
		if err := v.start(); err != nil {
			r.say("server: %v", err)
			return cannotRun
		}
	}
	var processes []*vmProcess
	defer func() {
		for _, v := range processes {
			v.stopVM()
		}
	}()
	seeds := []string{fmt.Sprintf("%s:%d", ip(10), portControl), fmt.Sprintf("%s:%d", ip(11), portControl), fmt.Sprintf("%s:%d", ip(12), portControl)}
	for i := range vms {
		v, err := startVM(folder, fmt.Sprintf("front-%s-1", zones[i]), zones[i], ip(10+i), address, seeds, "")
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
	time.Sleep(4 * time.Second)
	r.say("%d processes, %d servers of the plain service ready", vms, servers)
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var mu sync.Mutex
	cut := map[string]int{}
	counts := map[string]int{}
	wrong := 0
	for _, v := range processes {
		for range clientsEach {
			clients.Go(func() {
				// Each client keeps a channel for many requests.
				var dialer net.Dialer
				dials := 0
				transport := &http.Transport{MaxConnsPerHost: 1, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					dials++
					return dialer.DialContext(ctx, network, address)
				}}
				kept := &http.Client{Transport: transport, Timeout: 5500 * time.Millisecond}
				for first := true; ctx.Err() == nil; first = false {
					time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
					id, before := newID(), dials
					sent := time.Now()
					status, n, whole, err := plainAttempt(kept, v.front(), id)
					took := time.Since(sent)
					mu.Lock()
					switch {
					case err == nil && status == 200 && whole:
						counts["200, complete"]++
					case err == nil && status == 200:
						wrong++
					case err == nil:
						counts[fmt.Sprint(status)]++
					default:
						counts["channel closed without a complete answer"]++
						if !first && dials == before && took < 4500*time.Millisecond {
							cut[v.ip]++
							r.say("request %s on a kept channel to %s: channel closed after %d ms and %d of %d bytes: %v", id, v.ip, took.Milliseconds(), n, 256<<10, err)
						}
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(6 * time.Second)
	for i := range 2 {
		if trouble {
			list[i].slow.Store(4)
			r.say("server %s works four times as long", list[i].id)
		}
		time.Sleep(6500 * time.Millisecond)
		list[i].slow.Store(1)
		r.say("server %s works as fast as before", list[i].id)
		time.Sleep(3 * time.Second)
	}
	time.Sleep(3 * time.Second)
	stop()
	clients.Wait()
	for what, n := range counts {
		r.say("%s: %d times", what, n)
	}
	r.say("answers of another length or content: %d", wrong)
	most := 0
	for at, n := range cut {
		r.say("machine %s closed %d kept channels without a complete answer, well before the route's timeout", at, n)
		most = max(most, n)
	}
	if most > 3 {
		return broken
	}
	return held
}

func plainAttempt(client *http.Client, front, id string) (status, n int, whole bool, err error) {
	r, err := http.NewRequest("POST", "http://"+front+"/pufi791/4c", strings.NewReader("{}"))
	if err != nil {
		return 0, 0, false, err
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "5000")
	response, err := client.Do(r)
	if err != nil {
		return 0, 0, false, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, len(data), bytes.Equal(data, plainBody(id, 256<<10)), err
}
