package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/operator"
	"swiftreel/internal/rollout"
)

// Begin records a change that the fleet is to go through; no order is sent yet. Every supervisor has to answer, and
// all have to hold the same spec. replaceLost is whether the operator knows that an earlier coordinator of the
// change's number is gone for good, so that its orders may be followed by later ones.
func Begin(ctx context.Context, store *RecordStore, next change.Change, fleet *FleetClient, replaceLost bool) error {
	last, found, err := store.Record()
	if err != nil {
		return err
	}
	if found && !last.State.Phase.IsTerminal() {
		return fmt.Errorf("change %d is %s: resume it, or have it end first", last.Change.Number, last.State.Phase)
	}
	start, err := startOf(next, fleet, pollEveryone(ctx, fleet), replaceLost)
	if err != nil {
		return err
	}
	target, err := next.TargetSpec(start.spec)
	if err != nil {
		return err
	}
	if _, err := change.PlanStages(next.Stages, candidates(fleet.Members, canary.NewBaseline())); err != nil {
		return err
	}
	state := rollout.State{Phase: rollout.PhasePreparing, Fence: start.fence}
	store.discardSamples()
	store.addTransition(Transition{
		Time:   failpoint.WallClock().UTC(),
		Number: next.Number,
		Phase:  state.Phase,
		Fence:  state.Fence,
		Reason: next.Title,
	})
	return store.write(recordFile, Record{ID: newID(), Change: next, FromSpec: start.spec, ToSpec: target, State: state})
}

// Bounds of the polls before a change begins.
const (
	// beginPollTime is how long every supervisor has to answer one and the same poll: one that does not is polled again
	// after its longest delay.
	beginPollTime  = 3 * maxRetryDelay
	beginPollDelay = 50 * time.Millisecond
)

// pollEveryone polls until all supervisors have answered one poll, for as long as beginPollTime or ctx: a request that
// was lost is no reason to refuse a change. For one that has not answered, the reply says why it could not be asked.
func pollEveryone(ctx context.Context, fleet *FleetClient) []StatusReply {
	ctx, cancel := context.WithTimeout(ctx, beginPollTime)
	defer cancel()
	failures := make([]error, len(fleet.Members))
	for {
		replies := fleet.Poll(ctx)
		if ctx.Err() != nil {
			return withReasons(replies, failures)
		}
		if !hasFailed(replies, failures) {
			return replies
		}
		select {
		case <-ctx.Done():
			return withReasons(replies, failures)
		case <-time.After(beginPollDelay):
		}
	}
}

// hasFailed reports whether a supervisor has not answered, and notes why.
func hasFailed(replies []StatusReply, failures []error) (found bool) {
	for i, reply := range replies {
		if reply.Err == nil {
			continue
		}
		found = true
		if !errors.Is(reply.Err, errNoReply) { // else it was not asked again yet
			failures[i] = reply.Err
		}
	}
	return found
}

// withReasons has replies that are only missing say why an earlier one failed.
func withReasons(replies []StatusReply, failures []error) []StatusReply {
	for i := range replies {
		if replies[i].Err != nil && failures[i] != nil {
			replies[i].Err = failures[i]
		}
	}
	return replies
}

// startingPoint is where the fleet stands before a change.
type startingPoint struct {
	spec  change.Spec  // that all hold
	fence change.Fence // above every one that was accepted
}

// startOf finds where the fleet stands, or why the change cannot begin there.
func startOf(next change.Change, fleet *FleetClient, replies []StatusReply, replaceLost bool) (startingPoint, error) {
	start := startingPoint{fence: change.Fence{Number: next.Number, Term: 1, Revision: 1}}
	for i, reply := range replies {
		name := fleet.Members[i].Name
		status := reply.Status
		if reply.Err != nil {
			return start, fmt.Errorf("%s: %w", name, reply.Err)
		}
		if i == 0 {
			start.spec = status.Spec
		}
		if status.Spec.Digest() != start.spec.Digest() {
			return start, fmt.Errorf("%s holds spec %s, %s holds %s",
				name, status.Spec.Digest(), fleet.Members[0].Name, start.spec.Digest())
		}
		accepted := status.Fence
		if accepted.Number > next.Number || accepted.Number == next.Number && !replaceLost {
			return start, fmt.Errorf("/number: %s has taken order %v by %s", name, accepted, status.OrderedBy)
		}
		if accepted.Number == next.Number {
			start.fence.Term = max(start.fence.Term, accepted.Term+1)
		}
	}
	return start, nil
}

// candidates describes the members for the choice of who is changed first.
func candidates(members []operator.Member, baseline *canary.Baseline) []change.Candidate {
	var list []change.Candidate
	for _, member := range members {
		candidate := change.Candidate{Name: member.Name, Zone: member.Zone, Types: member.Types}
		for _, work := range baseline.CountsByMember[member.Name] {
			candidate.BaselineJobs += work.Jobs
		}
		list = append(list, candidate)
	}
	return list
}
