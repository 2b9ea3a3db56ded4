package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// output holds the flag for the output format of a command.
type output struct {
	format string
}

const (
	formatText = "text"
	formatJSON = "json"
)

func addOutputFlag(command *cobra.Command) *output {
	o := &output{}
	command.PersistentFlags().StringVar(&o.format, "output", formatText, "text or json")
	return o
}

// write prints the value as JSON, or calls text to print it as an aligned table.
func (o *output) write(cmd *cobra.Command, value any, text func(out io.Writer)) error {
	switch o.format {
	case formatJSON:
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case formatText:
		table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
		text(table)
		return table.Flush()
	}
	return errors.Join(errUsage, fmt.Errorf("--output is %q; want text or json", o.format))
}

func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}
