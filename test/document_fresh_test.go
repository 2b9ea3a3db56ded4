package test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/standin"
)

// propagationLimit is the time within which an accepted change is in force everywhere.
const propagationLimit = 8 * time.Second

// listModels requests a gateway's models with a key. It returns the status, and the outcome header followed by the
// body. The status is 0 if there was no answer.
func (c *cluster) listModels(vm int, key string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, c.gatewayURL(vm)+"/v1/models", nil)
	if err != nil {
		return 0, ""
	}
	req.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
		Timeout: 2 * propagationLimit,
	}
	response, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("Rhubarbrudder-Outcome") + string(data)
}

// removeOrganisation removes an organisation from the document, and with it the organisation's keys.
func (c *cluster) removeOrganisation(vm int, id string, organisation document.EntryName) {
	c.t.Helper()
	c.operator(testToken).mustPut(vm, id, document.Organisations, func(section *document.Section) {
		delete(section.Entries, organisation)
	})
}

func (c *cluster) isReady(role fleet.Role, vm int) bool {
	port := map[fleet.Role]int{
		fleet.RoleGateway:    c.settings[vm].Ports.GatewayStatus,
		fleet.RoleController: c.settings[vm].Ports.ControllerStatus,
	}[role]
	response, err := http.Get("http://" + c.settings[vm].VM.HostPort(port) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// TestFrozenGatewayDoesNotServeByAnOldDocument revokes a key while a gateway is frozen for longer than
// propagationLimit. Requests with that key wait in the gateway's sockets meanwhile and must be refused when it
// continues.
func TestFrozenGatewayDoesNotServeByAnOldDocument(t *testing.T) {
	t.Parallel()
	const waitingRequests = 40
	options := defaultCluster(91)
	options.roles = []fleet.Role{fleet.RoleGateway, fleet.RoleController}
	options.organisations = map[document.OrganisationID]document.Organisation{
		"wenber": testOrganisation("old-key"),
	}
	c := newCluster(t, options)
	status, _ := c.listModels(2, "old-key")
	assert.Equal(t, status, http.StatusOK)
	c.signal(fleet.RoleGateway, 2, syscall.SIGSTOP)
	c.removeOrganisation(0, "revoke", "wenber")
	revoked := time.Now()
	waitFor(t, "the other gateways to refuse the key", propagationLimit, func() bool {
		first, _ := c.listModels(0, "old-key")
		second, _ := c.listModels(1, "old-key")
		return first == http.StatusUnauthorized && second == http.StatusUnauthorized
	})
	t.Logf("refused by the other gateways after %s", time.Since(revoked))
	var group sync.WaitGroup
	statuses := make([]int, waitingRequests)
	for i := range waitingRequests {
		group.Go(func() {
			statuses[i], _ = c.listModels(2, "old-key")
		})
	}
	time.Sleep(time.Until(revoked.Add(propagationLimit + time.Second)))
	c.signal(fleet.RoleGateway, 2, syscall.SIGCONT)
	group.Wait()
	for _, status := range statuses {
		assert.Assert(t, status == http.StatusUnauthorized || status == http.StatusServiceUnavailable, "status %d", status)
	}
	waitFor(t, "the gateway to serve again", propagationLimit, func() bool {
		status, _ := c.listModels(2, testKey)
		return status == http.StatusOK
	})
}

// TestOutageOfThePlatform restarts a gateway during an outage of the platform that lasts longer than propagationLimit,
// and all VMs must serve. Then it kills the other VMs: the last one must stop serving until the platform is back.
func TestOutageOfThePlatform(t *testing.T) {
	t.Parallel()
	options := defaultCluster(92)
	options.roles = []fleet.Role{fleet.RoleGateway, fleet.RoleController}
	c := newCluster(t, options)
	outage := standin.Fault{
		Outage: true,
	}
	c.platform.Table.Faults.Set(outage)
	c.platform.Objects.Faults.Set(outage)
	start := time.Now()
	c.signal(fleet.RoleGateway, 2, syscall.SIGKILL)
	c.waitExit(fleet.RoleGateway, 2)
	c.start(fleet.RoleGateway, 2)
	c.waitReady(fleet.RoleGateway, 2)
	time.Sleep(time.Until(start.Add(propagationLimit + 2*time.Second)))
	for vm := range options.vms {
		answer, err := streamChat(c.client(vm), "Is the beacon ready?", 4)
		assert.NilError(t, err)
		assert.Equal(t, answer, standin.Answer("Is the beacon ready?", 4))
	}
	for vm := 1; vm < options.vms; vm++ {
		for _, role := range options.roles {
			c.signal(role, vm, syscall.SIGKILL)
			c.waitExit(role, vm)
		}
	}
	waitFor(t, "the last VM to become unready", 3*propagationLimit, func() bool {
		return !c.isReady(fleet.RoleGateway, 0)
	})
	status, outcome := c.listModels(0, testKey)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.HasPrefix(outcome, "not run"), "%s", outcome)
	c.platform.Table.Faults.Set(standin.Fault{})
	c.waitReady(fleet.RoleGateway, 0)
	status, _ = c.listModels(0, testKey)
	assert.Equal(t, status, http.StatusOK)
}

// TestTeamChangesOnlyItsOwnSection checks that a team's token can change the team's section and no other, that such a
// change keeps the section's owners, and that a change based on an old version is refused with the current section and
// the difference.
func TestTeamChangesOnlyItsOwnSection(t *testing.T) {
	t.Parallel()
	options := defaultCluster(93)
	options.vms = 1
	options.roles = []fleet.Role{fleet.RoleController}
	c := newCluster(t, options)
	operatorClient := c.operator(testToken)
	operatorClient.mustPut(0, "owners", document.Models, func(section *document.Section) {
		section.Owners = []document.Hash{document.HashOf("models team")}
	})
	team := c.operator("models team")
	for name, want := range map[document.SectionName]int{
		document.Models:        http.StatusOK,
		document.Organisations: http.StatusForbidden,
		document.Capacity:      http.StatusForbidden,
	} {
		base, err := team.section(0, name)
		assert.NilError(t, err)
		status, _, err := team.put(0, fmt.Sprintf("change of %s", name), base, document.Section{
			Entries: base.Entries,
		})
		assert.NilError(t, err)
		assert.Equal(t, status, want, "%s", name)
	}
	status, _ := c.operator("no team").do(0, http.MethodGet, "/history", nil, nil, &struct{}{})
	assert.Equal(t, status, http.StatusUnauthorized)
	base, err := team.section(0, document.Models)
	assert.NilError(t, err)
	assert.DeepEqual(t, base.Owners, []document.Hash{document.HashOf("models team")})
	old := base
	old.Version--
	status, failure, err := team.put(0, "late", old, document.Section{
		Entries: base.Entries,
	})
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusPreconditionFailed)
	assert.Equal(t, failure.Current.Version, base.Version)
	assert.Assert(t, failure.Difference != nil)
}
