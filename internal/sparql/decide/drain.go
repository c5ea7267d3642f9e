package decide

import "swiftreel/choice"

// Signal is what an engine shows of its own state: by a header of an answer, the close of its connection, or the status
// of a probe.
type Signal uint8

// The signals.
const (
	SignalServing  Signal = iota // an answer or probe without any sign of a drain
	SignalClosing                // Connection: close: it may drain, or only close an idle connection
	SignalDraining               // it says so, or answers 503 to a probe
)

// maxCloses is how many connections in a row an engine may close before that counts as draining.
const maxCloses = 3

// DrainTracker joins the states in the list of engines with the signals of the engines themselves, which may disagree
// and come in any order. An engine drains if either says so. Its own signal counts until another one says otherwise,
// until the engine is seen to have restarted, or until it is stale, by when the list has had time to follow.
type DrainTracker struct {
	lifetime choice.Nanos // of an engine's own signal
	engines  map[choice.EngineID]*drainState
}

// drainState is what is known of an engine that is in the list.
type drainState struct {
	listed         choice.EngineEntry
	selfDraining   bool
	closes         int          // in a row
	lastSignalAt   choice.Nanos // of a drain
	effectiveState choice.EngineState
}

// NewDrainTracker returns a tracker of an empty list. An engine's own signal counts for the lifetime, unless repeated.
func NewDrainTracker(lifetime choice.Nanos) *DrainTracker {
	return &DrainTracker{lifetime: lifetime, engines: map[choice.EngineID]*drainState{}}
}

// ApplyList takes entries of the list and returns them as the module is to see them.
func (d *DrainTracker) ApplyList(now choice.Nanos, entries []choice.EngineEntry) (effective []choice.EngineEntry) {
	for _, entry := range entries {
		state := d.engines[entry.Engine]
		if state == nil {
			state = &drainState{}
			d.engines[entry.Engine] = state
		} else if entry.StartedAt != state.listed.StartedAt { // the restarted engine does not drain as the old one did
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

// ApplySignal takes an engine's own signal. It returns the engine's entry, and whether the module has to hear of it.
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
		state.closes++
		if state.closes >= maxCloses {
			state.markDraining(now)
		}
	case SignalDraining:
		state.markDraining(now)
	}
	return d.update(now, state)
}

// ExpireSignals drops signals that are stale. It returns the entries that changed, in the order of ids.
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
	s.closes = 0
}

func (s *drainState) markDraining(now choice.Nanos) {
	s.selfDraining = true
	s.lastSignalAt = now
}

// effectiveEntry returns the listed entry, draining where the engine says so itself.
func (s *drainState) effectiveEntry(now, lifetime choice.Nanos) choice.EngineEntry {
	if s.selfDraining && now-s.lastSignalAt >= lifetime {
		s.clearSignals()
	}
	entry := s.listed
	if s.selfDraining && entry.State == choice.Ready {
		entry.State = choice.Draining
	}
	return entry
}
