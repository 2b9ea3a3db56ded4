package test

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/burn"
	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
)

// TestReports makes a service miss an objective and one organisation exceed its limit, and checks the reports.
func TestReports(t *testing.T) {
	t.Parallel()
	const requests = 30
	options := defaultCluster(111)
	options.vms = 2
	options.engine.TokenInterval = 20 * time.Millisecond
	options.customiseService = func(service *document.Service) {
		service.FirstTokenMilliseconds = 1
		service.TokenMilliseconds = 600000
	}
	limited := testOrganisation("wenber-key")
	limited.ConcurrentRequests = 2
	options.organisations = map[document.OrganisationID]document.Organisation{
		"wenber": limited,
	}
	c := newCluster(t, options)
	cli := commandLine{
		t: t,
		c: c,
	}
	var group sync.WaitGroup
	for i := range requests {
		for _, key := range []string{testKey, "wenber-key"} {
			group.Go(func() {
				client := openai.NewClient(option.WithBaseURL(c.gatewayURL(i%2)+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
				_, _ = streamChat(client, fmt.Sprintf("question %d", i), 10)
			})
		}
	}
	group.Wait()

	var report burn.Report
	printed := cli.controller("report", "burn", "--output", "json")
	assert.Equal(t, printed.code, 0, printed.stderr)
	assert.NilError(t, json.Unmarshal([]byte(printed.stdout), &report))
	assert.Equal(t, len(report.Silent), 0, printed.stdout)
	assertLateJobReported(t, c, cli)
	rows := map[burn.ObjectiveName]burn.Row{}
	for _, row := range report.Services {
		if row.Service == "beacon-assist" {
			rows[row.Objective] = row
		}
	}
	assert.Assert(t, rows[burn.ObjectiveFirstToken].Burn5m > 1, printed.stdout)
	assert.Assert(t, rows[burn.ObjectiveFirstToken].BudgetLeft < 0, printed.stdout)
	assert.Equal(t, rows[burn.ObjectiveToken].BudgetLeft, 1.0, printed.stdout)
	assert.Assert(t, rows[burn.ObjectiveToken].Events >= requests*5, printed.stdout)

	fairness := cli.controller("report", "fairness", "--output", "json")
	var shares burn.Fairness
	assert.NilError(t, json.Unmarshal([]byte(fairness.stdout), &shares))
	refused := slices.ContainsFunc(shares.Shares, func(share burn.Share) bool {
		return share.Organisation == "wenber" && share.RefusedShare > share.RestRefusedShare
	})
	assert.Assert(t, refused, fairness.stdout)

	c.signal(fleet.RoleGateway, 1, syscall.SIGKILL)
	c.waitExit(fleet.RoleGateway, 1)
	burnText := cli.controller("report", "burn")
	assert.Assert(t, strings.Contains(burnText.stdout, "Silent: Gateway/vm-1"), burnText.stdout)
}

// assertLateJobReported runs a job that cannot end by its due time and checks that the report counts it as late.
func assertLateJobReported(t *testing.T, c *cluster, cli commandLine) {
	t.Helper()
	input := cli.file("late.jsonl", batchInput(1, 200, func(int) string { return "sheet" }))
	due := time.Now().Add(2 * time.Second).UTC().Format(time.RFC3339)
	submitted := cli.gateway("job", "submit", input, "--due", due, "--wait")
	assert.Equal(t, submitted.code, 0, submitted.stderr)
	waitFor(t, "the late job to be counted", readyTimeout, func() bool {
		var report burn.Report
		printed := cli.controller("report", "burn", "--output", "json")
		assert.NilError(t, json.Unmarshal([]byte(printed.stdout), &report))
		return slices.ContainsFunc(report.Organisations, func(row burn.Row) bool {
			return row.Objective == burn.ObjectiveJobDue && row.Organisation == "lawinenwerk" && row.Events == 1 && row.BudgetLeft == 0
		})
	})
}

// TestOverloadIsReported sends more requests than the endpoints have slots, and compares the report with the number of
// failed requests.
func TestOverloadIsReported(t *testing.T) {
	t.Parallel()
	const requests = 40
	options := defaultCluster(116)
	options.vms = 1
	options.engine.Slots = 4
	options.engine.TokenInterval = 20 * time.Millisecond
	options.customiseService = func(service *document.Service) {
		service.QueueMilliseconds = 300
	}
	c := newCluster(t, options)
	var group sync.WaitGroup
	var refused atomic.Int64
	for i := range requests {
		group.Go(func() {
			if _, err := streamChat(c.client(0), fmt.Sprintf("question %d", i), 20); err != nil {
				refused.Add(1)
			}
		})
	}
	group.Wait()
	assert.Assert(t, refused.Load() > 0)
	cli := commandLine{
		t: t,
		c: c,
	}
	printed := cli.controller("report", "burn", "--output", "json")
	var report burn.Report
	assert.NilError(t, json.Unmarshal([]byte(printed.stdout), &report))
	i := slices.IndexFunc(report.Services, func(row burn.Row) bool {
		return row.Service == "beacon-assist" && row.Objective == burn.ObjectiveAnswer
	})
	assert.Assert(t, i >= 0, printed.stdout)
	assert.Equal(t, report.Services[i].Events, uint64(requests))
	// The objective allows a share of 0.001 of the requests to fail; the burn rate is a multiple of this share.
	assert.Equal(t, int64(math.Round(report.Services[i].Burn5m*requests*0.001)), refused.Load(), printed.stdout)
}
