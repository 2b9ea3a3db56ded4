// Command loadtest sends open-loop load to a gateway and prints latencies. Its subcommands compare ways to share engines
// between online and batch requests.
package main

import (
	"os"

	"rhubarbrudder/internal/loadtest"
)

func main() {
	os.Exit(loadtest.Main())
}
