package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// Main runs the stand-ins' command line and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Play the platform, a model engine or a plain service",
		SilenceUsage: true,
	}
	root.AddCommand(newPlatformCommand(), newEngineCommand(), newPlainCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		return 1
	}
	return 0
}

func newPlatformCommand() *cobra.Command {
	var listen string
	var seed uint64
	var lag time.Duration
	command := &cobra.Command{
		Use:   "platform",
		Short: "Play the table service, the object store and the VM list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return listenAndServe(cmd.Context(), listen, NewPlatform(seed, lag).Handler())
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "the address to serve at")
	command.Flags().Uint64Var(&seed, "seed", 1, "the seed of the faults")
	command.Flags().DurationVar(&lag, "vm-lag", time.Second, "the lag of the VM list")
	return command
}

func newEngineCommand() *cobra.Command {
	var listen string
	options := DefaultEngineOptions()
	command := &cobra.Command{
		Use:   "engine",
		Short: "Play a model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return listenAndServe(cmd.Context(), listen, NewEngine(options).Handler())
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:8000", "the address to serve at")
	flags.IntVar(&options.Slots, "slots", options.Slots, "how many requests decode at once")
	flags.DurationVar(&options.TokenInterval, "token", options.TokenInterval, "the time of a token")
	flags.DurationVar(&options.PrefillPerWord, "prefill", options.PrefillPerWord, "the time of a word of the prompt")
	flags.Float64Var(&options.FullBatchSlowdown, "slowdown", options.FullBatchSlowdown, "how much longer a token takes in a full batch")
	flags.DurationVar(&options.LoadLag, "load-lag", options.LoadLag, "how old a reported load is")
	flags.BoolVar(&options.ChecksFence, "checks-fence", options.ChecksFence, "refuse orders with an old fencing number")
	flags.StringSliceVar(&options.Models, "model", options.Models, "the models served at the start")
	return command
}

// DefaultEngineOptions returns the options of a small, fast engine.
func DefaultEngineOptions() EngineOptions {
	return EngineOptions{
		Slots:             8,
		TokenInterval:     5 * time.Millisecond,
		FullBatchSlowdown: 0.2,
		PrefillPerWord:    50 * time.Microsecond,
		CachePrefixes:     256,
		LoadLag:           time.Second,
		ChecksFence:       true,
		Models:            []string{"beacon-7b"},
	}
}

func newPlainCommand() *cobra.Command {
	var listen string
	var delay time.Duration
	command := &cobra.Command{
		Use:   "plain",
		Short: "Play a plain service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return listenAndServe(cmd.Context(), listen, NewPlain(delay).Handler())
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:8001", "the address to serve at")
	command.Flags().DurationVar(&delay, "delay", time.Millisecond, "the time of a call")
	return command
}

func listenAndServe(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{
		Addr:              address,
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	fmt.Println("listening", address)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
