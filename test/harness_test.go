// Package test starts the built binary as separate processes, each on a loopback address as if on a VM of its own.
package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/standin"
	"rhubarbrudder/internal/tablestore"
)

const (
	testKey   = "test-key"
	testToken = "test-operator-token"
	testModel = "beacon-7b"
	// callerPort and the other default ports are the same on each VM's address.
	callerPort = 8080
	// readyTimeout is how long a process may take to become ready on a busy machine.
	readyTimeout = 60 * time.Second
)

// runOctet is the third octet of loopback addresses, so that two runs of the tests on one machine rarely meet.
var runOctet = 1 + os.Getpid()%250

// binaries builds the commands once for all tests.
var binaries = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "rhubarbrudder-test")
	if err != nil {
		return "", err
	}
	command := exec.Command("go", "build", "-o", folder, "rhubarbrudder/cmd/rhubarbrudder", "rhubarbrudder/cmd/standin")
	output, err := command.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, output)
	}
	return folder, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if folder, err := binaries(); err == nil {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// clusterOptions says what a cluster consists of.
type clusterOptions struct {
	// net is the second octet of the cluster's loopback addresses, unique among the tests that run at once.
	net       int
	vms       int
	roles     []fleet.Role
	engines   int
	engine    standin.EngineOptions
	plain     int
	lag       time.Duration
	service   func(*document.Service)
	policy    document.Policy
	customise func(*settings.Settings)
	// organisations are the keys of further organisations by their ids.
	organisations map[document.OrganisationID]document.Organisation
}

// cluster is the platform and endpoints played in the test's process, and the system's processes.
type cluster struct {
	t         testing.TB
	options   clusterOptions
	platform  *standin.Platform
	engines   []*standin.Engine
	plains    []*standin.Plain
	servers   map[string]*http.Server
	settings  []settings.Settings
	processes map[string]*process
	folder    string
}

// process is one of the system's processes.
type process struct {
	command *exec.Cmd
	log     *bytes.Buffer
	done    chan struct{}
	mu      *sync.Mutex
}

func defaultCluster(netNumber int) clusterOptions {
	return clusterOptions{
		net:     netNumber,
		vms:     3,
		roles:   []fleet.Role{fleet.RoleGateway, fleet.RoleDispatcher, fleet.RoleController},
		engines: 2,
		engine:  standin.DefaultEngineOptions(),
		plain:   1,
		lag:     500 * time.Millisecond,
		policy:  document.StandardPolicy(),
	}
}

// newCluster starts everything and waits until all processes are ready.
func newCluster(t testing.TB, options clusterOptions) *cluster {
	t.Helper()
	c := &cluster{
		t:         t,
		options:   options,
		platform:  standin.NewPlatform(1, options.lag),
		servers:   map[string]*http.Server{},
		processes: map[string]*process{},
		folder:    t.TempDir(),
	}
	t.Cleanup(c.stop)
	c.serve(c.address(1, 7000), c.platform.Handler())
	c.startEndpoints()
	c.writeSettings()
	c.writeDocument()
	for vm := range options.vms {
		for _, role := range options.roles {
			c.start(role, vm)
		}
	}
	for vm := range options.vms {
		for _, role := range options.roles {
			c.waitReady(role, vm)
		}
	}
	return c
}

// address returns a loopback address of the cluster; VMs count from 11, engines from 101, plain services from 201.
func (c *cluster) address(host, port int) string {
	return fmt.Sprintf("%s:%d", c.ip(host), port)
}

func (c *cluster) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.options.net, runOctet, host)
}

func (c *cluster) serve(address string, handler http.Handler) {
	c.t.Helper()
	server := &http.Server{
		Addr:              address,
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
	}
	c.servers[address] = server
	started := make(chan error, 1)
	go func() { started <- server.ListenAndServe() }()
	waitFor(c.t, "stand-in at "+address, readyTimeout, func() bool {
		select {
		case err := <-started:
			c.t.Fatal(err)
		default:
		}
		response, err := http.Get("http://" + address + "/stats")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return true
	})
}

