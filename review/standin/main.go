// Command standin plays the cases of this review: the platform, servers and clients around the project's own program.
//
// It is run in the root of the repository, as standin CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run. With TROUBLE=0 in its environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// timeLimit is how long a case may take, below the 120 seconds that a script has.
const timeLimit = 112 * time.Second

// record collects what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	lines   []string
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  ", time.Since(r.started).Seconds())+fmt.Sprintf(format, args...))
}

// say adds a line and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	err    error
}

var cases = map[string]func(d *deployment, trouble bool) verdict{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run func(d *deployment, trouble bool) verdict, path string, trouble bool) int {
	rec := &record{started: time.Now()}
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	defer d.stop()
	rec.say("trouble: %v", trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	done := make(chan verdict, 1)
	go func() { done <- run(d, trouble) }()
	v := verdict{}
	select {
	case v = <-done:
	case <-time.After(timeLimit):
		v.err = fmt.Errorf("no result within %v", timeLimit)
	case s := <-interrupted:
		v.err = fmt.Errorf("stopped by %v", s)
	}
	code := 0
	switch {
	case v.err != nil:
		rec.say("RESULT: could not run: %v", v.err)
		code = 2
	case v.broken:
		rec.say("RESULT: the rule was broken")
		code = 1
	default:
		rec.say("RESULT: the rule held")
	}
	if err := rec.write(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return code
}
