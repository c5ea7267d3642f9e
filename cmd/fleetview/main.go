// Command fleetview shows a rollout to people: in a terminal while it goes on, and as a page of its own with charts. It
// reads the conductor's record and asks keepers; it orders nothing. It stands apart from swiftreel, whose processes are
// many and small, for the libraries that it needs.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"swiftreel/internal/coordinator"
)

func main() {
	var folder, file, out string
	root := &cobra.Command{Use: "fleetview", Short: "Show a rollout: watch it, or write its report", SilenceUsage: true}
	root.PersistentFlags().StringVar(&folder, "record", "rollout", "the folder where the fleet's changes are recorded")
	watch := &cobra.Command{Use: "watch", Short: "A table that updates in place; q ends it", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return watch(folder, file) }}
	watch.Flags().StringVar(&file, "operator", os.Getenv("ROUTER_OPERATOR"), "the operator's file with the part fleet")
	report := &cobra.Command{Use: "report", Short: "A page with charts of the last change, old against new", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, is, err := coordinator.Look(folder).Record()
			if err != nil {
				return err
			}
			if !is {
				return fmt.Errorf("%s: no change is recorded", folder)
			}
			page, err := report(coordinator.Look(folder), r)
			if err == nil {
				err = os.WriteFile(out, page, 0o644)
			}
			return err
		}}
	report.Flags().StringVar(&out, "out", "rollout.html", "the page")
	root.AddCommand(watch, report)
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
