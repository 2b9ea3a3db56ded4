package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"rhubarbrudder/internal/process"
	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/telemetry"
)

// runFunc runs one of the server processes until ctx ends.
type runFunc func(ctx context.Context, s settings.Settings, log *slog.Logger) error

func newGateway() *cobra.Command {
	return newRun("gateway", "Serve callers: online requests, plain services and batch jobs", process.RunGateway)
}

func newDispatcher() *cobra.Command {
	return newRun("dispatcher", "Run the items of batch jobs in idle capacity", process.RunDispatcher)
}

func newController() *cobra.Command {
	return newRun("controller", "Serve operators: the document, orders and reports", process.RunController)
}

// newRun returns the command that runs a server process with a settings file.
func newRun(name, short string, run runFunc) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:     name + " --settings FILE",
		Short:   short,
		Example: "  rhubarbrudder " + name + " --settings vm.jsonc",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := settings.Load(path)
			if err != nil {
				return errors.Join(errUsage, err)
			}
			return run(cmd.Context(), loaded, telemetry.NewLogger(os.Stderr, loaded.Log.Level))
		},
	}
	command.Flags().StringVar(&path, "settings", "settings.jsonc", "the settings file, JSON with comments")
	return command
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "rhubarbrudder", Version)
			return err
		},
	}
}
