package gateway

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/discovery"
)

// removedRetention is how long an engine is kept after its removal from the list, for actions that the module returned
// just before.
const removedRetention = time.Minute

// tableEntry is an engine of the endpoint list.
type tableEntry struct {
	host      backend.Host
	id        choice.EngineID
	listing   choice.EngineEntry // from the latest list
	startMS   int64              // from the latest list: Unix time of the engine's start in ms
	removedAt time.Time          // zero while the engine is listed
	// unavailableSince is when the engine was first listed as draining or removed; zero while it is ready.
	unavailableSince time.Time
}

// engineTable assigns engine IDs. IDs are derived from engine names, so that all controllers see engines in the same
// order. An entry is dropped after its engine has been off the list for removedRetention.
type engineTable struct {
	byName     map[string]*tableEntry
	byID       map[choice.EngineID]*tableEntry
	sparqlURLs map[string]string // by engine name; nil if the SPARQL protocol is off

	lastIncarnation uint64 // of any engine
}

func newEngineTable() engineTable {
	return engineTable{byName: map[string]*tableEntry{}, byID: map[choice.EngineID]*tableEntry{}}
}

// addEntry adds an entry for a new engine name.
func (t *engineTable) addEntry(name string) *tableEntry {
	id := engineID(name)
	for t.byID[id] != nil {
		id++
	}
	entry := &tableEntry{id: id, host: backend.Host{Name: name}}
	t.byName[name] = entry
	t.byID[id] = entry
	return entry
}

// engineID returns the ID that an engine gets unless it collides with that of another engine.
func engineID(name string) choice.EngineID {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return choice.EngineID(hash.Sum32())
}

// update applies a discovery event. It returns the updated entries in the module's representation, and the names of the
// engines whose process this event removed or replaced.
func (t *engineTable) update(
	change *discovery.ListChange, ids identifiers, now time.Time, startTimes *startTimeConverter,
) (changed []choice.EngineEntry, ended []string) {
	incarnationsBefore := t.lastIncarnation
	t.dropExpired(now)
	if change.IsComplete {
		t.markAllRemoved(now)
	}
	for _, engine := range change.Engines {
		changed = append(changed, t.updateEntry(engine, ids, now, startTimes))
	}
	return changed, t.namesEnded(now, incarnationsBefore)
}

func (t *engineTable) dropExpired(now time.Time) {
	for name, entry := range t.byName {
		if !entry.removedAt.IsZero() && now.Sub(entry.removedAt) > removedRetention {
			delete(t.byName, name)
			delete(t.byID, entry.id)
		}
	}
}

func (t *engineTable) markAllRemoved(now time.Time) {
	for _, entry := range t.byName {
		if entry.listing.State != choice.Removed {
			entry.listing.State = choice.Removed
			entry.removedAt = now
			entry.updateAvailability(now)
		}
	}
}

func (t *engineTable) updateEntry(
	engine discovery.Engine, ids identifiers, now time.Time, startTimes *startTimeConverter,
) choice.EngineEntry {
	entry, known := t.byName[engine.Name], true
	if entry == nil {
		entry, known = t.addEntry(engine.Name), false
	}
	if !known || entry.isReplacedBy(engine, now) {
		t.lastIncarnation++
		entry.host.Incarnation = t.lastIncarnation
	}
	startedAt := entry.listing.StartedAt
	if !known || entry.startMS != engine.StartedAtMS { // otherwise keep the known start: the clock may have been stepped
		startedAt = startTimes.startTime(engine.StartedAtMS)
	}
	entry.startMS = engine.StartedAtMS
	if engine.Address != "" {
		entry.host.Address = engine.Address
	}
	state := engineState(engine.Health)
	entry.removedAt = time.Time{}
	if state == choice.Removed {
		entry.removedAt = now
	}
	entry.listing = choice.EngineEntry{
		Engine:      entry.id,
		Zone:        ids.zone(engine.Zone),
		Kind:        ids.kind(engine.Kind),
		Cell:        choice.CellID(engine.Cell),
		State:       state,
		Size:        engine.Capacity,
		StartedAt:   startedAt,
		Unsupported: t.unsupportedProtocols(entry.host),
	}
	entry.updateAvailability(now)
	return entry.listing
}

