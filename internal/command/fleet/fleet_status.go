package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"swiftreel/internal/command"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/operator"
	"swiftreel/internal/supervisor"
)

// controllerStatus is the entry of one controller in the status of a fleet.
type controllerStatus struct {
	supervisor.Status
	Error         string   `json:"error,omitempty"`
	UnknownFields []string `json:"unknown_fields,omitempty"` // reported by a supervisor of another version
}

var errNotAllServe = errors.New("not all controllers answer and serve")

func fleetStatusCommand() *cobra.Command {
	var file string
	var asJSON bool
	status := &cobra.Command{
		Use:   "status",
		Short: "Version, spec, health and last order of each controller",
		Long: "Asks the supervisors that the operator's file names. Exit codes: 0 all answer and serve, 3 some do not, " +
			"2 bad input.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fleet, err := loadFleet(file)
			if err != nil {
				return err
			}
			statuses := pollControllers(cmd.Context(), fleet)
			if asJSON {
				err = command.WriteJSON(cmd.OutOrStdout(), statuses)
			} else {
				err = printControllers(cmd.OutOrStdout(), statuses)
			}
			if err != nil {
				return err
			}
			if !allServe(statuses) {
				return command.SilentFailure(command.ExitUnsatisfied, errNotAllServe)
			}
			return nil
		},
	}
	addOperatorFlag(status, &file)
	addJSONFlag(status, &asJSON)
	return status
}

func pollControllers(ctx context.Context, fleet *operator.Fleet) []controllerStatus {
	var statuses []controllerStatus
	for i, reply := range newFleetClient(fleet).Poll(ctx) {
		statuses = append(statuses, describe(fleet.Members[i].Name, reply))
	}
	return statuses
}

func describe(name string, reply coordinator.StatusReply) controllerStatus {
	status := controllerStatus{Status: reply.Status, UnknownFields: sortedKeys(reply.Status.UnknownFields)}
	status.Name = name
	if reply.Err != nil {
		status.Error = reply.Err.Error()
	}
	return status
}

func allServe(statuses []controllerStatus) bool {
	for _, status := range statuses {
		if status.Error != "" || !status.Serving {
			return false
		}
	}
	return true
}

func printControllers(out io.Writer, statuses []controllerStatus) error {
	table := newTable(out)
	fmt.Fprintln(table, "CONTROLLER\tVERSION\tSPEC\tSERVES\tOWED\tLAST ORDER\tENDS\tMB\tNOTE")
	for _, status := range statuses {
		note := status.Error + status.Failure
		if status.Drained {
			note = "out of service"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%v\t%d\t%v\t%d\t%.0f\t%s\n", status.Name, status.Version, status.RunningSpec,
			status.Serving, status.PendingAnswers, status.Fence, status.Crashes, status.MemoryMB, note)
	}
	return table.Flush()
}

// newTable returns a writer that aligns tab-separated cells when it is flushed.
func newTable(out io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
}
