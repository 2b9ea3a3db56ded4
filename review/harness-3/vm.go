package main

import (
	"fmt"
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

const vmProgram = "target/rhubarbrudder-vm"

// class is a kind of machine of a deployment.
type class struct {
	memoryMB int
	cpuShare string
	// linkMbps is its link to the store, or zero if that is not limited.
	linkMbps float64
	// readsPerS is how many reading calls a second the deployment's store takes.
	readsPerS int
}

var (
	// standardMachine is that of wenber-seating.
	standardMachine = class{memoryMB: 154, cpuShare: "0.8", readsPerS: 2000}
	// smallMachine and largeMachine are two of those of ogsna-nominate-grown.
	smallMachine = class{memoryMB: 144, cpuShare: "0.144", linkMbps: 22, readsPerS: 6000}
	largeMachine = class{memoryMB: 536, cpuShare: "0.8", linkMbps: 600, readsPerS: 6000}
)

// vm is a machine that runs the process of the deploy file's role.
type vm struct {
	name   string
	ip     string
	zone   string
	folder string
	// class is the kind of machine.
	class
	seeds []string
	store string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	// wanted means that the platform starts the process again when it ends.
	wanted bool
	starts []time.Time
	// ends holds the ends of processes, with their cause.
	ends []processEnd
	// cause is that of the next end, if the platform or the disruption brings it about.
	cause string
	// peak is the largest memory seen, in bytes.
	peak int64
	log  *os.File
}

type processEnd struct {
	at    time.Time
	cause string
	peak  int64
}

func (v *vm) front() string   { return v.ip + ":8161" }
func (v *vm) ready() string   { return v.ip + ":8167" }
func (v *vm) control() string { return v.ip + ":8166" }

// settings fills in the template of the deploy file, as the platform does.
func (v *vm) settings() (string, error) {
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, seed := range v.seeds {
		seeds = append(seeds, strconv.Quote(seed))
	}
	filled := strings.NewReplacer(
		"{{node|json}}", strconv.Quote(v.name),
		"{{zone|json}}", strconv.Quote(v.zone),
		"{{listen.front|json}}", strconv.Quote(v.front()),
		"{{listen.ready|json}}", strconv.Quote(v.ready()),
		"{{listen.control|json}}", strconv.Quote(v.control()),
		"{{ip}}", v.ip,
		"{{limits.cpuShare|json}}", v.cpuShare,
		"{{limits.cores|json}}", "1",
		"{{limits.memoryMb|json}}", strconv.Itoa(v.memoryMB),
		"{{seeds|json}}", "["+strings.Join(seeds, ",")+"]",
		"{{platform.address|json}}", strconv.Quote(v.store),
		"{{bounds.statusTtlS}}", "120",
	).Replace(string(template))
	if strings.Contains(filled, "{{") {
		return "", fmt.Errorf("placeholder left in the settings: %s", filled)
	}
	path := filepath.Join(v.folder, v.name+".jsonc")
	return path, os.WriteFile(path, []byte(filled), 0o600)
}

func (v *vm) start() error {
	path, err := v.settings()
	if err != nil {
		return err
	}
	if v.log == nil {
		if v.log, err = os.Create(filepath.Join(v.folder, v.name+".log")); err != nil {
			return err
		}
	}
	command := exec.Command(vmProgram)
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + os.Getenv("HOME"),
		"RHUBARBRUDDER_CONFIG=" + path,
		fmt.Sprintf(`RHUBARBRUDDER_OVERRIDES={ "Store": { "ReadsPerSecond": %d }, "Allowances": {  }, "Keys": {  }, }`, v.readsPerS),
	}
	command.Stdout, command.Stderr = v.log, v.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.command, v.done, v.wanted, v.peak = command, done, true, 0
	v.starts = append(v.starts, time.Now())
	v.mu.Unlock()
	go func() {
		err := command.Wait()
		v.mu.Lock()
		cause := v.cause
		if cause == "" {
			cause = fmt.Sprint("by itself: ", err)
		}
		v.cause = ""
		v.ends = append(v.ends, processEnd{at: time.Now(), cause: cause, peak: v.peak})
		v.mu.Unlock()
		close(done)
	}()
	return nil
}

func (v *vm) running() bool {
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// kill ends the process, for a reason that is recorded.
func (v *vm) kill(cause string) {
	v.mu.Lock()
	v.cause = cause
	process, done := v.command.Process, v.done
	v.mu.Unlock()
	_ = process.Kill()
	<-done
}

// terminate sends SIGTERM to the process, and SIGKILL if it is still there after grace.
func (v *vm) terminate(grace time.Duration) {
	v.mu.Lock()
	v.cause = "SIGTERM"
	process, done := v.command.Process, v.done
	v.mu.Unlock()
	_ = process.Signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() {
		select {
		case <-done:
		default:
			_ = process.Kill()
		}
	})
}

// memory returns the process's anonymous memory in bytes, without the pages of the program file.
func (v *vm) memory() int64 {
	v.mu.Lock()
	pid := v.command.Process.Pid
	v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// keepWithin is the platform: it kills the process when it has more memory than the machine, and starts it again when it has ended
// by itself. It returns when stop is closed.
func (v *vm) keepWithin(restart time.Duration, stop <-chan struct{}, note func(string)) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		v.mu.Lock()
		wanted := v.wanted
		v.mu.Unlock()
		if !wanted {
			continue
		}
		if !v.running() {
			note(fmt.Sprintf("%s: the process has ended; the platform starts it again", v.name))
			time.Sleep(restart)
			_ = v.start()
			continue
		}
		used := v.memory()
		v.mu.Lock()
		v.peak = max(v.peak, used)
		v.mu.Unlock()
		if used > int64(v.memoryMB)<<20 {
			note(fmt.Sprintf("%s: %d MB of memory, over the %d MB of the machine: the platform kills the process", v.name, used>>20, v.memoryMB))
			v.kill("memory over the limit")
		}
	}
}

func (v *vm) setWanted(wanted bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.wanted = wanted
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.ready() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
