// Command rollout-view shows a rollout in a terminal while it is in progress, and writes an HTML report with charts. It
// reads the coordinator's record and polls supervisors; it sends no orders. It is separate from swiftreel, so that the
// many small swiftreel processes do not link its user interface and plotting libraries.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"swiftreel/internal/coordinator"
)

// pageMode is the mode of the report file. Everybody may read it, as reports are shared.
const pageMode = 0o644

func main() {
	if err := rootCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	var folder string
	root := &cobra.Command{Use: "rollout-view", Short: "Show a rollout: watch it, or write its report", SilenceUsage: true}
	root.PersistentFlags().StringVar(&folder, "record", "rollout", "the folder where the fleet's changes are recorded")
	root.AddCommand(watchCommand(&folder), reportCommand(&folder))
	return root
}

func watchCommand(folder *string) *cobra.Command {
	var operatorFile string
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "A table that updates in place; q ends it",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return watch(*folder, operatorFile) },
	}
	cmd.Flags().StringVar(&operatorFile, "operator", os.Getenv("ROUTER_OPERATOR"),
		"the operator's file with the part fleet")
	return cmd
}

func reportCommand(folder *string) *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:   "report",
		Short: "A page with charts of the last change, old against new",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return writeReport(*folder, out) },
	}
	cmd.Flags().StringVar(&out, "out", "rollout.html", "the page")
	return cmd
}

func writeReport(folder, out string) error {
	store := coordinator.OpenUnlocked(folder)
	record, found, err := store.Record()
	if err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("%s: no change is recorded", folder)
	}
	page, err := report(store, record)
	if err != nil {
		return err
	}
	return os.WriteFile(out, page, pageMode)
}
