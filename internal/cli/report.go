package cli

import "github.com/spf13/cobra"

func newReport() *cobra.Command {
	group := newGroup("report", "Print reports")
	connect := addOperatorFlags(group)
	out := addOutputFlag(group)
	group.AddCommand(getCommand(connect, out, &cobra.Command{
		Use:     "fleet",
		Short:   "Print the members and the endpoints",
		Long:    "Print the members and the endpoints that take new work, as one controller sees them.\n\n" + exitCodes,
		Example: "  rhubarbrudder report fleet",
	}, "/fleet"))
	group.AddCommand(getCommand(connect, out, &cobra.Command{
		Use:     "burn",
		Short:   "Print how fast the services' budgets for misses are used",
		Long:    "Print, for each service and organisation and each objective, the share of the budget that is left and the burn\nrates over 5 minutes, 1 hour, 6 hours and 3 days, as far as the gateways have lived. At a rate of 1 the budget is\njust used up. Jobs past their due time are listed, and processes that did not answer.\n\n" + exitCodes,
		Example: "  rhubarbrudder report burn",
	}, "/report/burn"))
	group.AddCommand(getCommand(connect, out, &cobra.Command{
		Use:     "fairness",
		Short:   "Print how organisations are served against the rest of their service",
		Long:    "Print each organisation's times to the first token, refusals and failures within the last minutes against those\nof the rest of its service, the ones that are served clearly worse first.\n\n" + exitCodes,
		Example: "  rhubarbrudder report fairness",
	}, "/report/fairness"))
	return group
}
