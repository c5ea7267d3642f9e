package rollout

import (
	"fmt"
	"slices"
	"strings"

	"swiftreel/internal/canary"
)

// detect returns the event that an observation shows in the current phase, and the reason to record with the
// transition that follows from it. It also updates the counters in the state that later decisions depend on.
func (m *Machine) detect(seen Observation) (event, string) {
	switch m.State.Phase {
	case PhasePreparing:
		return m.whilePreparing(seen)
	case PhaseBaseline:
		return m.whileBaseline(seen)
	case PhaseApplying:
		return m.whileApplying(seen)
	case PhaseBaking:
		return m.whileBaking(seen)
	case PhaseStageRollback:
		return m.whileStageRollback(seen)
	case PhaseAwaitingRecovery:
		return m.whileAwaitingRecovery(seen)
	case PhaseFinishing:
		return m.whileFinishing(seen)
	case PhaseRollback, PhaseDegraded:
		return m.whileRollback(seen)
	}
	return noEvent, ""
}

func (m *Machine) whilePreparing(seen Observation) (event, string) {
	unready := namesUnless(seen.Members, m.servesOriginal)
	switch {
	case len(unready) == 0:
		return fleetReady, "all are there"
	case m.phaseLasted(seen.Now, m.config.Timing.ApplyTimeoutMS):
		return fleetNotReady, "not ready to begin: " + strings.Join(unready, " ")
	}
	return noEvent, ""
}

func (m *Machine) whileBaseline(seen Observation) (event, string) {
	if m.State.Paused || !m.phaseLasted(seen.Now, m.config.Timing.BaselineMS) {
		return noEvent, ""
	}
	return baselineComplete, "watched before the first stage"
}

// whileApplying waits until the stage's reachable controllers run the new version and serve. The stage fails if one of
// them reports that it cannot run the new version, or if a regression shows already.
func (m *Machine) whileApplying(seen Observation) (event, string) {
	if seen.Verdict.Conclusion == canary.Regressed {
		return m.failRegressed(seen)
	}
	for _, member := range seen.Members {
		if member.Failure != "" && m.desiredSpec(member.Name) == m.config.ToSpec {
			return stageFailed, fmt.Sprintf("%s cannot take it: %s", member.Name, member.Failure)
		}
	}
	if m.State.Paused {
		return noEvent, ""
	}
	stage := m.config.Stages[m.State.Stage]
	staged := seen.Members
	if stage != nil { // in a fleet of one controller the first stage is empty: the reason then names all members
		staged = membersNamed(seen.Members, stage)
	}
	missing := namesUnless(staged, m.servesTarget)
	missingReachable := namesUnless(staged, func(member Member) bool {
		return !member.Reachable || m.servesTarget(member)
	})
	updated := len(stage) - len(missing)
	switch {
	case len(missingReachable) == 0 && updated > m.previousStageSize():
		return stageApplied, fmt.Sprintf("stage %d of %d is on %d controllers",
			m.State.Stage+1, len(m.config.Stages), updated)
	case m.phaseLasted(seen.Now, m.config.Timing.ApplyTimeoutMS):
		return stageFailed, fmt.Sprintf("stage %d was not taken by %s", m.State.Stage+1, strings.Join(missing, " "))
	}
	return noEvent, ""
}

func (m *Machine) servesTarget(member Member) bool {
	return member.Reachable && member.Running == m.config.ToSpec && member.Serving
}

func (m *Machine) servesOriginal(member Member) bool {
	return member.Reachable && member.Running == m.config.FromSpec && member.Serving
}

// previousStageSize returns the number of controllers in the previous stage. A stage that adds no reachable controller
// to these would provide no evidence.
func (m *Machine) previousStageSize() int {
	if m.State.Stage == 0 {
		return 0
	}
	return len(m.config.Stages[m.State.Stage-1])
}

// failRegressed records the verdict that makes the stage fail.
func (m *Machine) failRegressed(seen Observation) (event, string) {
	m.State.Verdicts = append(m.State.Verdicts, seen.Verdict)
	return stageFailed, fmt.Sprintf("stage %d does worse: %s", m.State.Stage+1, seen.Verdict.Reason)
}

