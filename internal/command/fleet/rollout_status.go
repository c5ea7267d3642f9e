package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"swiftreel/internal/change"
	"swiftreel/internal/command"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/rollout"
)

// changeStatus is the JSON output of rollout status.
type changeStatus struct {
	Number   int64         `json:"number"`
	Kind     change.Kind   `json:"kind"`
	Title    string        `json:"title"`
	FromSpec change.Digest `json:"from"`
	ToSpec   change.Digest `json:"to"`
	Stages   [][]string    `json:"stages"`
	State    rollout.State `json:"state"`
}

func newChangeStatus(record coordinator.Record) changeStatus {
	return changeStatus{
		Number:   record.Change.Number,
		Kind:     record.Change.Kind,
		Title:    record.Change.Title,
		FromSpec: record.FromSpec.Digest(),
		ToSpec:   record.ToSpec.Digest(),
		Stages:   record.Stages,
		State:    record.State,
	}
}

func rolloutStatusCommand(options *rolloutOptions) *cobra.Command {
	var asJSON bool
	status := &cobra.Command{
		Use:   "status",
		Short: "Where the change stands",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			record, found, err := options.readRecord(cmd.Context())
			if err != nil {
				return command.Failure(command.ExitFailed, err)
			}
			if !found {
				return command.BadInput(fmt.Errorf("%s: no change is recorded", options.folder))
			}
			if asJSON {
				return command.WriteJSON(cmd.OutOrStdout(), newChangeStatus(record))
			}
			printChange(cmd.OutOrStdout(), newChangeStatus(record))
			return nil
		},
	}
	addJSONFlag(status, &asJSON)
	return status
}

// readRecord returns the record of the change in the folder, or of the one that the fleet's leader coordinates.
func (o *rolloutOptions) readRecord(ctx context.Context) (record coordinator.Record, found bool, err error) {
	if !o.replicated {
		return coordinator.OpenUnlocked(o.folder).Record()
	}
	voters, err := loadVoters(o.operatorFile)
	if err != nil {
		return record, false, err
	}
	name, err := voters.awaitLeader(ctx)
	if err != nil {
		return record, false, err
	}
	text, err := voters.get(ctx, name, recordPath)
	if err != nil {
		return record, false, err
	}
	return record, true, json.Unmarshal(text, &record)
}

func printChange(out io.Writer, status changeStatus) {
	state := status.State
	fmt.Fprintf(out, "change %d (%s) %s -> %s: %s",
		status.Number, status.Kind, status.FromSpec, status.ToSpec, state.Phase)
	if len(status.Stages) > 0 && !state.Phase.IsTerminal() {
		fmt.Fprintf(out, ", stage %d of %d", state.Stage+1, len(status.Stages))
	}
	if state.Paused {
		fmt.Fprint(out, ", paused")
	}
	fmt.Fprintf(out, "\n  %s\n", state.Reason)
	for _, name := range sortedKeys(state.Drained) {
		fmt.Fprintf(out, "  out of service: %s: %s\n", name, state.Drained[name])
	}
}

func historyCommand(options *rolloutOptions) *cobra.Command {
	var asJSON bool
	history := &cobra.Command{
		Use:   "history",
		Short: "The transitions of all changes recorded",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			transitions, err := coordinator.OpenUnlocked(options.folder).History()
			if err != nil {
				return command.Failure(command.ExitFailed, err)
			}
			if asJSON {
				return command.WriteJSON(cmd.OutOrStdout(), transitions)
			}
			return printHistory(cmd.OutOrStdout(), transitions)
		},
	}
	addJSONFlag(history, &asJSON)
	return history
}

func printHistory(out io.Writer, transitions []coordinator.Transition) error {
	table := newTable(out)
	for _, transition := range transitions {
		fmt.Fprintf(table, "%s\t%d\t%s\tstage %d\t%v\t%s\n", transition.Time.Format(time.RFC3339), transition.Number,
			transition.Phase, transition.Stage+1, transition.Fence, transition.Reason)
	}
	return table.Flush()
}
