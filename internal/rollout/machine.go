package rollout

import (
	"slices"
	"time"

	"swiftreel/internal/change"
)

// Config is the configuration of a rollout. It does not change in the course of the rollout, except for Stages.
type Config struct {
	Kind     change.Kind
	FromSpec change.Digest // the old version
	ToSpec   change.Digest // the new version
	Stages   [][]string    // members that run the new version, by stage; nil until the baseline is complete
	Timing   change.Timing
}

// Machine is a rollout in progress.
type Machine struct {
	State      State
	config     Config
	phaseStart int64 // ns, as Observation.Now; reset when another coordinator takes over
}

// New returns a machine that continues a rollout from its recorded state; now is the time as in Observation.
func New(state State, config Config, now int64) *Machine {
	if state.Drained == nil {
		state.Drained = map[string]string{}
	}
	return &Machine{State: state, config: config, phaseStart: now}
}

// SetStages sets the stages, which are planned from the observations of PhaseBaseline. It must be called before the
// state that follows PhaseBaseline is recorded.
func (m *Machine) SetStages(stages [][]string) { m.config.Stages = stages }

// TargetMembers returns the names of the controllers that have to run the new version now.
func (m *Machine) TargetMembers() []string {
	switch m.State.Phase {
	case PhaseApplying, PhaseBaking, PhaseFinishing, PhaseDone:
		return m.config.Stages[m.State.Stage]
	case PhaseStageRollback, PhaseAwaitingRecovery:
		if m.State.Stage > 0 {
			return m.config.Stages[m.State.Stage-1]
		}
	}
	return nil
}

// BakeElapsed reports whether the stage has been observed for its minimum time.
func (m *Machine) BakeElapsed(now int64) bool { return m.phaseLasted(now, m.config.Timing.BakeMS) }

// Step processes an observation and reports whether the state has changed. A changed state must be recorded before the
// Orders that follow from it are sent.
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

// requestedByOperator is the reason of a transition that an operator requested.
const requestedByOperator = "asked for"

// handleRequest carries out an operator's request and reports whether it changed the state.
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

// advance moves to the next phase if the observation shows an event that leads to it.
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
	m.State.Phase = nextPhase(m.State.Phase, happened)
	m.State.Reason = reason
	m.phaseStart = seen.Now
}

// phaseLasted reports whether the current phase has lasted for a time in milliseconds.
func (m *Machine) phaseLasted(now, milliseconds int64) bool {
	return now-m.phaseStart >= milliseconds*int64(time.Millisecond)
}

// updateDrains drains controllers that cannot return to the old version: their supervisors are reachable and report a
// failure. A controller returns to service when its supervisor no longer reports a failure, as after a manual repair.
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
		case member.Failure != "" && member.Running != m.config.FromSpec && !isDrained:
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

// desiredSpec returns the spec that a controller has to run.
func (m *Machine) desiredSpec(name string) change.Digest {
	if slices.Contains(m.TargetMembers(), name) {
		return m.config.ToSpec
	}
	return m.config.FromSpec
}
