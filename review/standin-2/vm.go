package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// vmProcess is a process of the system, started by the command of the deploy file.
type vmProcess struct {
	ip      string
	zone    string
	command *exec.Cmd
	done    chan struct{}
}

const (
	portFront   = 18161
	portReady   = 18167
	portControl = 18166
)

func (v *vmProcess) front() string { return fmt.Sprintf("%s:%d", v.ip, portFront) }
func (v *vmProcess) ready() string { return fmt.Sprintf("%s:%d", v.ip, portReady) }

// settings fills in the template of the deploy file, which uses values and lists only.
func settings(template string, fields map[string]any) string {
	placeholder := regexp.MustCompile(`\{\{([A-Za-z.]+)(\|json)?\}\}`)
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		match := placeholder.FindStringSubmatch(text)
		var value any = fields
		for _, name := range strings.Split(match[1], ".") {
			value = value.(map[string]any)[name]
		}
		if match[2] == "" {
			return fmt.Sprint(value)
		}
		data, _ := json.Marshal(value)
		return string(data)
	})
}

// startVM starts a process with the settings of a machine of the small deployment.
func startVM(folder, name, zone, ip, storeAddress string, seeds []string, announce string) (*vmProcess, error) {
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return nil, err
	}
	text := settings(string(template), map[string]any{
		"node": name, "zone": zone, "ip": ip, "seeds": seeds,
		"listen": map[string]any{
			"front":   fmt.Sprintf("%s:%d", ip, portFront),
			"ready":   fmt.Sprintf("%s:%d", ip, portReady),
			"control": fmt.Sprintf("%s:%d", ip, portControl),
		},
		"limits":   map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": 304, "maxFds": 8200},
		"platform": map[string]any{"address": storeAddress},
		"bounds":   map[string]any{"statusTtlS": 120},
	})
	if announce != "" {
		// docs/SETTINGS.md: "where other VMs call this one"; here a proxy.
		text = strings.Replace(text, `"Secret"`, fmt.Sprintf(`"Announce": %q, "Secret"`, announce), 1)
	}
	file := filepath.Join(folder, name+".jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command("target/rhubarbrudder-vm")
	command.Env = append(os.Environ(),
		"RHUBARBRUDDER_CONFIG="+file,
		`RHUBARBRUDDER_OVERRIDES={ "Store": { "ReadsPerSecond": 2000 }, "Allowances": { }, "Keys": { } }`)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	v := &vmProcess{ip: ip, zone: zone, command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(v.done)
	}()
	return v, nil
}

func (v *vmProcess) signal(s syscall.Signal) { _ = v.command.Process.Signal(s) }

// stopVM ends a process.
func (v *vmProcess) stopVM() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	select {
	case <-v.done:
	case <-time.After(3 * time.Second):
	}
}
