// Command harness3 runs the cases of the third review: it starts the project's program on loopback addresses, beside stand-ins for
// clients, servers and the platform, and judges one rule by what these have seen.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. Each returns an exit code.
var cases = map[string]func(caseFolder string, trouble bool) (int, error){
	"silent":     silent,
	"slowlink":   slowLink,
	"unreadable": unreadable,
	"small":      small,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = exitNotRun
	}
	os.Exit(code)
}
