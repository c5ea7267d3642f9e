package fleet

import (
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"swiftreel/internal/command"
	"swiftreel/internal/recovery"
	"swiftreel/internal/store"
)

// mostAnswers that are kept while a store is looked at.
const mostAnswers = 10_000

func storeCommand() *cobra.Command {
	root := &cobra.Command{Use: "store", Short: "Look at what a store holds"}
	look := func(use, short string, tell func(*cobra.Command, store.Report, *recovery.Ledger, map[store.Kind]int) error) *cobra.Command {
		return &cobra.Command{Use: use + " FOLDER", Short: short, Args: cobra.ExactArgs(1),
			Long: "Reads only; another process may have the store meanwhile. Exit codes: 0, 2 where what was durable cannot be read (the file and the place are named).",
			RunE: func(c *cobra.Command, args []string) error {
				b, kinds := recovery.NewLedger(mostAnswers), map[store.Kind]int{}
				found, err := store.Inspect(store.ReadOnlyDirectory(args[0]), func(r store.Record) error {
					kinds[r.Kind]++
					return b.Apply(r)
				})
				if err != nil {
					return command.BadInput(fmt.Errorf("%s: %w", args[0], err))
				}
				return tell(c, found, b, kinds)
			}}
	}
	var forScripts bool
	inspect := look("inspect", "The open jobs in it, and what is to become of each", func(c *cobra.Command, _ store.Report, b *recovery.Ledger, _ map[store.Kind]int) error {
		if forScripts {
			return command.WriteJSON(c.OutOrStdout(), b.OpenJobs(0))
		}
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "CALL\tTYPE\tTENANT\tKEY\tEFFECT\tFATE\tKEY RESTS")
		for _, o := range b.OpenJobs(0) {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%v\n", o.Call, o.Type, o.Tenant, o.Key, o.Effect, o.Action, o.NeedsKeyCooldown)
		}
		return w.Flush()
	})
	inspect.Flags().BoolVar(&forScripts, "json", false, "for scripts")
	verify := look("verify", "Hold every record against its checksum and its place", func(c *cobra.Command, f store.Report, b *recovery.Ledger, kinds map[store.Kind]int) error {
		open, answered := b.Size()
		fmt.Fprintf(c.OutOrStdout(), "%d records, %d jobs open, %d answers kept; %d bytes of a torn tail; %d bits to mend; %d files left behind\n", f.Records, open, answered, f.TornBytes, len(f.RepairedBits), len(f.RemovedFiles))
		for _, k := range slices.Sorted(maps.Keys(kinds)) {
			fmt.Fprintf(c.OutOrStdout(), "  kind %d: %d\n", k, kinds[k])
		}
		for _, m := range f.RepairedBits {
			fmt.Fprintln(c.OutOrStdout(), "  a wrong bit:", m)
		}
		return nil
	})
	root.AddCommand(inspect, verify)
	return root
}
