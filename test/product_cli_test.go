package test

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/pkg/client"
)

// commandLine runs commands of the built binary against the cluster.
type commandLine struct {
	t *testing.T
	c *cluster
}

// commandResult is the exit code and the output of a command.
type commandResult struct {
	code   int
	stdout string
	stderr string
}

func (l commandLine) run(args ...string) commandResult {
	l.t.Helper()
	folder, err := binaries()
	assert.NilError(l.t, err)
	command := exec.Command(filepath.Join(folder, "rhubarbrudder"), args...)
	command.Env = append(os.Environ(), "RHUBARBRUDDER_TOKEN="+testToken, "RHUBARBRUDDER_KEY="+testKey)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	err = command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		l.t.Fatal(err)
	}
	return commandResult{
		code:   command.ProcessState.ExitCode(),
		stdout: stdout.String(),
		stderr: stderr.String(),
	}
}

func (l commandLine) controller(args ...string) commandResult {
	l.t.Helper()
	return l.run(append(args, "--controller", "http://"+l.c.address(11, 8090))...)
}

func (l commandLine) gateway(args ...string) commandResult {
	l.t.Helper()
	return l.run(append(args, "--gateway", l.c.gatewayURL(0))...)
}

func (l commandLine) file(name, text string) string {
	l.t.Helper()
	path := filepath.Join(l.c.folder, name)
	assert.NilError(l.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestCommandLine runs the binary's commands against a cluster and checks their output and exit codes.
func TestCommandLine(t *testing.T) {
	t.Parallel()
	options := defaultCluster(110)
	options.vms = 2
	c := newCluster(t, options)
	cli := commandLine{
		t: t,
		c: c,
	}
	t.Run("document", cli.document)
	t.Run("job", cli.job)
	t.Run("faults start nothing", cli.faultySettings)
}

func (l commandLine) document(t *testing.T) {
	l.t = t
	fetched := l.controller("document", "get", "Capacity")
	assert.Equal(t, fetched.code, 0, fetched.stderr)
	edited := strings.Replace(fetched.stdout, `"Slots": 64`, `"Slots": /* one more */ 65`, 1)
	assert.Assert(t, edited != fetched.stdout, fetched.stdout)
	path := l.file("capacity.jsonc", edited)
	assert.Equal(t, l.run("check", path).code, 0)
	diff := l.controller("document", "diff", path)
	assert.Equal(t, diff.code, 0, diff.stderr)
	assert.Assert(t, strings.Contains(diff.stdout, "~ booking"), diff.stdout)

	put := l.controller("document", "put", path, "--change-id", "one-more-slot")
	assert.Equal(t, put.code, 0, put.stderr)
	assert.Assert(t, strings.Contains(put.stdout, "accepted: change one-more-slot of Capacity, revision 5"), put.stdout)
	repeated := l.controller("document", "put", path, "--change-id", "one-more-slot")
	assert.Equal(t, repeated.stdout, put.stdout)

	other := l.file("other.jsonc", strings.Replace(fetched.stdout, `"Slots": 64`, `"Slots": 66`, 1))
	stale := l.controller("document", "put", other)
	assert.Equal(t, stale.code, 3, stale.stderr)
	assert.Assert(t, strings.Contains(stale.stderr, "Capacity is at version 2, the file was made from 1"), stale.stderr)
	assert.Assert(t, strings.Contains(stale.stderr, "~ booking"), stale.stderr)

	history := l.controller("document", "history", "--output", "json", "--after", "4")
	assert.Equal(t, history.code, 0, history.stderr)
	var changes []client.Change
	assert.NilError(t, json.Unmarshal([]byte(history.stdout), &changes))
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].ID, "one-more-slot")
}

func (l commandLine) job(t *testing.T) {
	l.t = t
	input := l.file("items.jsonl", batchInput(5, 2, func(int) string { return "sheet" }))
	submitted := l.gateway("job", "submit", input, "--wait", "--output", "json")
	assert.Equal(t, submitted.code, 0, submitted.stderr)
	var batch client.Batch
	assert.NilError(t, json.Unmarshal([]byte(submitted.stdout), &batch))
	assert.Equal(t, batch.Status, "completed")
	assert.Equal(t, batch.RequestCounts.Completed, 5)
	results := l.gateway("job", "results", batch.ID)
	assert.Equal(t, strings.Count(results.stdout, "\n"), 5, results.stderr)
	for _, command := range []string{"show", "cancel"} {
		got := l.gateway("job", command, batch.ID)
		assert.Equal(t, got.code, 0, got.stderr)
		assert.Assert(t, strings.Contains(got.stdout, batch.ID))
	}
	assert.Assert(t, strings.Contains(l.gateway("job", "list").stdout, batch.ID))
	assert.Equal(t, l.gateway("job", "show", "batch_none").code, 3)

	l.c.signal(fleet.RoleDispatcher, 1, syscall.SIGKILL)
	l.c.waitExit(fleet.RoleDispatcher, 1)
	explained := l.controller("explain", batch.ID)
	assert.Equal(t, explained.code, 0, explained.stderr)
	assert.Assert(t, strings.Contains(explained.stdout, "Job "+batch.ID+" of lawinenwerk, service beacon-assist: Completed; 5 items, 5 completed"), explained.stdout)
	assert.Assert(t, strings.Contains(explained.stdout, "no answer from Dispatcher/vm-1"), explained.stdout)
	assert.Assert(t, !strings.Contains(explained.stdout, "no answer from Gateway"), explained.stdout)
}

// faultySettings checks that a process with an invalid settings file reports each error and does not start.
func (l commandLine) faultySettings(t *testing.T) {
	l.t = t
	data, err := os.ReadFile(l.c.settingsFile(0))
	assert.NilError(t, err)
	text := strings.Replace(string(data), `"Heartbeat": "500ms"`, `"Heartbeat": "1h"`, 1)
	text = strings.Replace(text, `"Name": "vm-0"`, `"Nickname": "vm-0"`, 1)
	got := l.run("gateway", "--settings", l.file("faulty.jsonc", text))
	assert.Equal(t, got.code, 2)
	for _, want := range []string{"VM.Nickname: is not a known field", "VM.Name: is missing", "Timing.Heartbeat: has the value 1h0m0s"} {
		assert.Assert(t, strings.Contains(got.stderr, want), got.stderr)
	}
	assert.Assert(t, !strings.Contains(got.stderr, "started"))
}
