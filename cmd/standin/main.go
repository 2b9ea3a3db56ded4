// Command standin runs a stand-in for the platform, for a model engine or for a plain service. Tests use it.
package main

import (
	"os"

	"rhubarbrudder/internal/standin"
)

func main() {
	os.Exit(standin.Main())
}
