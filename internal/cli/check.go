package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/vm"
)

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check settings files and sections of the document, and start nothing",
		Long:    "Check settings files, of the three processes or of a VM on the users' platform, and sections of the document, as \"document get\" prints them, and start nothing.\nEvery fault is printed with its file, line and field, and what is expected.\n\n" + exitCodes,
		Example: "  rhubarbrudder check vm.jsonc\n  rhubarbrudder check capacity.jsonc models.jsonc",
		Args:    usage(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var faults error
			for _, path := range args {
				if err := checkFile(path); err != nil {
					faults = errors.Join(faults, err)
					continue
				}
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), path+": no faults"); err != nil {
					return err
				}
			}
			if faults != nil {
				return errors.Join(errUsage, faults)
			}
			return nil
		},
	}
}

// checkFile checks one file. It tells the kinds of file apart by their fields: only a section of the document has
// Entries, and only the settings of rhubarbrudder-vm, the process of a VM on the users' platform, have Listen.
func checkFile(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if parsed, err := hujson.Parse(data); err == nil && parsed.Find("/Entries") != nil {
		_, err := readSection(path)
		return err
	}
	if parsed, err := hujson.Parse(data); err == nil && parsed.Find("/Listen") != nil {
		_, err := vm.ParseSettings(path, data, "")
		return err
	}
	_, err = settings.Parse(path, data)
	return err
}
