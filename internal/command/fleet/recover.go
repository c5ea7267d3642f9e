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

// recover has all voters begin anew with what one has retained, under a term above every one that was in force.
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
	text, err := v.get(ctx, source, replicaPath)
	if err != nil {
		return err
	}
	var retained leader.State
	if err := json.Unmarshal(text, &retained); err != nil {
		return err
	}
	members := v.newMembers()
	for _, name := range v.fleet.Voters {
		request := bootstrapRequest{
			Recover:  true,
			ID:       members.ids[name],
			Retained: &retained,
			Names:    members.names,
			Term:     latestTerm + 1,
		}
		if err := v.post(ctx, name, bootstrapPath, request); err != nil {
			return err
		}
	}
	return nil
}

// checkRecoverable returns the latest term that a voter knows, or why the fleet must not begin anew from the source.
func (v *voters) checkRecoverable(ctx context.Context, source string) (uint64, error) {
	polled := v.poll(ctx)
	sourceView := polled.views[source]
	withState := 0
	latestTerm := uint64(0)
	for _, name := range v.fleet.Voters {
		if err := polled.errors[name]; err != nil {
			return 0, fmt.Errorf("%s does not answer: %w", name, err)
		}
		view := polled.views[name]
		latestTerm = max(latestTerm, view.RaftTerm, uint64(view.Term))
		if view.ID != 0 {
			withState++
		}
		if view.Term > sourceView.Term {
			return 0, fmt.Errorf("%s knows reign %d, %s %d: recover from that", name, view.Term, source, sourceView.Term)
		}
	}
	if 2*withState > len(v.fleet.Voters) {
		return 0, fmt.Errorf("%d of %d voters have their memory: they agree by themselves; "+
			"take the others in by replace-voter", withState, len(v.fleet.Voters))
	}
	if sourceView.ID == 0 {
		return 0, fmt.Errorf("%s has no memory", source)
	}
	return latestTerm, nil
}
