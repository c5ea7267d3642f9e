package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"swiftreel/internal/leader"
)

func recoverCommand() *cobra.Command {
	var confirmed bool
	cmd := &cobra.Command{
		Use:   "recover VOTER",
		Short: "Begin anew with what one voter has retained, after a majority lost its state",
		Long: `WARNING. What was agreed since that voter was last up to date may be lost, and if the others still have
their state somewhere (a machine that is only cut off, a disk that is only unmounted) two fleets will each have a
leader: supervisors then take the orders of the one with the later term. All voters must answer, fewer than a majority
of them with their state, and this one must know the latest term.`,
		Args: cobra.ExactArgs(1),
	}
	cmd.Flags().BoolVar(&confirmed, "the-others-lost-their-memory", false, "they did, for certain")
	return votersCommand(cmd, func(cmd *cobra.Command, voters *voters, args []string) error {
		return voters.recover(cmd.Context(), args[0], confirmed)
	})
}

var errNotConfirmed = errors.New("what this loses stands in --help; say --the-others-lost-their-memory")

// recover restarts the voters as a new group with the state that one of them has retained. The new term is above every
// term that the voters or supervisors know, so that supervisors accept the new leader's orders.
func (v *voters) recover(ctx context.Context, source string, confirmed bool) error {
	latestTerm, err := v.checkRecoverable(ctx, source)
	if err != nil {
		return err
	}
	if !confirmed {
		return errNotConfirmed
	}
	for _, reply := range newFleetClient(v.fleet).Poll(ctx) {
		if reply.Err == nil {
			latestTerm = max(latestTerm, uint64(reply.Status.Fence.Term))
		}
	}
	text, err := v.get(ctx, source, replicatedStatePath)
	if err != nil {
		return err
	}
	var retained leader.State
	if err := json.Unmarshal(text, &retained); err != nil {
		return err
	}
	ids := v.newMemberIDs()
	for _, name := range v.fleet.Voters {
		request := bootstrapRequest{
			Recover:  true,
			ID:       ids.idByName[name],
			Retained: &retained,
			Names:    ids.nameByID,
			Term:     latestTerm + 1,
		}
		if err := v.post(ctx, name, bootstrapPath, request); err != nil {
			return err
		}
	}
	return nil
}

// checkRecoverable returns the latest term that any voter knows, or an error if the fleet must not be recovered from
// the state of source.
func (v *voters) checkRecoverable(ctx context.Context, source string) (uint64, error) {
	polled := v.poll(ctx)
	sourceStatus := polled.statuses[source]
	withState := 0
	latestTerm := uint64(0)
	for _, name := range v.fleet.Voters {
		if err := polled.errors[name]; err != nil {
			return 0, fmt.Errorf("%s does not answer: %w", name, err)
		}
		status := polled.statuses[name]
		latestTerm = max(latestTerm, status.RaftTerm, uint64(status.Term))
		if status.ID != 0 {
			withState++
		}
		if status.Term > sourceStatus.Term {
			return 0, fmt.Errorf("%s knows reign %d, %s %d: recover from that", name, status.Term, source, sourceStatus.Term)
		}
	}
	if 2*withState > len(v.fleet.Voters) {
		return 0, fmt.Errorf("%d of %d voters have their memory: they agree by themselves; "+
			"take the others in by replace-voter", withState, len(v.fleet.Voters))
	}
	if sourceStatus.ID == 0 {
		return 0, fmt.Errorf("%s has no memory", source)
	}
	return latestTerm, nil
}
