package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/controller"
	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/standin"
)

const operatorPort = 8090

// operator sends requests to controllers with one token.
type operator struct {
	cluster *cluster
	token   string
	client  *http.Client
}

func (c *cluster) operator(token string) operator {
	return operator{
		cluster: c,
		token:   token,
		client: &http.Client{
			Timeout: 5 * time.Second,
		},
	}
}

// do sends a request to a VM's controller. The status is 0 if there was no complete answer.
func (o operator) do(vm int, method, path string, header map[string]string, body, answer any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(method, "http://"+o.cluster.address(11+vm, operatorPort)+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+o.token)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	response, err := o.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, json.Unmarshal(data, answer)
}

func (o operator) section(vm int, name document.SectionName) (controller.SectionBody, error) {
	var body controller.SectionBody
	status, err := o.do(vm, http.MethodGet, "/document/"+string(name), nil, nil, &body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return body, err
}

func (o operator) put(vm int, id string, base controller.SectionBody, desired document.Section) (int, controller.Failure, error) {
	var answer struct {
		controller.Failure
		document.Change
	}
	status, err := o.do(vm, http.MethodPut, "/document/"+string(base.Name), map[string]string{
		"If-Match":        strconv.Quote(strconv.Itoa(int(base.Version))),
		"Idempotency-Key": id,
	}, desired, &answer)
	return status, answer.Failure, err
}

// mustPut reads, changes and puts a section until the change is accepted.
func (o operator) mustPut(vm int, id string, name document.SectionName, change func(section *document.Section)) {
	o.cluster.t.Helper()
	waitFor(o.cluster.t, "change "+id+" to be accepted", readyTimeout, func() bool {
		base, err := o.section(vm, name)
		if err != nil {
			return false
		}
		desired := document.Section{
			Entries: base.Entries,
		}
		change(&desired)
		status, _, err := o.put(vm, id, base, desired)
		return err == nil && status == http.StatusOK
	})
}

// teamEntry returns the entry that the editors of a section change. Its content depends on the number of the change, so
// that no two changes are equal.
func teamEntry(section document.SectionName, number int) (document.EntryName, any) {
	switch section {
	case document.Capacity:
		return "team", document.Service{Kind: document.KindPlain, Slots: 1, QueueMilliseconds: number}
	case document.Models:
		return "team", document.Model{Version: strconv.Itoa(number + 1)}
	case document.BatchPolicy:
		policy := document.StandardPolicy()
		policy.LotItems = number + 1
		return document.DefaultPolicy, policy
	default:
		organisation := testOrganisation("team-key")
		organisation.ConcurrentRequests = number + 1
		return "team", organisation
	}
}

// changeOutcomes are the ids of the changes by their outcome.
type changeOutcomes struct {
	mu       sync.Mutex
	accepted map[string]bool
	refused  map[string]bool
}

func (o *changeOutcomes) add(id string, accepted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if accepted {
		o.accepted[id] = true
	} else {
		o.refused[id] = true
	}
}

// makeChanges makes changes through random controllers. If the outcome of a change is unknown, it sends the same change
// again through another controller.
func (o operator) makeChanges(section document.SectionName, editor, changes int, outcomes *changeOutcomes) error {
	rng := rand.New(rand.NewPCG(uint64(editor), 1))
	vms := o.cluster.options.vms
	for i := range changes {
		number := editor*changes + i
		id := fmt.Sprintf("%s-%d", section, number)
		base, err := o.section(rng.IntN(vms), section)
		for err != nil {
			time.Sleep(20 * time.Millisecond)
			base, err = o.section(rng.IntN(vms), section)
		}
		name, entry := teamEntry(section, number)
		data, err := json.Marshal(entry)
		if err != nil {
			return err
		}
		base.Entries[name] = data
		for {
			status, failure, err := o.put(rng.IntN(vms), id, base, document.Section{
				Entries: base.Entries,
			})
			if err == nil && (status == http.StatusOK || status == http.StatusPreconditionFailed) {
				outcomes.add(id, status == http.StatusOK)
				break
			}
			if err == nil && status < http.StatusInternalServerError {
				return fmt.Errorf("%s: status %d: %s", id, status, failure.Message)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// disturbControllers kills and restarts the controllers of vm-0 and vm-1 and freezes that of vm-2 in turn, until the
// channel is closed. It returns the killed processes.
func disturbControllers(c *cluster, stop <-chan struct{}) []*process {
	var killed []*process
	for vm := 0; ; vm = (vm + 1) % 3 {
		select {
		case <-stop:
			return killed
		case <-time.After(100 * time.Millisecond):
		}
		if vm == 2 {
			c.signal(fleet.RoleController, vm, syscall.SIGSTOP)
			time.Sleep(500 * time.Millisecond)
			c.signal(fleet.RoleController, vm, syscall.SIGCONT)
			continue
		}
		c.signal(fleet.RoleController, vm, syscall.SIGKILL)
		c.waitExit(fleet.RoleController, vm)
		killed = append(killed, c.processes[processName(fleet.RoleController, vm)])
		c.start(fleet.RoleController, vm)
	}
}

var inForcePattern = regexp.MustCompile(`time=(\S+) .*msg="document in force".* revision=(\d+)`)

// activation is the time at which a revision came into force in a process.
type activation struct {
	at       time.Time
	revision document.Revision
}

// parseActivations reads the activations from a process's log.
func parseActivations(t *testing.T, proc *process) []activation {
	t.Helper()
	var activations []activation
	for _, line := range inForcePattern.FindAllStringSubmatch(proc.logText(), -1) {
		at, err := time.Parse(time.RFC3339Nano, line[1])
		assert.NilError(t, err)
		revision, err := strconv.Atoi(line[2])
		assert.NilError(t, err)
		activations = append(activations, activation{
			at:       at,
			revision: document.Revision(revision),
		})
	}
	return activations
}

// TestTeamsRacing lets 4 teams of 2 editors make 1,000 concurrent changes through 12 controllers, while the table loses
// answers and some controllers are killed and frozen.
func TestTeamsRacing(t *testing.T) {
	const editors = 2
	const changes = 125
	options := defaultCluster(90)
	options.vms = 12
	options.roles = []fleet.Role{fleet.RoleGateway, fleet.RoleController}
	c := newCluster(t, options)
	operatorClient := c.operator(testToken)
	for _, section := range document.SectionNames() {
		operatorClient.mustPut(0, "owners-"+string(section), section, func(desired *document.Section) {
			desired.Owners = []document.Hash{document.HashOf("token of " + string(section))}
		})
	}
	waitInForce(c, operatorClient)
	c.platform.Table.Faults.Set(standin.Fault{
		LoseAnswers: 0.1,
		Kind:        "Document",
	})
	outcomes := &changeOutcomes{
		accepted: map[string]bool{},
		refused:  map[string]bool{},
	}
	stop := make(chan struct{})
	killedControllers := make(chan []*process, 1)
	go func() { killedControllers <- disturbControllers(c, stop) }()
	var group sync.WaitGroup
	for _, section := range document.SectionNames() {
		for editor := range editors {
			group.Go(func() {
				assert.Check(t, c.operator("token of "+string(section)).makeChanges(section, editor, changes, outcomes))
			})
		}
	}
	group.Wait()
	close(stop)
	everyProcess := <-killedControllers
	c.platform.Table.Faults.Set(standin.Fault{})
	history := checkHistory(t, c, outcomes)
	assert.Equal(t, len(outcomes.accepted)+len(outcomes.refused), 4*editors*changes)
	waitInForce(c, operatorClient)
	for _, proc := range c.processes {
		everyProcess = append(everyProcess, proc)
	}
	for _, proc := range everyProcess {
		activations := parseActivations(t, proc)
		assert.Assert(t, slices.IsSortedFunc(activations, func(a, b activation) int { return int(a.revision - b.revision) }))
	}
	checkPropagation(t, c, history)
	t.Logf("%d accepted, %d refused, %d controllers killed", len(outcomes.accepted), len(outcomes.refused), len(everyProcess)-len(c.processes))
}

// waitInForce waits until the latest revision is in force in every process.
func waitInForce(c *cluster, operatorClient operator) {
	c.t.Helper()
	head, _, err := c.documentStore().Head(context.Background())
	assert.NilError(c.t, err)
	last := c.options.vms - 1
	waitFor(c.t, "the latest revision to be in force everywhere", readyTimeout, func() bool {
		var status controller.StatusBody
		_, err := operatorClient.do(last, http.MethodGet, "/status", nil, nil, &status)
		return err == nil && status.Revision == head.Revision && status.InForce == len(c.options.roles)*c.options.vms
	})
}

// checkHistory checks that the history has each accepted change once, in order, and no refused change, and that
// applying it gives the stored document. It returns the history.
func checkHistory(t *testing.T, c *cluster, outcomes *changeOutcomes) []document.Change {
	t.Helper()
	history, err := c.documentStore().Changes(context.Background(), 0, 2000)
	assert.NilError(t, err)
	versions := map[document.SectionName]document.SectionVersion{}
	found := map[string]bool{}
	for i, change := range history {
		assert.Equal(t, change.Revision, document.Revision(i+1))
		assert.Equal(t, change.Base, versions[change.Section])
		versions[change.Section]++
		assert.Assert(t, !found[change.ID], "%s is in the history twice", change.ID)
		assert.Assert(t, !outcomes.refused[change.ID], "%s was refused, but is in the history", change.ID)
		found[change.ID] = true
	}
	for id := range outcomes.accepted {
		assert.Assert(t, found[id], "%s was accepted, but is not in the history", id)
	}
	loaded, err := c.documentStore().Load(context.Background())
	assert.NilError(t, err)
	replayed, err := document.New().Apply(history...)
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded.Document(), replayed)
	return history
}

// propagationTarget is the time after its acceptance within which a change must be in force on 12 VMs.
const propagationTarget = 2 * time.Second

// checkPropagation checks the time from the acceptance of each change until it is in force, at the VMs whose
// controllers were neither killed nor frozen. It leaves out the first changes, because those of the initial document
// were accepted before the processes started.
func checkPropagation(t *testing.T, c *cluster, history []document.Change) {
	t.Helper()
	var delays []time.Duration
	for vm := 3; vm < c.options.vms; vm++ {
		for _, role := range c.options.roles {
			activations := parseActivations(t, c.processes[processName(role, vm)])
			for _, change := range history[10:] {
				i := slices.IndexFunc(activations, func(m activation) bool { return m.revision >= change.Revision })
				assert.Assert(t, i >= 0)
				delays = append(delays, activations[i].at.Sub(change.Accepted))
			}
		}
	}
	slices.Sort(delays)
	worst := delays[len(delays)-1]
	t.Logf("in force after acceptance: median %s, p99 %s, maximum %s", delays[len(delays)/2], delays[len(delays)*99/100], worst)
	assert.Assert(t, worst < propagationTarget, "%s", worst)
}
