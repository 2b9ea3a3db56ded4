package cli

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/pkg/client"
)

// documentCommand holds the flags shared by the document subcommands.
type documentCommand struct {
	connection *connection
	output     *output
}

func newDocument() *cobra.Command {
	d := &documentCommand{}
	group := newGroup("document", "Read and change the document")
	d.connection = addOperatorFlags(group)
	d.output = addOutputFlag(group)
	group.AddCommand(d.get(), d.put(), d.diff(), d.history(), d.status())
	return group
}

func (d *documentCommand) get() *cobra.Command {
	return &cobra.Command{
		Use:     "get SECTION",
		Short:   "Print a section: Capacity, Models, BatchPolicy or Organisations",
		Long:    "Print a section in the form that \"document put\" reads.\n\n" + exitCodes,
		Example: "  rhubarbrudder document get Capacity > capacity.jsonc",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			operator, err := d.connection.operator()
			if err != nil {
				return err
			}
			section, err := operator.Section(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			asJSON := &output{
				format: formatJSON,
			}
			return asJSON.write(cmd, section, nil)
		},
	}
}

func (d *documentCommand) put() *cobra.Command {
	var id string
	command := &cobra.Command{
		Use:     "put FILE",
		Short:   "Put a section in force",
		Long:    "Put a section in force, if nobody changed it since the file's Version. Of a section that changed meanwhile the\ndifference is printed, and nothing is changed. The same --change-id may be sent again without harm.\n\n" + exitCodes,
		Example: "  rhubarbrudder document put capacity.jsonc\n  rhubarbrudder document put capacity.jsonc --change-id more-slots-1",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return d.runPut(cmd, args[0], id)
		},
	}
	command.Flags().StringVar(&id, "change-id", "", "id of the change (else a new one)")
	return command
}

func (d *documentCommand) runPut(cmd *cobra.Command, path, id string) error {
	file, err := readSection(path)
	if err != nil {
		return err
	}
	operator, err := d.connection.operator()
	if err != nil {
		return err
	}
	if id == "" {
		id = uuid.NewString()
	}
	change, err := operator.Put(cmd.Context(), file.toClient(), id)
	var failure *client.Failure
	if errors.As(err, &failure) && failure.Current != nil {
		printf(cmd.ErrOrStderr(), "%s is at version %d, the file was made from %d. The file would now change:\n",
			file.Name, failure.Current.Version, file.Version)
		printChange(cmd.ErrOrStderr(), file.difference(*failure.Current), failure.Current.Entries)
	}
	if errors.As(err, &failure) && failure.Status == http.StatusGatewayTimeout {
		printf(cmd.ErrOrStderr(), "It is not known whether the change was accepted; send it again with --change-id %s\n", id)
	}
	if err != nil {
		return err
	}
	return d.output.write(cmd, change, func(out io.Writer) {
		printf(out, "accepted: change %s of %s, revision %d\n", change.ID, change.Section, change.Revision)
	})
}

func (d *documentCommand) diff() *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Print what a section's file would change",
		Long:    "Print what a section's file would change: + added, - removed, ~ changed.\n\n" + exitCodes,
		Example: "  rhubarbrudder document diff capacity.jsonc",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := readSection(args[0])
			if err != nil {
				return err
			}
			operator, err := d.connection.operator()
			if err != nil {
				return err
			}
			current, err := operator.Section(cmd.Context(), string(file.Name))
			if err != nil {
				return err
			}
			change := file.difference(current)
			return d.output.write(cmd, change, func(out io.Writer) {
				printChange(out, change, current.Entries)
			})
		},
	}
}

// printChange prints the entries that the change adds (+), replaces (~) and removes (-). current holds the present
// entries.
func printChange(out io.Writer, change document.Change, current map[string]json.RawMessage) {
	if change.Empty() {
		printf(out, "no difference\n")
		return
	}
	var lines []string
	for name, entry := range change.Set {
		if before, ok := current[string(name)]; ok {
			lines = append(lines, "~ "+string(name)+"\n    from "+string(before)+"\n    to   "+oneLine(entry))
			continue
		}
		lines = append(lines, "+ "+string(name)+" "+oneLine(entry))
	}
	for _, name := range change.Remove {
		lines = append(lines, "- "+string(name)+" "+string(current[string(name)]))
	}
	slices.Sort(lines)
	printf(out, "%s\n", strings.Join(lines, "\n"))
}

func oneLine(entry json.RawMessage) string {
	return strings.Join(strings.Fields(string(entry)), " ")
}

func (d *documentCommand) history() *cobra.Command {
	var after int64
	command := &cobra.Command{
		Use:     "history",
		Short:   "Print accepted changes, oldest first",
		Long:    "Print up to 100 accepted changes, oldest first.\n\n" + exitCodes,
		Example: "  rhubarbrudder document history --after 12",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			operator, err := d.connection.operator()
			if err != nil {
				return err
			}
			changes, err := operator.History(cmd.Context(), after)
			if err != nil {
				return err
			}
			return d.output.write(cmd, changes, func(out io.Writer) {
				printHistory(out, changes)
			})
		},
	}
	command.Flags().Int64Var(&after, "after", 0, "only changes after this revision")
	return command
}

func printHistory(out io.Writer, changes []client.Change) {
	printf(out, "REVISION\tSECTION\tACCEPTED\tAUTHOR\tCHANGE\tSET\tREMOVED\n")
	for _, change := range changes {
		printf(out, "%d\t%s\t%s\t%s\t%s\t%d\t%d\n", change.Revision, change.Section,
			change.Accepted.Format(time.RFC3339), change.Author, change.ID, len(change.Set), len(change.Remove))
	}
}

func (d *documentCommand) status() *cobra.Command {
	return getCommand(d.connection, d.output, &cobra.Command{
		Use:     "status",
		Short:   "Print the revision in force on each VM",
		Long:    "Print, for each section and VM, the revision in force.\n\n" + exitCodes,
		Example: "  rhubarbrudder document status",
	}, "/status")
}

// getCommand makes command print the controller's response to a GET of the path.
func getCommand(connect *connection, out *output, command *cobra.Command, path string) *cobra.Command {
	command.Args = usage(cobra.NoArgs)
	command.RunE = func(cmd *cobra.Command, _ []string) error {
		operator, err := connect.operator()
		if err != nil {
			return err
		}
		response, err := operator.Get(cmd.Context(), path)
		if err != nil {
			return err
		}
		return out.write(cmd, response, func(w io.Writer) {
			printTables(w, response)
		})
	}
	return command
}
