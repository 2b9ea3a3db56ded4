// Package platform runs the VM's real program as separate processes against stand-ins of the users' platform.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	waitTimeout = 30 * time.Second
	routeHost   = "model.example"
	portStore   = 7000
	portEngine  = 8000
	portCallers = 8161
	portReady   = 8167
	portPeers   = 8166
	portMetrics = 9464
)

// runOctet is the third octet of loopback addresses, so that two runs of the tests on one machine rarely meet.
var runOctet = 1 + os.Getpid()%250

// binary builds the program once for all tests.
var binary = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "rhubarbrudder-vm-test")
	if err != nil {
		return "", err
	}
	command := exec.Command("go", "build", "-o", folder, "rhubarbrudder/cmd/rhubarbrudder-vm")
	if output, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, output)
	}
	return filepath.Join(folder, "rhubarbrudder-vm"), nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := binary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// process is one VM's process.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

// lockedBuffer is a log that is written and read at once.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// cluster is the platform and its engines, played in the test's process, and VMs.
type cluster struct {
	t         *testing.T
	net       int
	store     *storeStandin
	engines   []*engineStandin
	processes []*process
	logs      []*lockedBuffer
	folder    string
	version   int
	maxBody   int
	// limits replace those of the configuration; nil keeps them.
	limits map[string]any
	// settings returns further settings of a VM; nil has none.
	settings func(i int) map[string]any
}

// newCluster starts VMs and engines; net is the second octet of their addresses, unique among tests that run at once.
func newCluster(t *testing.T, net, vms int, engines ...*engineStandin) *cluster {
	t.Helper()
	c := newPlatform(t, net, engines...)
	c.startAll(vms)
	return c
}

// newPlatform starts engines and a store, and no VM.
func newPlatform(t *testing.T, net int, engines ...*engineStandin) *cluster {
	t.Helper()
	c := &cluster{
		t:       t,
		net:     net,
		store:   newStoreStandin(),
		engines: engines,
		folder:  t.TempDir(),
		maxBody: 1 << 20,
	}
	t.Cleanup(c.stop)
	c.serve(c.address(1, portStore), c.store)
	c.configure(nil)
	for i, e := range engines {
		c.serve(c.address(101+i, portEngine), e)
		c.list(i, "ready")
	}
	return c
}

// startAll starts VMs and waits until all are ready.
func (c *cluster) startAll(vms int) {
	c.t.Helper()
	for i := range vms {
		c.processes = append(c.processes, nil)
		c.logs = append(c.logs, &lockedBuffer{})
		c.start(i)
	}
	for i := range vms {
		c.waitReady(i)
	}
}

func (c *cluster) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.net, runOctet, host)
}

func (c *cluster) address(host, port int) string {
	return fmt.Sprintf("%s:%d", c.ip(host), port)
}

func (c *cluster) serve(address string, handler http.Handler) {
	c.t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(c.t, err)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(listener) }()
	c.t.Cleanup(func() { _ = server.Close() })
}

// list writes an engine's entry.
func (c *cluster) list(i int, state string) {
	c.listAt(i, state, portEngine)
}

// listAt writes an engine's entry with a port.
func (c *cluster) listAt(i int, state string, port int) {
	c.store.put("servers", c.engines[i].id, map[string]any{
		"service": "llm",
		"address": c.address(101+i, port),
		"zone":    "a",
		"slots":   cap(c.engines[i].slots),
		"state":   state,
	})
}

// routes are the routes of every configuration.
func routes() []map[string]any {
	return []map[string]any{
		{
			"name": "resumable", "host": routeHost, "pathPrefix": "/resumable/", "kind": "stream", "service": "llm",
			"timeoutMs": 20000, "targetLatencyMs": 300, "maxAttempts": 2, "resumable": true, "gapAimMs": 250,
		},
		{
			"name": "once", "host": routeHost, "pathPrefix": "/once/", "kind": "stream", "service": "llm",
			"timeoutMs": 20000, "targetLatencyMs": 300, "maxAttempts": 1, "gapAimMs": 250,
		},
		{
			"name": "jobs", "host": routeHost, "pathPrefix": "/jobs/", "kind": "batch", "service": "llm", "priority": 2,
			"timeoutMs": 15000, "targetLatencyMs": 400, "maxAttempts": 3, "resumable": true, "gapAimMs": 250,
			"completionWindowMs": 60000, "queueTtlS": 120, "cap": 10000,
		},
	}
}

// configure writes a further configuration, with more routes.
func (c *cluster) configure(more []map[string]any) {
	c.version += 3
	limits := c.limits
	if limits == nil {
		limits = map[string]any{"maxHeaderBytes": 4096, "maxBodyBytes": c.maxBody, "idleTimeoutMs": 15000}
	}
	c.store.put("op", "config", map[string]any{
		"version":  c.version,
		"routes":   append(routes(), more...),
		"services": []map[string]any{{"name": "llm", "healthPath": "/healthz", "maxConnections": 100}},
		"limits":   limits,
	})
}

