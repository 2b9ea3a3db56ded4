package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Rig holds the stand-ins and the processes of one run.
type Rig struct {
	Repo, Temp string
	Net        string // the first three octets of the addresses
	MemoryMB   int
	Store      *Store
	Engines    []*Engine
	VMs        []*VM
	record     *os.File
	started    time.Time
	mu         sync.Mutex
}

// VM is a machine with the system's process.
type VM struct {
	rig     *Rig
	Name    string
	IP      string
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	off     bool // not to be started again
	PeakMB  int
	Ends    []string // how the process ended, without the ends that the case itself brought about
	planned bool
}

const (
	portFront, portReady, portControl, portStore, portEngine = 8161, 8167, 8166, 8169, 8000
	restartDelay                                             = time.Second
	// channelTime is what a new channel to a server takes: 1 ms there, and a round trip to another zone of 0.9 ms each way.
	channelTime = 2800 * time.Microsecond
)

// NewRig chooses free loopback addresses.
func NewRig(repo, record string) (*Rig, error) {
	temp, err := os.MkdirTemp("", "review-rig")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &Rig{Repo: repo, Temp: temp, Store: NewStore(), record: out, started: time.Now()}
	for n := 0; n < 200; n++ {
		r.Net = fmt.Sprintf("127.%d.%d", 60+(os.Getpid()+n)%150, 1+(os.Getpid()/150+n)%250)
		l, err := net.Listen("tcp", r.Net+".1:"+strconv.Itoa(portStore))
		if err != nil {
			continue
		}
		r.serve(l, r.Store)
		return r, nil
	}
	return nil, fmt.Errorf("no free addresses")
}

func (r *Rig) serve(l net.Listener, h http.Handler) {
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
}

// Logf adds a line to the record.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.record, format+"\n", args...)
}

// AddEngine starts a server and lists it.
func (r *Rig) AddEngine(e *Engine) error {
	addr := fmt.Sprintf("%s.%d:%d", r.Net, 101+len(r.Engines), portEngine)
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.Engines = append(r.Engines, e.Init())
	r.serve(slowAccept{Listener: l, delay: channelTime}, e)
	r.Store.Put("servers", e.ID, map[string]any{"service": "llm", "address": addr, "zone": "b", "version": 1, "slots": e.Slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	return nil
}

// Got reports how often servers received a request to be run.
func (r *Rig) Got(id string) int {
	n := 0
	for _, e := range r.Engines {
		n += e.Got(id)
	}
	return n
}

// settings fills in the template of the deploy file.
func (r *Rig) settings(v *VM) ([]byte, error) {
	text, err := os.ReadFile(filepath.Join(r.Repo, "deploy/settings.jsonc"))
	if err != nil {
		return nil, err
	}
	j := func(x any) string { b, _ := json.Marshal(x); return string(b) }
	seeds := []string{}
	for _, o := range r.VMs[:min(3, len(r.VMs))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", o.IP, portControl))
	}
	for name, value := range map[string]string{
		"node|json": j(v.Name), "zone|json": j("a"), "ip": v.IP,
		"listen.front|json":    j(fmt.Sprintf("%s:%d", v.IP, portFront)),
		"listen.ready|json":    j(fmt.Sprintf("%s:%d", v.IP, portReady)),
		"listen.control|json":  j(fmt.Sprintf("%s:%d", v.IP, portControl)),
		"limits.cpuShare|json": "0.8", "limits.cores|json": "1", "limits.memoryMb|json": strconv.Itoa(r.MemoryMB),
		"seeds|json": j(seeds), "platform.address|json": j(fmt.Sprintf("%s.1:%d", r.Net, portStore)), "bounds.statusTtlS": "120",
	} {
		text = bytes.ReplaceAll(text, []byte("{{"+name+"}}"), []byte(value))
	}
	if bytes.Contains(text, []byte("{{")) {
		return nil, fmt.Errorf("a placeholder is left in the settings")
	}
	return text, nil
}

// AddVM adds a machine, which is not started.
func (r *Rig) AddVM() *VM {
	v := &VM{rig: r, Name: fmt.Sprintf("front-a-%d", len(r.VMs)+1), IP: fmt.Sprintf("%s.%d", r.Net, 11+len(r.VMs))}
	r.VMs = append(r.VMs, v)
	return v
}

// Start starts the process with the command of the deploy file.
func (v *VM) Start() error {
	text, err := v.rig.settings(v)
	if err != nil {
		return err
	}
	path := filepath.Join(v.rig.Temp, v.Name+".jsonc")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.rig.Temp, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/rhubarbrudder-vm")
	cmd.Dir = v.rig.Repo
	cmd.Stdout, cmd.Stderr = log, log
	// The platform shows a process one core.
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GOMAXPROCS=1", "RHUBARBRUDDER_CONFIG=" + path,
		`RHUBARBRUDDER_OVERRIDES={"Store":{"ReadsPerSecond":2000},"Allowances":{},"Keys":{}}`}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	v.mu.Lock()
	v.cmd, v.done, v.planned = cmd, make(chan struct{}), false
	done := v.done
	v.mu.Unlock()
	v.rig.Logf("%s started", v.Name)
	go v.watchMemory(cmd.Process.Pid, done)
	go func() {
		err := cmd.Wait()
		close(done)
		v.mu.Lock()
		planned, off := v.planned, v.off
		if !planned {
			v.Ends = append(v.Ends, fmt.Sprint(err))
		}
		v.mu.Unlock()
		v.rig.Logf("%s ended: %v (brought about by the case: %v)", v.Name, err, planned)
		if off {
			return
		}
		time.Sleep(restartDelay)
		v.mu.Lock()
		off = v.off
		v.mu.Unlock()
		if !off {
			_ = v.Start()
		}
	}()
	return nil
}

// watchMemory kills the process when it exceeds the machine's memory, as the platform does.
func (v *VM) watchMemory(pid int, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			return
		}
		mb := 0
		for _, line := range strings.Split(string(status), "\n") {
			if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
				kb, _ := strconv.Atoi(f[1])
				mb = kb >> 10
			}
		}
		v.mu.Lock()
		v.PeakMB = max(v.PeakMB, mb)
		v.mu.Unlock()
		if mb > v.rig.MemoryMB {
			v.rig.Logf("%s exceeds its memory: %d MB of %d MB; the platform kills it", v.Name, mb, v.rig.MemoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// Signal sends a signal on behalf of the case; with off, the machine does not come back.
func (v *VM) Signal(s syscall.Signal, off bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.planned = s == syscall.SIGKILL || s == syscall.SIGTERM
	v.off = v.off || off
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// Ready reports whether the machine answers the balancer's question with 200.
func (v *VM) Ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", v.IP, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until all machines that are on are ready.
func (r *Rig) WaitReady(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, v := range r.VMs {
			ready = ready && v.Ready()
		}
		if ready {
			return true
		}
	}
	return false
}

// Stop ends all processes that the rig started.
func (r *Rig) Stop() {
	for _, v := range r.VMs {
		v.Signal(syscall.SIGKILL, true)
	}
	for _, v := range r.VMs {
		if v.done != nil {
			<-v.done
		}
	}
	_ = os.RemoveAll(r.Temp)
}

// Configure writes the operator's configuration.
func (r *Rig) Configure(version int, routes []map[string]any, maxBody int) {
	r.Store.Put("op", "config", map[string]any{"version": version, "routes": routes,
		"services": []map[string]any{{"name": "llm", "healthPath": "/healthz", "maxConnections": 370, "engine": map[string]any{"stride": 1}}},
		"limits":   map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": maxBody, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}})
}
