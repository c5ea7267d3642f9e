package decide

import "swiftreel/choice"

// Signal is an engine's own indication of its state: a response header, a closed connection or the status of a probe.
type Signal uint8

// The signals.
const (
	SignalServing  Signal = iota // an answer or probe without any sign of a drain
	SignalClosing                // Connection: close: a drain, or merely an idle connection being closed
	SignalDraining               // the Draining header, or 503 to a probe
)

// drainingCloseCount is the number of consecutive closed connections that counts as draining.
const drainingCloseCount = 3

// DrainTracker combines the states in the endpoint list with the signals of the engines themselves, which may disagree
// and arrive in any order. An engine is draining if either source reports it. An engine's own drain signal is valid
// until the engine sends a serving signal or restarts, or the signal expires. By its expiry the list has had time to
// catch up.
type DrainTracker struct {
	lifetime choice.Nanos // of an engine's drain signal
	engines  map[choice.EngineID]*drainState
}

// drainState is the drain state of an engine in the endpoint list.
type drainState struct {
	listed            choice.EngineEntry
	selfDraining      bool
	consecutiveCloses int
	lastDrainSignalAt choice.Nanos
	effectiveState    choice.EngineState
}

// NewDrainTracker returns a tracker without engines. A drain signal expires after the lifetime unless it is repeated.
func NewDrainTracker(lifetime choice.Nanos) *DrainTracker {
	return &DrainTracker{lifetime: lifetime, engines: map[choice.EngineID]*drainState{}}
}

// ApplyList applies entries of the endpoint list and returns them with their effective states, for the decision module.
func (d *DrainTracker) ApplyList(now choice.Nanos, entries []choice.EngineEntry) (effective []choice.EngineEntry) {
	for _, entry := range entries {
		state := d.engines[entry.Engine]
		if state == nil {
			state = &drainState{}
			d.engines[entry.Engine] = state
		} else if entry.StartedAt != state.listed.StartedAt { // signals of the previous process do not apply
			state.clearSignals()
		}
		state.listed = entry
		seen := state.effectiveEntry(now, d.lifetime)
		state.effectiveState = seen.State
		effective = append(effective, seen)
		if entry.State == choice.Removed {
			delete(d.engines, entry.Engine)
		}
	}
	return effective
}

// ApplySignal applies an engine's own signal. It returns the engine's effective entry, and whether its state changed,
// in which case the decision module has to be told. Signals of engines that are not in the list are ignored.
func (d *DrainTracker) ApplySignal(
	now choice.Nanos, id choice.EngineID, signal Signal,
) (entry choice.EngineEntry, changed bool) {
	state := d.engines[id]
	if state == nil {
		return entry, false
	}
	switch signal {
	case SignalServing:
		state.clearSignals()
	case SignalClosing:
		state.consecutiveCloses++
		if state.consecutiveCloses >= drainingCloseCount {
			state.markDraining(now)
		}
	case SignalDraining:
		state.markDraining(now)
	}
	return d.update(now, state)
}

// ExpireSignals drops expired signals of the given engines. It returns the entries whose state changed, in the order
// of ids.
func (d *DrainTracker) ExpireSignals(now choice.Nanos, ids []choice.EngineID) (changed []choice.EngineEntry) {
	for _, id := range ids {
		state := d.engines[id]
		if state == nil {
			continue
		}
		if entry, isChanged := d.update(now, state); isChanged {
			changed = append(changed, entry)
		}
	}
	return changed
}

func (d *DrainTracker) update(now choice.Nanos, state *drainState) (choice.EngineEntry, bool) {
	entry := state.effectiveEntry(now, d.lifetime)
	changed := entry.State != state.effectiveState
	state.effectiveState = entry.State
	return entry, changed
}

func (s *drainState) clearSignals() {
	s.selfDraining = false
	s.consecutiveCloses = 0
}

func (s *drainState) markDraining(now choice.Nanos) {
	s.selfDraining = true
	s.lastDrainSignalAt = now
}

// effectiveEntry returns the listed entry, as draining if the engine's own signal says so. It clears an expired signal.
func (s *drainState) effectiveEntry(now, lifetime choice.Nanos) choice.EngineEntry {
	if s.selfDraining && now-s.lastDrainSignalAt >= lifetime {
		s.clearSignals()
	}
	entry := s.listed
	if s.selfDraining && entry.State == choice.Ready {
		entry.State = choice.Draining
	}
	return entry
}
