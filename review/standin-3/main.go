// Command rig runs a case of the review: rig CASE REPOSITORY RECORD.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// limit bounds a run.
const limit = 110 * time.Second

func main() {
	cases := map[string]func(r *Rig, trouble bool) int{"adopt": adoptCase, "lines": linesCase, "prompt": promptCase}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE REPOSITORY RECORD")
		os.Exit(unable)
	}
	r, err := NewRig(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(unable)
	}
	var once sync.Once
	end := func(code int) {
		once.Do(func() {
			r.Stop()
			r.Logf("result %d", code)
			os.Exit(code)
		})
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(limit):
		}
		end(unable)
	}()
	end(cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0"))
}
