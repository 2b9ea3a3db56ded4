// Command standin plays the platform, a model engine or a plain service in tests.
package main

import (
	"os"

	"rhubarbrudder/internal/standin"
)

func main() {
	os.Exit(standin.Main())
}
