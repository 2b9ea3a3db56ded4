package cli

import (
	"github.com/spf13/cobra"

	"rhubarbrudder/internal/demo"
)

func newDemo() *cobra.Command {
	options := demo.Options{}
	command := &cobra.Command{
		Use:     "demo",
		Short:   "Run the whole system and stand-ins in one process on loopback",
		Example: "  rhubarbrudder demo\n  rhubarbrudder demo --stay",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			options.Out = cmd.OutOrStdout()
			return demo.Run(cmd.Context(), options)
		},
	}
	command.Flags().BoolVar(&options.Stay, "stay", false, "keep it up and print how to reach it")
	command.Flags().StringVar(&options.Address, "address", "127.0.0.1", "IP number to run at")
	command.Flags().BoolVar(&options.Verbose, "verbose", false, "print the processes' logs")
	return command
}
