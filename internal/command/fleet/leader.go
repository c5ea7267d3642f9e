package fleet

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"swiftreel/internal/command"
)

// votersCommand completes a command that sends requests to the fleet's voters.
func votersCommand(cmd *cobra.Command, run func(*cobra.Command, *voters, []string) error) *cobra.Command {
	var file string
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		voters, err := loadVoters(file)
		if err != nil {
			return err
		}
		if err := run(cmd, voters, args); err != nil {
			return command.Failure(command.ExitFailed, err)
		}
		return nil
	}
	addOperatorFlag(cmd, &file)
	return cmd
}

func leaderCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "leader",
		Short: "Who leads the fleet, as each voter knows it",
		Args:  cobra.NoArgs,
	}
	addJSONFlag(cmd, &asJSON)
	return votersCommand(cmd, func(cmd *cobra.Command, voters *voters, _ []string) error {
		polled := voters.poll(cmd.Context())
		if asJSON {
			return command.WriteJSON(cmd.OutOrStdout(), polled.statuses)
		}
		return voters.print(cmd.OutOrStdout(), polled)
	})
}

func (v *voters) print(out io.Writer, polled pollResult) error {
	table := newTable(out)
	fmt.Fprintln(table, "VOTER\tOWNER\tREIGN\tACTS\tVOTERS\tNOTE")
	for _, name := range v.fleet.Voters {
		if err := polled.errors[name]; err != nil {
			fmt.Fprintf(table, "%s\t?\t\t\t\t%v\n", name, err)
			continue
		}
		status := polled.statuses[name]
		note := status.Halted
		if status.ID == 0 {
			note = "of no fleet yet: swiftreel fleet bootstrap, or replace-voter"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%v\t%s\n", name, status.Leader, status.Term, status.Active, status.Voters, note)
	}
	return table.Flush()
}

func bootstrapCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "bootstrap",
		Short: "Have the voters begin to elect a leader, once",
		Long:  "All voters must answer and be of no fleet yet.",
		Args:  cobra.NoArgs,
	}
	return votersCommand(cmd, func(cmd *cobra.Command, voters *voters, _ []string) error {
		polled := voters.poll(cmd.Context())
		for _, name := range voters.fleet.Voters {
			if err := polled.errors[name]; err != nil {
				return err
			}
			if id := polled.statuses[name].ID; id != 0 {
				return fmt.Errorf("%s is a member already, number %d", name, id)
			}
		}
		ids := voters.newMemberIDs()
		for _, name := range voters.fleet.Voters {
			request := bootstrapRequest{ID: ids.idByName[name], Names: ids.nameByID}
			if err := voters.post(cmd.Context(), name, bootstrapPath, request); err != nil {
				return err
			}
		}
		return nil
	})
}

func stepDownCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "step-down", Short: "Have the leader hand over", Args: cobra.NoArgs}
	return votersCommand(cmd, func(cmd *cobra.Command, voters *voters, _ []string) error {
		deadline := time.Now().Add(leaderTimeout)
		for {
			name, err := voters.awaitLeader(cmd.Context())
			if err == nil {
				err = voters.post(cmd.Context(), name, stepDownPath, struct{}{})
			}
			// A leader that was just elected refuses, as it does not know yet which voter could take over.
			if err == nil || time.Now().After(deadline) {
				return err
			}
			time.Sleep(leaderRetryDelay)
		}
	})
}
