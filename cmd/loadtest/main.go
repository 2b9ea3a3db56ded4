// Command loadtest sends open-loop load to a gateway and prints latency histograms.
package main

import (
	"os"

	"rhubarbrudder/internal/loadtest"
)

func main() {
	os.Exit(loadtest.Main())
}
