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

// Begin records a change to be rolled out; it sends no orders. Every supervisor has to reply, and all must have the
// same spec. replaceLost states that an earlier coordinator with the change's number is known to be gone permanently,
// so that its orders may be superseded.
func Begin(ctx context.Context, store *RecordStore, next change.Change, fleet *FleetClient, replaceLost bool) error {
	last, found, err := store.Record()
	if err != nil {
		return err
	}
	if found && !last.State.Phase.IsTerminal() {
		return fmt.Errorf("change %d is in progress (%s): resume it, or wait until it has ended",
			last.Change.Number, last.State.Phase)
	}
	start, err := findStartingPoint(next, fleet, pollAll(ctx, fleet), replaceLost)
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

// Limits of the polls before a change begins.
const (
	// beginPollTime is the time within which all supervisors have to reply to the same poll. It is longer than the
	// longest backoff delay, so that a supervisor that does not reply is polled again.
	beginPollTime  = 3 * maxRetryDelay
	beginPollDelay = 50 * time.Millisecond
)

// pollAll polls until all supervisors have replied to the same poll, at most until beginPollTime or ctx ends: a change
// must not be refused because a single request was lost. The error of a supervisor that has not replied is its last
// failure.
func pollAll(ctx context.Context, fleet *FleetClient) []StatusReply {
	ctx, cancel := context.WithTimeout(ctx, beginPollTime)
	defer cancel()
	failures := make([]error, len(fleet.Members))
	for {
		replies := fleet.Poll(ctx)
		if ctx.Err() != nil {
			return withFailures(replies, failures)
		}
		if !recordFailures(replies, failures) {
			return replies
		}
		select {
		case <-ctx.Done():
			return withFailures(replies, failures)
		case <-time.After(beginPollDelay):
		}
	}
}

// recordFailures stores the errors of failed requests and reports whether any supervisor has not replied.
func recordFailures(replies []StatusReply, failures []error) (found bool) {
	for i, reply := range replies {
		if reply.Err == nil {
			continue
		}
		found = true
		if !errors.Is(reply.Err, errNoReply) { // otherwise its previous failure still applies
			failures[i] = reply.Err
		}
	}
	return found
}

// withFailures replaces the errors of missing replies by the supervisors' recorded failures.
func withFailures(replies []StatusReply, failures []error) []StatusReply {
	for i := range replies {
		if replies[i].Err != nil && failures[i] != nil {
			replies[i].Err = failures[i]
		}
	}
	return replies
}

// startingPoint is the state of the fleet before a change.
type startingPoint struct {
	spec  change.Spec  // common to all members
	fence change.Fence // greater than every accepted one
}

// findStartingPoint determines the starting point from the replies, or why the change cannot begin.
func findStartingPoint(next change.Change, fleet *FleetClient, replies []StatusReply,
	replaceLost bool) (startingPoint, error) {
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

// candidates returns the members with the properties that determine in which order they are changed.
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
