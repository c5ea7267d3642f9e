package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"swiftreel/internal/leader"
)

func removeVoterCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "remove-voter VOTER",
		Short: "Remove a voter that is gone for good",
		Long: `Without another in its place: fewer are left to agree, and the fleet survives fewer losses. A majority of those
left and the lost one together must be there. Remove its name from fleet.voters as well. To put another machine in its
place: replace-voter.`,
		Args: cobra.ExactArgs(1),
	}
	return votersCommand(cmd, func(cmd *cobra.Command, voters *voters, args []string) error {
		return voters.remove(cmd.Context(), args[0])
	})
}

// remove asks the leader to remove a voter, and retries until the leader's status no longer lists it.
func (v *voters) remove(ctx context.Context, voter string) error {
	var lastError error
	for deadline := time.Now().Add(leaderTimeout); time.Now().Before(deadline); time.Sleep(memberRetryDelay) {
		name, err := v.awaitLeader(ctx)
		if err != nil {
			return err
		}
		status := v.poll(ctx).statuses[name]
		if len(status.Voters) > 0 && !slices.Contains(status.Voters, voter) {
			return nil // by this request or an earlier one
		}
		lastError = v.post(ctx, name, removePath, voter)
	}
	return fmt.Errorf("%s is not forgotten: %w", voter, lastError)
}

func replaceVoterCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "replace-voter VOTER",
		Short: "Take a voter in that lost its state",
		Long: `Under its name comes a new member: what the lost one had promised is not known to it, so it must not vote
as that. It receives the log until it has caught up, then votes in the place of the lost one. A majority of the others
must be there.`,
		Args: cobra.ExactArgs(1),
	}
	return votersCommand(cmd, func(cmd *cobra.Command, voters *voters, args []string) error {
		return voters.replace(cmd.Context(), args[0])
	})
}

// replace starts a voter as a new member, asks the leader to add it, and retries until the voter's status shows that it
// votes.
func (v *voters) replace(ctx context.Context, voter string) error {
	id := newMemberID()
	if err := v.post(ctx, voter, bootstrapPath, bootstrapRequest{ID: id}); err != nil {
		return err
	}
	for deadline := time.Now().Add(catchUpTimeout); time.Now().Before(deadline); time.Sleep(memberRetryDelay) {
		name, err := v.awaitLeader(ctx)
		if err != nil {
			return err
		}
		request := joinRequest{Names: map[uint64]string{id: voter}}
		if err := v.post(ctx, name, joinPath, request); err != nil {
			continue // another membership change is in progress, or this voter is still catching up
		}
		if v.votesAs(v.poll(ctx).statuses[voter], voter, id) {
			return nil
		}
	}
	return fmt.Errorf("%s has not caught up in its time: try replace-voter again", voter)
}

// votesAs reports whether a voter's status shows that it votes with a member ID, in a complete group with a leader.
func (v *voters) votesAs(status leader.Status, voter string, id uint64) bool {
	isComplete := len(status.Voters) == len(v.fleet.Voters) && slices.Contains(status.Voters, voter)
	return status.ID == id && isComplete && status.RaftLeader != ""
}