func (m *Machine) whileBaking(seen Observation) (event, string) {
	switch seen.Verdict.Conclusion {
	case canary.Regressed:
		return m.failRegressed(seen)
	case canary.AllRegressed:
		return sharedRegression, seen.Verdict.Reason
	case canary.NoRegression:
		if m.State.Paused {
			return noEvent, ""
		}
		return m.passStage(seen)
	}
	if m.State.Paused || !m.phaseLasted(seen.Now, m.config.Timing.MaxBakeMS) {
		return noEvent, ""
	}
	m.State.Verdicts = append(m.State.Verdicts, seen.Verdict)
	return stageFailed, "undecided after its time: " + seen.Verdict.Reason
}

// passStage records the verdict with which the stage passes, and moves on to the next stage.
func (m *Machine) passStage(seen Observation) (event, string) {
	m.State.Verdicts = append(m.State.Verdicts, seen.Verdict)
	if m.State.Stage+1 == len(m.config.Stages) {
		return lastStagePassed, "the last stage passed"
	}
	m.State.Stage++
	m.State.StageRetries = 0
	m.State.PromptRecoveries = 0
	return stagePassed, fmt.Sprintf("stage %d passed: %s", m.State.Stage, seen.Verdict.Reason)
}

func (m *Machine) whileStageRollback(seen Observation) (event, string) {
	remaining := namesUnless(seen.Members, func(member Member) bool {
		return !member.Reachable || member.Running == m.desiredSpec(member.Name)
	})
	switch {
	case len(remaining) == 0:
		return stageReverted, "withdrawn"
	case m.phaseLasted(seen.Now, m.config.Timing.ApplyTimeoutMS):
		return stageFailed, "could not be withdrawn: " + strings.Join(remaining, " ")
	}
	return noEvent, ""
}

// whileAwaitingRecovery retries the stage once the whole fleet performs as it did before the stage. If the fleet
// recovers soon after each rollback, the stage is the cause; if it recovers late, the cause may be unrelated to the
// stage.
func (m *Machine) whileAwaitingRecovery(seen Observation) (event, string) {
	state := &m.State
	if !seen.Recovered {
		if m.phaseLasted(seen.Now, m.config.Timing.MaxBakeMS) {
			return stageFailed, "undecided: the day stays bad"
		}
		return noEvent, ""
	}
	if !state.Paused && !m.phaseLasted(seen.Now, m.config.Timing.SharedRecoveryMS) {
		state.PromptRecoveries++
	}
	retriesExhausted := state.StageRetries >= m.config.Timing.MaxSharedRetries
	switch {
	case retriesExhausted && state.PromptRecoveries > state.StageRetries:
		return stageFailed, fmt.Sprintf("all did worse each of the %d times that the stage stood, "+
			"and better once it was withdrawn", state.PromptRecoveries)
	case retriesExhausted:
		return stageFailed, fmt.Sprintf("undecided: the stage was withdrawn %d times for what may have been the day",
			state.StageRetries+1)
	case !state.Paused:
		state.StageRetries++
		return stageRetried, "all do as before: the stage or the day, it is begun once more"
	case m.phaseLasted(seen.Now, m.config.Timing.MaxBakeMS):
		return stageFailed, "undecided: the day stays bad"
	}
	return noEvent, ""
}

func (m *Machine) whileFinishing(seen Observation) (event, string) {
	remaining := namesUnless(seen.Members, m.servesTarget)
	if len(remaining) > 0 {
		return noEvent, ""
	}
	return fleetUpdated, "all are on the new version"
}

func (m *Machine) whileRollback(seen Observation) (event, string) {
	remaining := namesUnless(seen.Members, m.servesOriginal)
	switch {
	case len(remaining) == 0:
		return fleetReverted, m.State.Outcome
	case m.State.Phase == PhaseRollback && m.phaseLasted(seen.Now, m.config.Timing.ApplyTimeoutMS):
		return rollbackOverdue, "not back: " + strings.Join(remaining, " ")
	}
	return noEvent, ""
}

// membersNamed returns the members whose names are in a list.
func membersNamed(members []Member, names []string) []Member {
	var named []Member
	for _, member := range members {
		if slices.Contains(names, member.Name) {
			named = append(named, member)
		}
	}
	return named
}

// namesUnless returns the sorted names of the members for which a predicate does not hold.
func namesUnless(members []Member, holds func(Member) bool) []string {
	var names []string
	for _, member := range members {
		if !holds(member) {
			names = append(names, member.Name)
		}
	}
	slices.Sort(names)
	return names
}
