// Package cli is the command line of rhubarbrudder.
package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Version is the version that the command prints; the build may set it.
var Version = "0.1.0"

const (
	exitOK = iota
	exitFailed
	exitUsage
)

// errUsage marks an error of the command line or of a settings file.
var errUsage = errors.New("cli: usage")

// Main runs the command line and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "Error:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "rhubarbrudder",
		Short:         "Serve online and batch inference on one fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return errors.Join(errUsage, err)
	})
	root.AddCommand(newGateway(), newDispatcher(), newController(), newCheck(), newDemo(), newVersion())
	return root
}
