package fleet

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"swiftreel/internal/command"
	"swiftreel/internal/recovery"
	"swiftreel/internal/store"
)

// maxRetainedAnswers limits the answers that are held in memory while a store is inspected.
const maxRetainedAnswers = 10_000

// storeContents is the result of reading a store.
type storeContents struct {
	report        store.Report
	jobs          *recovery.Ledger
	recordsByKind map[store.Kind]int
}

func storeCommand() *cobra.Command {
	root := &cobra.Command{Use: "store", Short: "Look at what a store holds"}
	root.AddCommand(inspectCommand(), verifyCommand())
	return root
}

// readStoreCommand returns a command that reads a store and prints its contents with show.
func readStoreCommand(name, short string, show func(io.Writer, storeContents) error) *cobra.Command {
	return &cobra.Command{
		Use:   name + " FOLDER",
		Short: short,
		Long: "Reads only; another process may have the store meanwhile. Exit codes: 0, 2 where what was durable cannot " +
			"be read (the file and the place are named).",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			contents, err := readStore(args[0])
			if err != nil {
				return command.BadInput(fmt.Errorf("%s: %w", args[0], err))
			}
			return show(cmd.OutOrStdout(), contents)
		},
	}
}

func readStore(folder string) (storeContents, error) {
	contents := storeContents{jobs: recovery.NewLedger(maxRetainedAnswers), recordsByKind: map[store.Kind]int{}}
	report, err := store.Inspect(store.ReadOnlyDirectory(folder), func(record store.Record) error {
		contents.recordsByKind[record.Kind]++
		return contents.jobs.Apply(record)
	})
	contents.report = report
	return contents, err
}

func inspectCommand() *cobra.Command {
	var asJSON bool
	inspect := readStoreCommand("inspect", "The open jobs in it, and what is to become of each",
		func(out io.Writer, contents storeContents) error {
			if asJSON {
				return command.WriteJSON(out, contents.jobs.OpenJobs(0))
			}
			table := newTable(out)
			fmt.Fprintln(table, "CALL\tTYPE\tTENANT\tKEY\tEFFECT\tFATE\tKEY RESTS")
			for _, job := range contents.jobs.OpenJobs(0) {
				fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%v\n",
					job.Call, job.Type, job.Tenant, job.Key, job.Effect, job.Action, job.NeedsKeyCooldown)
			}
			return table.Flush()
		})
	addJSONFlag(inspect, &asJSON)
	return inspect
}

func verifyCommand() *cobra.Command {
	return readStoreCommand("verify", "Compare every record with its checksum and its place", printVerified)
}

func printVerified(out io.Writer, contents storeContents) error {
	open, answered := contents.jobs.Size()
	report := contents.report
	fmt.Fprintf(out, "%d records, %d jobs open, %d answers kept; %d bytes of a torn tail; %d bits to mend; "+
		"%d files left behind\n",
		report.Records, open, answered, report.TornBytes, len(report.RepairedBits), len(report.RemovedFiles))
	for _, kind := range slices.Sorted(maps.Keys(contents.recordsByKind)) {
		fmt.Fprintf(out, "  kind %d: %d\n", kind, contents.recordsByKind[kind])
	}
	for _, bit := range report.RepairedBits {
		fmt.Fprintln(out, "  a wrong bit:", bit)
	}
	return nil
}