func (c *cluster) startEndpoints() {
	for i := range c.options.engines {
		engine := standin.NewEngine(c.options.engine)
		c.engines = append(c.engines, engine)
		c.serve(c.address(101+i, 8000), engine.Handler())
	}
	for i := range c.options.plain {
		plain := standin.NewPlain(time.Millisecond)
		c.plains = append(c.plains, plain)
		c.serve(c.address(201+i, 8000), plain.Handler())
	}
	c.platform.VMs.Set(c.vmList())
}

func (c *cluster) vmList() []tablestore.VM {
	domains := []tablestore.FailureDomain{"garmisch", "berchtesgaden", "oberstdorf"}
	var vms []tablestore.VM
	add := func(name, service string, host, i int) {
		vms = append(vms, tablestore.VM{
			Name:          tablestore.VMName(fmt.Sprintf("%s-%d", name, i)),
			Incarnation:   "1",
			Address:       c.ip(host),
			Port:          8000,
			Region:        "bayern-sued",
			FailureDomain: domains[i%len(domains)],
			Service:       service,
			State:         tablestore.VMLive,
			ChecksFence:   c.options.engine.ChecksFence,
		})
	}
	for i := range c.options.vms {
		add("vm", "", 11+i, i)
	}
	for i := range c.options.engines {
		add("engine", "beacon-assist", 101+i, i)
	}
	for i := range c.options.plain {
		add("plain", "booking", 201+i, i)
	}
	return vms
}

func (c *cluster) writeSettings() {
	c.t.Helper()
	secret := filepath.Join(c.folder, "secret")
	token := filepath.Join(c.folder, "token")
	assert.NilError(c.t, os.WriteFile(secret, []byte("test-secret"), 0o600))
	assert.NilError(c.t, os.WriteFile(token, []byte(document.HashOf(testToken)), 0o600))
	url := "http://" + c.address(1, 7000)
	for i, vm := range c.vmList()[:c.options.vms] {
		made := settings.Default()
		made.VM = settings.VM{
			Name:          vm.Name,
			Address:       vm.Address,
			Region:        vm.Region,
			FailureDomain: vm.FailureDomain,
		}
		made.Platform.TableURL = url
		made.Platform.ObjectsURL = url
		made.Platform.VMListURL = url + "/vms"
		made.Peers.SecretFile = secret
		made.Peers.OperatorTokenFile = token
		made.Timing.Drain = settings.Duration(500 * time.Millisecond)
		made.Timing.SessionTerm = settings.Duration(3 * time.Second)
		if c.options.customise != nil {
			c.options.customise(&made)
		}
		c.settings = append(c.settings, made)
		data, err := json.MarshalIndent(made, "", "  ")
		assert.NilError(c.t, err)
		assert.NilError(c.t, os.WriteFile(c.settingsFile(i), append([]byte("// written by the test\n"), data...), 0o600))
	}
}

func (c *cluster) settingsFile(vm int) string {
	return filepath.Join(c.folder, fmt.Sprintf("vm-%d.jsonc", vm))
}

func (c *cluster) writeDocument() {
	c.t.Helper()
	store := c.documentStore()
	service := document.Service{
		Kind:              document.KindEngine,
		Model:             testModel,
		Endpoints:         c.options.engines,
		Slots:             c.options.engine.Slots,
		ReserveSlots:      2,
		QueueMilliseconds: 5000,
	}
	if c.options.service != nil {
		c.options.service(&service)
	}
	organisations := map[document.EntryName]any{
		"lawinenwerk": testOrganisation(testKey),
	}
	for id, organisation := range c.options.organisations {
		organisations[document.EntryName(id)] = organisation
	}
	doc := document.New()
	for _, change := range []document.Change{
		sectionChange(document.Models, map[document.EntryName]any{
			testModel: document.Model{Version: "1"},
		}),
		sectionChange(document.Capacity, map[document.EntryName]any{
			"beacon-assist": service,
			"booking": document.Service{
				Kind:               document.KindPlain,
				Endpoints:          c.options.plain,
				Slots:              64,
				QueueMilliseconds:  5000,
				NonIdempotentPaths: []string{"/confirm"},
			},
		}),
		sectionChange(document.BatchPolicy, map[document.EntryName]any{
			document.DefaultPolicy: c.options.policy,
		}),
		sectionChange(document.Organisations, organisations),
	} {
		var err error
		doc, _, err = store.Accept(context.Background(), doc, change)
		assert.NilError(c.t, err)
	}
}

