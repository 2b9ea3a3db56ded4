package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// output holds the flag that says how a command prints.
type output struct {
	form string
}

const (
	formText = "text"
	formJSON = "json"
)

func outputFlag(command *cobra.Command) *output {
	o := &output{}
	command.PersistentFlags().StringVar(&o.form, "output", formText, "text or json")
	return o
}

// write prints the value as JSON, or by the function as text.
func (o *output) write(cmd *cobra.Command, value any, text func(out io.Writer)) error {
	switch o.form {
	case formJSON:
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case formText:
		table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
		text(table)
		return table.Flush()
	}
	return errors.Join(errUsage, fmt.Errorf("--output is %q; want text or json", o.form))
}

func say(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}
