// Command rhubarbrudder-vm is the one process of a VM on the users' platform. It is a program of its own as it needs a
// fraction of the memory that the whole command line does.
package main

import (
	"os"

	"rhubarbrudder/internal/vmcli"
)

func main() {
	os.Exit(vmcli.Main())
}
