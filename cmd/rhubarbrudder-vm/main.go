// Command rhubarbrudder-vm is the only process of a VM on the users' platform. It is a separate program because it
// needs only a fraction of the memory of the full command line.
package main

import (
	"os"

	"rhubarbrudder/internal/vmcli"
)

func main() {
	os.Exit(vmcli.Main())
}
