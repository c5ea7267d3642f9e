package main

import (
	"math"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/rollout"
)

const (
	nanosPerSecond    = int64(1e9)
	maxDurationFactor = 10 // a rollout that takes longer than this many bake times is undecided
)

// virtualResult is the result of a change in a virtual fleet.
type virtualResult struct {
	phase          rollout.Phase
	outcome        string
	fixedTestStops bool // the fixed test, evaluated at every sample, would have stopped it in the first stage
	newJobs        uint64
	seconds        int // since the start of the first stage
}

// virtualRollout rolls a change out in a virtual fleet whose members carry out orders at once.
type virtualRollout struct {
	fleet    *virtualFleet
	machine  *rollout.Machine
	limits   canary.Limits
	baseline *canary.Baseline
	analysis *canary.Analysis
	recovery canary.RecoveryCheck
	fixed    fixedTest
	isNew    []bool // whether it runs the new version, by controller

	phase      rollout.Phase // in the last second
	stage      int
	firstStage int // second in which the first stage started
	result     virtualResult
}

// simulateRollout simulates a change whose stages bake for at most the given number of samples.
func (f *virtualFleet) simulateRollout(samples int) virtualResult {
	timing := change.Timing{
		BaselineMS:         60_000,
		BakeMS:             60_000,
		MaxBakeMS:          int64(samples) * 1000,
		ApplyTimeoutMS:     60_000,
		SettleMS:           1,
		UnreachableAfterMS: 5000,
		SharedRecoveryMS:   30_000,
		MaxSharedRetries:   2,
		MinHealthyPerMille: 500,
		PollIntervalMS:     1000,
	}
	start := rollout.State{Phase: rollout.PhasePreparing, Fence: change.Fence{Number: 1, Term: 1, Revision: 1}}
	config := rollout.Config{Kind: change.KindSettings, FromSpec: "old", ToSpec: "new", Timing: timing}
	v := &virtualRollout{
		fleet:    f,
		machine:  rollout.New(start, config, 0),
		limits:   canary.DefaultLimits(),
		baseline: canary.NewBaseline(),
		isNew:    make([]bool, len(f.jobRates)),
		phase:    rollout.PhasePreparing,
		stage:    -1,
	}
	for t := 0; !v.machine.State.Phase.IsTerminal() && t < maxDurationFactor*samples; t++ {
		v.step(t)
	}
	v.result.phase = v.machine.State.Phase
	v.result.outcome = v.machine.State.Outcome
	return v.result
}

// step simulates one second.
func (v *virtualRollout) step(t int) {
	samples := v.fleet.sample(v.isNew)
	in := rollout.Observation{Now: int64(t) * nanosPerSecond, Members: v.members(samples)}
	v.beginStage(t)
	v.evaluate(&in, samples, t)
	before := v.machine.State.Phase
	v.machine.Step(in)
	if before == rollout.PhaseBaseline && v.machine.State.Phase == rollout.PhaseApplying {
		v.planStages(samples)
	}
	for _, order := range v.machine.Orders(in) {
		for i, s := range samples {
			if s.Member == order.Member {
				v.isNew[i] = order.UseTarget
			}
		}
	}
}

func (v *virtualRollout) members(samples []canary.Sample) []rollout.Member {
	members := make([]rollout.Member, 0, len(samples))
	for i, s := range samples {
		m := rollout.Member{Name: s.Member, Reachable: true, Serving: true, Running: "old"}
		if v.isNew[i] {
			m.Running = "new"
		}
		members = append(members, m)
	}
	return members
}

// beginStage starts a new analysis if the state machine has started a stage.
func (v *virtualRollout) beginStage(t int) {
	state := v.machine.State
	if state.Phase == v.phase && state.Stage == v.stage {
		return
	}
	v.phase = state.Phase
	v.stage = state.Stage
	if state.Phase != rollout.PhaseApplying {
		return
	}
	v.analysis = canary.NewAnalysis(v.limits, v.baseline, v.machine.TargetMembers())
	v.recovery = canary.RecoveryCheck{}
	if v.firstStage == 0 {
		v.firstStage = t
	}
}

// evaluate passes the samples to the analysis that belongs to the current phase.
func (v *virtualRollout) evaluate(in *rollout.Observation, samples []canary.Sample, t int) {
	switch v.machine.State.Phase {
	case rollout.PhaseBaseline:
		v.baseline.Observe(samples)
	case rollout.PhaseApplying, rollout.PhaseBaking:
		isBaked := v.machine.State.Phase == rollout.PhaseBaking && v.machine.BakeElapsed(in.Now)
		v.analysis.Observe(samples)
		in.Verdict = v.analysis.Verdict(isBaked)
		if v.machine.State.Stage == 0 && !v.result.fixedTestStops {
			v.result.fixedTestStops = v.fixed.observe(samples)
		}
		v.result.newJobs = in.Verdict.NewJobs
		v.result.seconds = t - v.firstStage
	case rollout.PhaseAwaitingRecovery:
		in.Recovered = v.recovery.Observe(v.limits, v.baseline, samples)
	}
}

// planStages selects the members of each stage by the controllers' traffic.
func (v *virtualRollout) planStages(samples []canary.Sample) {
	const baselineSeconds = 60
	places := make([]change.Candidate, 0, len(samples))
	for i, s := range samples {
		places = append(places, change.Candidate{Name: s.Member, BaselineJobs: uint64(baselineSeconds * v.fleet.jobRates[i])})
	}
	wanted := []change.Stage{{PerMille: 1}, {PerMille: 330}, {PerMille: 1000}}
	stages, _ := change.PlanStages(wanted, places) // fails only for a stage that names an unknown member
	v.machine.SetStages(stages)
}

// fixedTest compares the fractions of missed jobs of both versions with a fixed-sample test of two proportions at a
// level of 1%, evaluated after every sample. It is the reference for the sequential test of the canary analysis.
type fixedTest struct {
	newJobs, newMissed float64
	oldJobs, oldMissed float64
}

// observe adds a sample and reports whether the test would stop the rollout.
func (f *fixedTest) observe(samples []canary.Sample) bool {
	for _, s := range samples {
		for _, counts := range s.Counts {
			jobs := float64(counts.Jobs)
			missed := float64(counts.Jobs - counts.WithinSLA)
			if s.IsNew {
				f.newJobs += jobs
				f.newMissed += missed
			} else {
				f.oldJobs += jobs
				f.oldMissed += missed
			}
		}
	}
	const minJobs = 30 // for each version
	if f.newJobs < minJobs || f.oldJobs < minJobs {
		return false
	}
	const criticalValue = 2.326 // of the normal distribution, one-sided, at 1%
	rate := (f.newMissed + f.oldMissed) / (f.newJobs + f.oldJobs)
	deviation := math.Sqrt(rate * (1 - rate) * (1/f.newJobs + 1/f.oldJobs))
	return rate > 0 && (f.newMissed/f.newJobs-f.oldMissed/f.oldJobs)/deviation > criticalValue
}
