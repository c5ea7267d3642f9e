package fleet

import (
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"swiftreel/internal/command"

	"swiftreel/internal/coordinator"
	"swiftreel/internal/supervisor"
)

func fleetCommand() *cobra.Command {
	var file string
	var forScripts bool
	root := &cobra.Command{Use: "fleet", Short: "What the fleet's controllers tell of themselves"}
	status := &cobra.Command{Use: "status", Short: "Version, spec, health and last order of each controller", Args: cobra.NoArgs,
		Long: "Asks the keepers that the operator's file names. Exit codes: 0 all answer and serve, 3 some do not, 2 bad input.",
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := fleetOf(file)
			if err != nil {
				return err
			}
			type row struct {
				supervisor.Status
				Error  string   `json:"error,omitempty"`
				Others []string `json:"unknown_fields,omitempty"`
			}
			var rows []row
			well := true
			for i, a := range coordinator.NewFleet(f.Members, askTime, askTime).Ask(c.Context()) {
				r := row{Status: a.Status, Others: sortedKeys(a.Status.UnknownFields)}
				r.Name = f.Members[i].Name
				if a.Err != nil {
					r.Error = a.Err.Error()
				}
				well = well && a.Err == nil && r.Serving
				rows = append(rows, r)
			}
			if forScripts {
				err = command.WriteJSON(c.OutOrStdout(), rows)
			} else {
				w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
				fmt.Fprintln(w, "CONTROLLER\tVERSION\tSPEC\tSERVES\tOWED\tLAST ORDER\tENDS\tMB\tNOTE")
				for _, r := range rows {
					note := r.Error + r.Failure
					if r.Drained {
						note = "out of service"
					}
					fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%v\t%d\t%.0f\t%s\n", r.Name, r.Version, r.RunningSpec, r.Serving, r.OwedAnswers, r.Fence, r.Crashes, r.MemoryMB, note)
				}
				err = w.Flush()
			}
			if err == nil && !well {
				return command.SilentFailure(command.ExitNoFit, fmt.Errorf("not all controllers answer and serve"))
			}
			return err
		}}
	status.Flags().StringVar(&file, "operator", "", "the operator's file; above ROUTER_OPERATOR")
	status.Flags().BoolVar(&forScripts, "json", false, "for scripts")
	root.AddCommand(status)
	root.AddCommand(ownerCommands()...)
	return root
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
