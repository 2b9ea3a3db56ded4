// Package cli implements the command line of rhubarbrudder: the three server processes and the clients for operators
// and callers.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"rhubarbrudder/pkg/client"
)

// Version is printed by the version command. The build may set it.
var Version = "0.1.0"

const (
	exitOK = iota
	exitFailed
	exitUsage
	exitRefused
	exitUnavailable
)

// errUsage marks an error in the command line or in a file that it names.
var errUsage = errors.New("cli: usage")

const exitCodes = `Exit codes:
  0  done
  1  failed
  2  wrong usage, or a fault in a file
  3  refused: stale, forbidden, invalid, unknown or over a limit
  4  unavailable, or the outcome is unknown`

// Main executes the command line of the process and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Run executes the command line with the given arguments and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "Error:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var failure *client.Failure
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, client.ErrUnavailable):
		return exitUnavailable
	case errors.As(err, &failure) && failure.Status < http.StatusInternalServerError:
		return exitRefused
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := newGroup("rhubarbrudder", "Serve online and batch inference on one fleet",
		newGateway(), newDispatcher(), newController(), newCheck(), newDemo(), newVersion(),
		newDocument(), newJob(), newReport(), newExplain())
	root.Long = root.Short + ".\n\n" + exitCodes
	root.SilenceUsage = true
	root.SilenceErrors = true
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return errors.Join(errUsage, err)
	})
	return root
}

// newGroup returns a command that only groups subcommands and prints its help when run itself.
func newGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	group := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return cmd.Help()
		},
	}
	group.AddCommand(commands...)
	return group
}

// usage marks the errors of an argument check as usage errors.
func usage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return errors.Join(errUsage, err)
		}
		return nil
	}
}
