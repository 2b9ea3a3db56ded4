package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of the platform, as in the settings that a VM gets.
const (
	contact      = 3 * time.Second
	drainTimeout = 2 * time.Second
	grace        = 8 * time.Second
	configApply  = 2 * time.Second
	settle       = time.Second
	completion   = 18 * time.Second
	restartDelay = 500 * time.Millisecond
	readyTimeout = 15 * time.Second
)

// deployment is a small installation: the platform's store and balancer, servers, and VMs, which are processes of the project's
// own program.
type deployment struct {
	record *record
	store  *store
	folder string
	// network holds the first three octets of all addresses, a loopback network.
	network  string
	hosts    int
	run      []string
	template string
	http     *http.Server
	servers  []*server
	vms      []*vm
	version  int
	stopped  atomic.Bool
}

// vm is a machine of the class front.
type vm struct {
	name, zone, ip string
	d              *deployment
	settings       string
	log            *os.File
	mu             sync.Mutex
	command        *exec.Cmd
	done           chan struct{}
	started        time.Time
	termed         time.Time
	// lastTerm is when a process of the VM last got SIGTERM.
	lastTerm time.Time
	misses   int
	ended    bool
}

const (
	portStore  = 8169
	portServer = 8080
	portFront  = 8161
	portReady  = 8167
	portPeers  = 8166
	portStats  = 9464
)

func newDeployment(rec *record) (*deployment, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(deploy)
	template := regexp.MustCompile(`(?m)^template = "([^"]+)"`).FindSubmatch(deploy)
	if run == nil || template == nil {
		return nil, errors.New("deploy/system.toml: no run or no template")
	}
	text, err := os.ReadFile(string(template[1]))
	if err != nil {
		return nil, err
	}
	command := strings.Fields(string(run[1]))
	if _, err := os.Stat(command[0]); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record:   rec,
		store:    newStore(),
		folder:   folder,
		run:      command,
		template: string(text),
	}
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("%s.1:%d", d.network, portStore)); err == nil {
			d.http = &http.Server{Handler: d.store}
			go func() { _ = d.http.Serve(listener) }()
			return d, nil
		}
	}
	return nil, err
}

func (d *deployment) host() string {
	d.hosts++
	return fmt.Sprintf("%s.%d", d.network, 1+d.hosts)
}

func (d *deployment) addServer(v *server) error {
	d.servers = append(d.servers, v)
	return v.start(d.store, d.record, fmt.Sprintf("%s:%d", d.host(), portServer))
}

// configure writes the next version of the configuration.
func (d *deployment) configure(services []string, routes ...map[string]any) {
	d.version += 3
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 8, "kvCacheTokens": 88648, "kvTokenBytes": 35136, "linkMbps": 350000.0, "stride": 7},
		})
	}
	d.store.put("op", "config", map[string]any{
		"version":  d.version,
		"routes":   routes,
		"services": list,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	d.record.add("the operator's configuration %d is acknowledged", d.version)
}

func streamRoute(name, host, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": "stream", "timeoutMs": 5000, "targetLatencyMs": 300,
		"priority": 0, "service": service, "maxAttempts": 2, "stickySessions": true, "resumable": true, "gapAimMs": 250,
	}
}

func batchRoute(name, host, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400,
		"priority": 2, "service": service, "maxAttempts": 3, "stickySessions": true, "resumable": true, "gapAimMs": 250,
		"completionWindowMs": 18000, "queueTtlS": 60, "cap": 2000000,
	}
}

