// Command review2 plays the script cases of the review: clients, servers and the platform's store are stand-ins, the processes of the
// system are started by the command of the deploy file. It is started in the root of the repository.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes the record of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	if os.Getenv("SHOW") != "" {
		fmt.Println(line)
	}
}

// exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return nil
}

// ip returns a loopback address of this run.
func ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()/250%60, 1+os.Getpid()%250, host)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(cannotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	temporary, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(temporary) }()
	} else {
		fmt.Println(temporary)
	}
	r := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(*record, string, bool) int{"upload": uploadCase}
	play, ok := cases[os.Args[1]]
	if !ok {
		os.Exit(cannotRun)
	}
	code := play(r, temporary, trouble)
	r.say("exit %d", code)
	_ = file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(temporary)
	}
	os.Exit(code)
}
