package rollout

import (
	"slices"
	"time"

	"swiftreel/internal/change"
)

// Plan is what a rollout carries through the fleet; it does not change in the rollout's course, but for Stages.
type Plan struct {
	Kind     change.Kind
	FromSpec change.Digest // the old version
	ToSpec   change.Digest // the new version
	Stages   [][]string    // the members on the new version by stage; nil until the baseline is complete
	Timing   change.Timing
}

// Machine is a rollout in progress.
type Machine struct {
	State      State
	plan       Plan
	phaseStart int64 // ns, as Observation.Now; a coordinator that takes over starts it anew
}

// New continues a rollout from its recorded state, now being the time as in Observation.
func New(state State, plan Plan, now int64) *Machine {
	if state.Drained == nil {
		state.Drained = map[string]string{}
	}
	return &Machine{State: state, plan: plan, phaseStart: now}
}

// SetStages sets the stages, which depend on what was observed in PhaseBaseline. It must be called before the state
// that follows PhaseBaseline is recorded.
func (m *Machine) SetStages(stages [][]string) { m.plan.Stages = stages }

// TargetMembers names the controllers that are to run the new version now.
func (m *Machine) TargetMembers() []string {
	switch m.State.Phase {
	case PhaseApplying, PhaseBaking, PhaseFinishing, PhaseDone:
		return m.plan.Stages[m.State.Stage]
	case PhaseStageRollback, PhaseAwaitingRecovery:
		if m.State.Stage > 0 {
			return m.plan.Stages[m.State.Stage-1]
		}
	}
	return nil
}

// BakeElapsed reports whether the stage has been observed for its minimum time.
func (m *Machine) BakeElapsed(now int64) bool { return m.lasted(now, m.plan.Timing.BakeMS) }

// Step takes in an observation. It reports whether the state has changed, which must be recorded before the Orders that
// follow from it are sent.
func (m *Machine) Step(seen Observation) bool {
	requested := m.handleRequest(seen)
	advanced := m.advance(seen)
	drainsChanged := m.updateDrains(seen)
	changed := requested || advanced || drainsChanged
	if changed {
		m.State.Fence.Revision++
	}
	return changed
}

// requestedByOperator is the reason of a transition that an operator asked for.
const requestedByOperator = "asked for"

// handleRequest carries an operator's request out and reports whether it changed the state.
func (m *Machine) handleRequest(seen Observation) bool {
	state := &m.State
	switch seen.Request {
	case RequestRollback:
		if !state.Phase.acceptsRollback() {
			return false
		}
		state.Outcome = requestedByOperator
		m.enter(rollbackRequested, seen, requestedByOperator)
	case RequestStop:
		if state.Phase.IsTerminal() {
			return false
		}
		state.Outcome = requestedByOperator
		m.enter(stopRequested, seen, requestedByOperator)
	case RequestPause:
		if state.Phase.IsTerminal() || state.Paused {
			return false
		}
		state.Paused = true
	case RequestResume:
		if state.Phase.IsTerminal() || !state.Paused {
			return false
		}
		state.Paused = false
		m.phaseStart = seen.Now
	default:
		return false
	}
	return true
}

// advance takes the step to the next phase where the observation shows an event that leads to it.
func (m *Machine) advance(seen Observation) bool {
	happened, reason := m.detect(seen)
	if happened == noEvent {
		return false
	}
	if happened == stageFailed || happened == fleetNotReady {
		m.State.Outcome = reason
	}
	m.enter(happened, seen, reason)
	return true
}

// enter moves to the phase that follows an event.
func (m *Machine) enter(happened event, seen Observation, reason string) {
	m.State.Phase = after(m.State.Phase, happened)
	m.State.Reason = reason
	m.phaseStart = seen.Now
}

// lasted reports whether the phase has lasted for a time in milliseconds.
func (m *Machine) lasted(now, milliseconds int64) bool {
	return now-m.phaseStart >= milliseconds*int64(time.Millisecond)
}

// updateDrains takes controllers out of service that cannot return to the old version: their supervisors answer, and
// report the failure. One that reports none any more, as somebody has repaired it, returns to service.
func (m *Machine) updateDrains(seen Observation) bool {
	if !m.State.Phase.isRollback() {
		return false
	}
	changed := false
	for _, member := range seen.Members {
		if !member.Reachable {
			continue
		}
		isDrained := m.isDrained(member)
		switch {
		case member.Failure != "" && member.Running != m.plan.FromSpec && !isDrained:
			m.State.Drained[member.Name] = member.Failure
			changed = true
		case member.Failure == "" && isDrained:
			delete(m.State.Drained, member.Name)
			changed = true
		}
	}
	return changed
}

func (m *Machine) isDrained(member Member) bool { return m.State.Drained[member.Name] != "" }

// wanted is the spec that a controller is to run.
func (m *Machine) wanted(name string) change.Digest {
	if slices.Contains(m.TargetMembers(), name) {
		return m.plan.ToSpec
	}
	return m.plan.FromSpec
}