// addVMs starts VMs, one after another in the zones, and waits until all are ready.
func (d *deployment) addVMs(n int, zones ...string) error {
	var all []*vm
	for i := range n {
		zone := zones[i%len(zones)]
		v := &vm{
			name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)),
			zone: zone,
			ip:   d.host(),
			d:    d,
		}
		all = append(all, v)
	}
	d.vms = append(d.vms, all...)
	for _, v := range all {
		if err := v.prepare(); err != nil {
			return err
		}
	}
	for _, v := range all {
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range all {
		if err := v.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// prepare writes the VM's settings: the template, filled in as the platform does it.
func (v *vm) prepare() error {
	var seeds []string
	for _, other := range v.d.vms[:min(3, len(v.d.vms))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, portPeers))
	}
	values := map[string]any{
		"node": v.name, "zone": v.zone, "ip": v.ip,
		"listen.front":       fmt.Sprintf("%s:%d", v.ip, portFront),
		"listen.ready":       fmt.Sprintf("%s:%d", v.ip, portReady),
		"listen.control":     fmt.Sprintf("%s:%d", v.ip, portPeers),
		"limits.cpuShare":    0.8,
		"limits.cores":       1,
		"limits.memoryMb":    304,
		"seeds":              seeds,
		"platform.address":   fmt.Sprintf("%s.1:%d", v.d.network, portStore),
		"bounds.statusTtlS":  120,
		"bounds.contactMs":   3000,
		"bounds.graceS":      8,
		"bounds.configApply": 2000,
	}
	var missing error
	text := regexp.MustCompile(`\{\{([a-zA-Z.]+)(\|json)?\}\}`).ReplaceAllStringFunc(v.d.template, func(place string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(place, "{}"), "|json")
		value, known := values[name]
		if !known {
			missing = fmt.Errorf("template: no value for %s", name)
		}
		if !asJSON {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
	if missing != nil {
		return missing
	}
	v.settings = filepath.Join(v.d.folder, v.name+".settings")
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(v.d.folder, v.name+".log"))
	v.log = log
	return err
}

// start starts the VM's process.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ended {
		return nil
	}
	command := exec.Command(v.d.run[0], v.d.run[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "RHUBARBRUDDER_CONFIG=" + v.settings}
	command.Stdout, command.Stderr = v.log, v.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.command, v.done, v.started, v.termed = command, done, time.Now(), time.Time{}
	v.d.record.add("%s starts (process %d at %s)", v.name, command.Process.Pid, v.ip)
	go func() {
		err := command.Wait()
		v.d.record.add("%s has ended: %v", v.name, err)
		close(done)
	}()
	return nil
}

func (v *vm) waitReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if v.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", v.name)
}

var readyClient = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

func (v *vm) ready() bool {
	response, err := readyClient.Get(fmt.Sprintf("http://%s:%d/readyz", v.ip, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// terminate stops the VM's process as the platform does it, with SIGTERM, and SIGKILL after the grace, and starts it again. It
// returns when the process has ended. killed means that it had to be killed.
func (v *vm) terminate() (killed bool, err error) {
	v.mu.Lock()
	command, done := v.command, v.done
	v.termed = time.Now()
	v.lastTerm = v.termed
	v.mu.Unlock()
	v.d.record.add("%s gets SIGTERM", v.name)
	if err := command.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	select {
	case <-done:
	case <-time.After(grace):
		killed = true
		v.d.record.add("%s still runs after the grace and gets SIGKILL", v.name)
		_ = command.Process.Kill()
		<-done
	}
	time.Sleep(restartDelay)
	return killed, v.start()
}

// inTouch reports whether the VM's process has run, with no SIGTERM and no start, for the whole contact time before now.
func (v *vm) inTouch() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.termed.IsZero() && time.Since(v.started) > contact
}

// watch plays the balancer's checks: once a second, and after two misses the VM is out of rotation until it is ready again.
func (d *deployment) watch() {
	for _, v := range d.vms {
		go func() {
			for !d.stopped.Load() {
				ready := v.ready()
				v.mu.Lock()
				if ready {
					v.misses = 0
				} else {
					v.misses++
				}
				v.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}
}

func (v *vm) inRotation() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.misses < 2
}

// pick returns the VM that gets a new channel of a client in a zone. If fewer than half of the zone's VMs are in rotation, the
// balancer uses all of them.
func (d *deployment) pick(zone string) *vm {
	var all, in []*vm
	for _, v := range d.vms {
		if v.zone != zone {
			continue
		}
		all = append(all, v)
		if v.inRotation() {
			in = append(in, v)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	return in[rand.IntN(len(in))]
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (d *deployment) stop() {
	d.stopped.Store(true)
	for _, v := range d.vms {
		v.mu.Lock()
		v.ended = true
		command, done := v.command, v.done
		v.mu.Unlock()
		if command != nil {
			_ = command.Process.Kill()
			<-done
		}
		if v.log != nil {
			_ = v.log.Close()
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}
