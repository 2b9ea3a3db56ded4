package cli

import "github.com/spf13/cobra"

func newReport() *cobra.Command {
	group := newGroup("report", "Print reports")
	connect := operatorFlags(group)
	form := outputFlag(group)
	group.AddCommand(rawCommand(connect, form, &cobra.Command{
		Use:     "fleet",
		Short:   "Print the members and the endpoints",
		Long:    "Print the members and the endpoints that take new work, as one controller sees them.\n\n" + exitCodes,
		Example: "  rhubarbrudder report fleet",
	}, "/fleet"))
	return group
}
