package cli

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"rhubarbrudder/pkg/client"
)

func newExplain() *cobra.Command {
	command := &cobra.Command{
		Use:     "explain ID",
		Short:   "Print what was decided about a request, job, lot, item, endpoint or revision",
		Long:    "Print what was decided about a request, job, lot, item, endpoint or revision, by whom and on what evidence.\nProcesses keep their latest notes in memory; those that did not answer are named. Only the operator's token may ask.\n\n" + exitCodes,
		Example: "  rhubarbrudder explain batch_0123",
		Args:    usage(cobra.ExactArgs(1)),
	}
	connect := addOperatorFlags(command)
	out := addOutputFlag(command)
	command.RunE = func(cmd *cobra.Command, args []string) error {
		operator, err := connect.operator()
		if err != nil {
			return err
		}
		explanation, err := operator.Explain(cmd.Context(), args[0])
		if err != nil {
			return err
		}
		return out.write(cmd, explanation, func(w io.Writer) {
			printExplanation(w, explanation)
		})
	}
	return command
}

func printExplanation(out io.Writer, explanation client.Explanation) {
	if job := explanation.Job; job != nil {
		printf(out, "Job %s of %s, service %s: %s; %d items, %d completed, %d failed; %d of %d lots done; due %s\n",
			job.ID, job.Organisation, job.Service, job.State, job.Items, job.Completed, job.Failed, job.LotsDone, job.Lots, job.Due.Format(time.RFC3339))
	}
	if len(explanation.Notes) == 0 {
		printf(out, "no notes about %s\n", explanation.Subject)
	}
	for _, note := range explanation.Notes {
		printf(out, "%s\t%s\t%s", note.At.Format("2006-01-02T15:04:05.000Z"), note.By, note.Decision)
		for _, fact := range note.Evidence {
			printf(out, " %s=%s", fact.Name, fact.Value)
		}
		printf(out, "\n")
	}
	for _, silent := range explanation.Silent {
		printf(out, "no answer from %s\n", silent)
	}
}
