package coordinator

import (
	"swiftreel/internal/canary"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/rollout"
)

// observe converts supervisors' replies to the inputs of the state machine and of the evaluation. Only members that
// replied have counts.
func (c *Coordinator) observe(replies []StatusReply) (rollout.Observation, []canary.Sample) {
	seen := rollout.Observation{Now: c.elapsed()}
	var counts []canary.Sample
	timing := c.record.Change.Timing
	target := c.record.ToSpec.Digest()
	for i, reply := range replies {
		view := &c.members[i]
		name := c.fleet.Members[i].Name
		if reply.Err != nil {
			seen.Members = append(seen.Members, view.unreachable(name, timing, seen.Now))
			continue
		}
		member, memberCounts := view.update(name, reply.Status, target, timing, seen.Now)
		seen.Members = append(seen.Members, member)
		counts = append(counts, memberCounts)
	}
	return seen, counts
}

// evaluate evaluates the counts as the phase requires, and adds the result to the observation.
func (c *Coordinator) evaluate(seen *rollout.Observation, counts []canary.Sample) {
	state := c.machine.State
	c.beginEvaluation(state)
	switch state.Phase {
	case rollout.PhaseBaseline:
		c.baseline.Observe(counts)
	case rollout.PhaseApplying, rollout.PhaseBaking:
		c.analysis.Observe(counts)
		baked := state.Phase == rollout.PhaseBaking && c.machine.BakeElapsed(seen.Now)
		seen.Verdict = c.analysis.Verdict(baked)
	case rollout.PhaseAwaitingRecovery:
		seen.Recovered = c.recovery.Observe(c.record.Change.Limits, c.baseline, counts)
	}
	if state.Phase.IsTerminal() {
		return
	}
	c.store.addSample(PollSummary{
		Time:   failpoint.WallClock().UTC(),
		Number: c.record.Change.Number,
		Phase:  state.Phase,
		Stage:  state.Stage,
		EValue: seen.Verdict.EValue,
		Old:    versionSummary(canary.SumCounts(counts, false)),
		New:    versionSummary(canary.SumCounts(counts, true)),
	})
}

// beginEvaluation starts a new analysis when a stage is applied; the analysis continues while the stage bakes. A
// coordinator that takes over a stage that bakes starts a new one.
func (c *Coordinator) beginEvaluation(state rollout.State) {
	current := stageInPhase{phase: state.Phase, stage: state.Stage}
	if current == c.evaluated {
		return
	}
	c.evaluated = current
	c.recovery = canary.RecoveryCheck{}
	applied := state.Phase == rollout.PhaseApplying
	inherited := state.Phase == rollout.PhaseBaking && c.analysis == nil
	if applied || inherited {
		c.analysis = canary.NewAnalysis(c.record.Change.Limits, c.baseline, c.machine.TargetMembers())
	}
}
