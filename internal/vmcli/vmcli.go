// Package vmcli implements the command line of a VM's process.
package vmcli

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"rhubarbrudder/internal/memory"
	"rhubarbrudder/internal/telemetry"
	"rhubarbrudder/internal/vm"
	"rhubarbrudder/platform"
)

const (
	// gcPercent is the growth of the heap between garbage collections. As the heap is only a few megabytes, a low
	// percentage saves memory and costs little CPU time.
	gcPercent = 50
)

// Main runs the command line and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var path string
	root := &cobra.Command{
		Use:           "rhubarbrudder-vm",
		Short:         "Serve one VM on the users' platform",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), path)
		},
	}
	root.Flags().StringVar(&path, "settings", os.Getenv(platform.SettingsVariable), "settings file (by default from "+platform.SettingsVariable+")")
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "Error:", err)
		return 1
	}
	return 0
}

// overridesVariable is the environment variable with settings that go before those of the file.
const overridesVariable = "RHUBARBRUDDER_OVERRIDES"

func serve(ctx context.Context, path string) error {
	overrides := os.Getenv(overridesVariable)
	settings, err := vm.LoadSettings(path, overrides)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memory.RuntimeShare * float64(settings.Limits.MemoryMB<<20)))
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer out.Close()
	level := &slog.LevelVar{}
	level.Set(settings.Log.SlogLevel())
	log := telemetry.NewAdjustableLogger(out, level)
	process, err := vm.New(settings, log)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go vm.NewReloader(path, overrides, process, level, log).Run(ctx, hangups)
	return process.Run(ctx)
}