// isReplacedBy reports whether an engine in a list that arrived at a time is another process than the one that the
// entry had before. A complete list removes all entries just before it updates those that it names.
func (e *tableEntry) isReplacedBy(engine discovery.Engine, now time.Time) bool {
	hasMoved := engine.Address != "" && engine.Address != e.host.Address
	wasRemoved := !e.removedAt.IsZero() && !e.removedAt.Equal(now)
	hasReturned := wasRemoved && engineState(engine.Health) != choice.Removed
	return hasMoved || hasReturned || engine.StartedAtMS != e.startMS
}

// updateAvailability updates unavailableSince after a change of the engine's state.
func (e *tableEntry) updateAvailability(now time.Time) {
	switch {
	case e.listing.State == choice.Ready:
		e.unavailableSince = time.Time{}
	case e.unavailableSince.IsZero():
		e.unavailableSince = now
	}
}

// engineState parses an engine's health. Unknown values count as draining, so that the engine gets no new jobs.
func engineState(text string) choice.EngineState {
	switch text {
	case "ready":
		return choice.Ready
	case "gone":
		return choice.Removed
	default:
		return choice.Draining
	}
}

// namesEnded returns the names of the engines that were removed at a time, or whose incarnation is later than a given
// one.
func (t *engineTable) namesEnded(now time.Time, incarnation uint64) []string {
	var names []string
	for name, entry := range t.byName {
		if entry.removedAt.Equal(now) || entry.host.Incarnation > incarnation {
			names = append(names, name)
		}
	}
	return names
}

// readyNames returns the sorted names of the engines that are listed as ready.
func (t *engineTable) readyNames() []string {
	var names []string
	for name, entry := range t.byName {
		if entry.listing.State == choice.Ready {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// listed returns all entries that are not removed, ordered by engine ID.
func (t *engineTable) listed() []choice.EngineEntry {
	var entries []choice.EngineEntry
	for _, entry := range t.byName {
		if entry.listing.State != choice.Removed {
			entries = append(entries, entry.listing)
		}
	}
	slices.SortFunc(entries, func(a, b choice.EngineEntry) int { return cmp.Compare(a.Engine, b.Engine) })
	return entries
}

// ReadyEngines returns the sorted names of the engines that are listed as ready.
func (g *Gateway) ReadyEngines() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.readyNames()
}

// UpdateEngines applies a discovery event. If cached is true, the event comes from the configuration file and may be
// out of date.
func (g *Gateway) UpdateEngines(event discovery.Event, cached bool) {
	if event.Change == nil {
		counters.Increment("discovery_events_ignored")
		return
	}
	g.mu.Lock()
	actions := g.notifyClockStep() // before the event's start times are converted
	startTimes := g.newStartTimeConverter(event, cached)
	entries, ended := g.table.update(event.Change, g.ids, time.Now(), startTimes)
	if g.drains != nil {
		entries = g.drains.ApplyList(g.clock.now(), entries)
	}
	actions = append(actions, g.decide(choice.Event{
		Kind:    choice.EnginesListed,
		List:    listKind(event.Change.IsComplete, cached),
		Engines: entries,
	})...)
	g.mu.Unlock()
	startTimes.logImplausible(event.Number)
	g.perform(actions)
	for _, name := range ended {
		g.engines.CloseIdle(name)
	}
}

func listKind(complete, cached bool) choice.ListKind {
	switch {
	case !complete:
		return choice.ListDelta
	case cached:
		return choice.CachedList
	default:
		return choice.FullList
	}
}

// listAllEngines reports the complete list of engines to the module.
func (g *Gateway) listAllEngines() {
	g.mu.Lock()
	actions := g.decide(choice.Event{Kind: choice.EnginesListed, List: choice.FullList, Engines: g.table.listed()})
	g.mu.Unlock()
	g.perform(actions)
}