// writeSettings writes a VM's settings, with some of a test's own, and returns the file.
func (c *cluster) writeSettings(i int, more map[string]any) string {
	c.t.Helper()
	name := fmt.Sprintf("vm-%d", i)
	file := filepath.Join(c.folder, name+".jsonc")
	fields := map[string]any{
		"Name":          name,
		"FailureDomain": "a",
		"Listen": map[string]any{
			"Callers": c.address(11+i, portCallers),
			"Ready":   c.address(11+i, portReady),
			"Peers":   c.address(11+i, portPeers),
			"Metrics": c.address(11+i, portMetrics),
		},
		"Seeds": []string{c.address(11, portPeers), c.address(12, portPeers)},
		"Store": map[string]any{"Address": c.address(1, portStore)},
		"Peers": map[string]any{"Secret": "test"},
	}
	maps.Copy(fields, more)
	made, err := json.Marshal(fields)
	assert.NilError(c.t, err)
	assert.NilError(c.t, os.WriteFile(file, made, 0o600))
	return file
}

// start starts a VM's process.
func (c *cluster) start(i int) {
	c.t.Helper()
	path, err := binary()
	assert.NilError(c.t, err)
	var more map[string]any
	if c.settings != nil {
		more = c.settings(i)
	}
	file := c.writeSettings(i, more)
	command := exec.Command(path, "--settings", file)
	command.Stdout = c.logs[i]
	command.Stderr = c.logs[i]
	assert.NilError(c.t, command.Start())
	p := &process{
		command: command,
		done:    make(chan struct{}),
	}
	go func() {
		_ = command.Wait()
		close(p.done)
	}()
	c.processes[i] = p
}

func (c *cluster) signal(i int, signal syscall.Signal) {
	c.t.Helper()
	assert.NilError(c.t, c.processes[i].command.Process.Signal(signal))
}

// end waits until a VM's process has ended.
func (c *cluster) end(i int) {
	c.t.Helper()
	select {
	case <-c.processes[i].done:
	case <-time.After(waitTimeout):
		c.t.Fatalf("vm-%d does not end", i)
	}
}

func (c *cluster) stop() {
	for _, p := range c.processes {
		if p == nil {
			continue
		}
		_ = p.command.Process.Kill()
		<-p.done
	}
	if c.t.Failed() {
		for i, log := range c.logs {
			lines := strings.Split(log.String(), "\n")
			c.t.Logf("vm-%d:\n%s", i, strings.Join(lines[max(0, len(lines)-60):], "\n"))
		}
	}
}

func (c *cluster) waitReady(i int) {
	c.t.Helper()
	c.wait(fmt.Sprintf("vm-%d ready", i), func() bool {
		return c.ready(i) == http.StatusOK
	})
}

// ready returns the status that the balancer gets, or zero.
func (c *cluster) ready(i int) int {
	response, err := http.Get("http://" + c.address(11+i, portReady) + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (c *cluster) wait(what string, holds func() bool) {
	c.t.Helper()
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.t.Fatalf("not in time: %s", what)
}

// steward returns the VM that was last chosen to hold the pool by a VM, or -1.
func (c *cluster) steward(by int) int {
	log := c.logs[by].String()
	at := strings.LastIndex(log, "msg=\"steward chosen\"")
	if at < 0 {
		return -1
	}
	_, rest, _ := strings.Cut(log[at:], "steward=vm-")
	var vm int
	if _, err := fmt.Sscanf(rest, "%d", &vm); err != nil {
		return -1
	}
	return vm
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// closes says that the connection ends with the answer.
	closes bool
	// err is set if the answer is not whole.
	err error
}

// client sends each request on a connection of its own.
var client = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

// request makes a request to a VM.
func (c *cluster) request(vm int, method, path, id, body string) *http.Request {
	c.t.Helper()
	r, err := http.NewRequest(method, "http://"+c.address(11+vm, portCallers)+path, strings.NewReader(body))
	assert.NilError(c.t, err)
	r.Host = routeHost
	if id != "" {
		r.Header.Set("X-Attempt-Id", id)
		r.Header.Set("X-Deadline-Ms", "20000")
	}
	return r
}

func (c *cluster) send(vm int, method, path, id, body string) answer {
	c.t.Helper()
	return do(client, c.request(vm, method, path, id, body))
}

func do(by *http.Client, r *http.Request) answer {
	response, err := by.Do(r)
	if err != nil {
		return answer{
			err: err,
		}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode,
		header: response.Header,
		body:   string(data),
		closes: response.Close,
		err:    err,
	}
}

// whole is the body of a whole stream of a request.
func whole(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, eventData(id, n))
	}
	return b.String()
}
