package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is a small deployment on loopback addresses.
type world struct {
	folder string
	net    string
	store  *store
	vms    []*vm
	// proxies are those of the machines to the store.
	proxies []*proxy
	servers []*modelServer
	started time.Time
	record  *os.File
	mu      sync.Mutex
	version int
}

// newWorld creates the record and the store. It picks a loopback network in which the ports are free.
func newWorld(caseFolder string) (*world, error) {
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, store: newStore(), started: time.Now(), record: record}
	for n := range 200 {
		candidate := fmt.Sprintf("127.%d.%d", 60+n%90, 1+(os.Getpid()+n)%250)
		if listener, err := net.Listen("tcp", candidate+".1:8169"); err == nil {
			w.net = candidate
			go func() { _ = (&http.Server{Handler: w.store}).Serve(listener) }()
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free addresses")
}

func (w *world) close() {
	for _, v := range w.vms {
		v.setWanted(false)
		if v.command != nil && v.running() {
			v.kill("end of the case")
		}
		if v.log != nil {
			_ = v.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept:", w.folder)
	}
	_ = w.record.Close()
}

// note writes a line into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// detail writes a line into the record only.
func (w *world) detail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", w.net, host, port) }

// addServers starts servers and lists them.
func (w *world) addServers(count, slots int, gap time.Duration, events func(path string) int) error {
	for n := range count {
		address := w.address(101+n, 8080)
		m := newModelServer(fmt.Sprintf("i-%04x", 0x7f30+n), address, fmt.Sprintf("zone-%d", n%3), slots, gap, events)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		go func() { _ = (&http.Server{Handler: m}).Serve(listener) }()
		w.servers = append(w.servers, m)
		w.store.put("servers", m.id, m.entry("model", "ready"))
	}
	return nil
}

// configure writes a configuration with the routes.
func (w *world) configure(routes []map[string]any) {
	w.version += 3
	w.store.put("op", "config", map[string]any{
		"version":  w.version,
		"routes":   routes,
		"services": []map[string]any{{"name": "model", "healthPath": "/healthz", "maxConnections": 370}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 10000, "idleTimeoutMs": 15000},
	})
}

// addVMs starts the processes of the deploy file, on machines of the classes, and waits until all are ready. Between each machine and
// the store there is a proxy, which keeps to the machine's link.
func (w *world) addVMs(classes ...class) error {
	var seeds []string
	for n := range min(3, len(classes)) {
		seeds = append(seeds, w.address(11+n, 8166))
	}
	for n, c := range classes {
		p, err := newProxy(w.address(31+n, 8169), w.address(1, 8169), c.linkMbps*1e6/8)
		if err != nil {
			return err
		}
		w.proxies = append(w.proxies, p)
		v := &vm{
			name: fmt.Sprintf("front-%d", n+1), ip: fmt.Sprintf("%s.%d", w.net, 11+n), zone: fmt.Sprintf("zone-%d", n%3),
			folder: w.folder, class: c, seeds: seeds, store: w.address(31+n, 8169),
		}
		w.vms = append(w.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range w.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(classes) {
			return nil
		}
	}
	return fmt.Errorf("the machines are not ready")
}

// runsOf returns the runs of a request at all servers.
func (w *world) runsOf(id string) []serverRun {
	var runs []serverRun
	for _, m := range w.servers {
		runs = append(runs, m.ran(id)...)
	}
	return runs
}

// serversIdle returns how many runs there are at the servers, and for how long there has been none.
func (w *world) serversIdle() (running int, idle time.Duration) {
	lastRun := w.started
	for _, m := range w.servers {
		m.mu.Lock()
		for _, run := range m.runs {
			if run.ended.IsZero() {
				running++
				lastRun = time.Now()
			} else if run.ended.After(lastRun) {
				lastRun = run.ended
			}
		}
		m.mu.Unlock()
	}
	return running, time.Since(lastRun)
}

// idleWith returns for how long no server has had an item of a lot.
func (w *world) idleWith(lot string) time.Duration {
	last := w.started
	for _, m := range w.servers {
		m.mu.Lock()
		for _, run := range m.runs {
			if run.id[:len(run.id)-2] != lot {
				continue
			}
			if run.ended.IsZero() {
				last = time.Now()
			} else if run.ended.After(last) {
				last = run.ended
			}
		}
		m.mu.Unlock()
	}
	return time.Since(last)
}
