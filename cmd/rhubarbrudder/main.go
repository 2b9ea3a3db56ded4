// Command rhubarbrudder serves online and batch inference on one fleet.
package main

import (
	"os"

	"rhubarbrudder/internal/cli"
)

func main() {
	os.Exit(cli.Main())
}