func testOrganisation(key string) document.Organisation {
	return document.Organisation{
		Keys:               []document.Hash{document.HashOf(key)},
		Weight:             1,
		ConcurrentRequests: 10000,
		RequestsPerSecond:  100000,
	}
}

func (c *cluster) documentStore() *document.Store {
	url := "http://" + c.address(1, 7000)
	return document.NewStore(
		tablestore.NewTable(http.DefaultClient, url, "rhubarbrudder", nil),
		tablestore.NewObjects(http.DefaultClient, url, "objects", nil),
	)
}

func sectionChange(section document.SectionName, entries map[document.EntryName]any) document.Change {
	change := document.Change{
		ID:      "first-" + string(section),
		Section: section,
		Set:     map[document.EntryName]json.RawMessage{},
	}
	for name, entry := range entries {
		data, err := json.Marshal(entry)
		if err != nil {
			panic(err)
		}
		change.Set[name] = data
	}
	return change
}

func processName(role fleet.Role, vm int) string {
	return fmt.Sprintf("%s-%d", strings.ToLower(string(role)), vm)
}

// start starts a process of the system; the test's end kills it.
func (c *cluster) start(role fleet.Role, vm int) {
	c.t.Helper()
	folder, err := binaries()
	assert.NilError(c.t, err)
	command := exec.Command(filepath.Join(folder, "rhubarbrudder"), strings.ToLower(string(role)), "--settings", c.settingsFile(vm))
	started := &process{
		command: command,
		log:     &bytes.Buffer{},
		done:    make(chan struct{}),
		mu:      &sync.Mutex{},
	}
	command.Stderr = started
	command.Stdout = started
	assert.NilError(c.t, command.Start())
	c.processes[processName(role, vm)] = started
	go func() {
		_ = command.Wait()
		close(started.done)
	}()
}

// Write keeps the process's log.
func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// signal sends a signal to a process: SIGKILL kills, SIGSTOP freezes, SIGCONT thaws, SIGTERM asks to shut down.
func (c *cluster) signal(role fleet.Role, vm int, sig syscall.Signal) {
	c.t.Helper()
	assert.NilError(c.t, c.processes[processName(role, vm)].command.Process.Signal(sig))
}

// waitExit waits until a process has ended.
func (c *cluster) waitExit(role fleet.Role, vm int) {
	c.t.Helper()
	select {
	case <-c.processes[processName(role, vm)].done:
	case <-time.After(readyTimeout):
		c.t.Fatalf("%s did not end", processName(role, vm))
	}
}

func (c *cluster) waitReady(role fleet.Role, vm int) {
	c.t.Helper()
	ports := c.settings[vm].Ports
	port := map[fleet.Role]int{
		fleet.RoleGateway:    ports.GatewayStatus,
		fleet.RoleDispatcher: ports.DispatcherStatus,
		fleet.RoleController: ports.ControllerStatus,
	}[role]
	url := "http://" + c.settings[vm].VM.HostPort(port) + "/ready"
	waitFor(c.t, processName(role, vm)+" to be ready", readyTimeout, func() bool {
		response, err := http.Get(url)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// gatewayURL returns the base URL of a VM's gateway.
func (c *cluster) gatewayURL(vm int) string {
	return "http://" + c.address(11+vm, callerPort)
}

// client returns an OpenAI client of a VM's gateway, which does not retry.
func (c *cluster) client(vm int) openai.Client {
	return openai.NewClient(option.WithBaseURL(c.gatewayURL(vm)+"/v1/"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
}

// stop ends everything that the cluster started; logs of a failed test are kept in its output.
func (c *cluster) stop() {
	for name, started := range c.processes {
		_ = started.command.Process.Signal(syscall.SIGCONT)
		_ = started.command.Process.Kill()
		<-started.done
		if c.t.Failed() {
			c.t.Logf("log of %s:\n%s", name, tail(started.text(), 40))
		}
	}
	for _, server := range c.servers {
		_ = server.Close()
	}
}

func tail(text string, lines int) string {
	all := strings.Split(text, "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// waitFor waits until the condition holds and fails the test after the limit.
func waitFor(t testing.TB, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("waited %s for %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
