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

// removedRetention is how long an engine that left the list is still known, for orders given a moment before.
const removedRetention = time.Minute

// tableEntry is one engine of the endpoint list.
type tableEntry struct {
	host      backend.Host
	id        choice.EngineID
	line      choice.EngineEntry // as listed last
	bornMS    int64              // as listed last: the time of day of its start
	removedAt time.Time          // zero while the engine is listed
	// unavailableSince is when the engine was listed as one that takes nothing; zero: it takes jobs.
	unavailableSince time.Time
}

// engineTable gives engines their numbers. They are derived from the names, so that all controllers see engines in the
// same order. An entry is dropped once its engine has been off the list for removedRetention.
type engineTable struct {
	byName     map[string]*tableEntry
	byID       map[choice.EngineID]*tableEntry
	sparqlURLs map[string]string // by engine name; nil: the SPARQL protocol is off
}

func newEngineTable() engineTable {
	return engineTable{byName: map[string]*tableEntry{}, byID: map[choice.EngineID]*tableEntry{}}
}

// addEntry adds the entry of a name that has none.
func (t *engineTable) addEntry(name string) *tableEntry {
	id := engineNumber(name)
	for t.byID[id] != nil {
		id++
	}
	entry := &tableEntry{id: id, host: backend.Host{Name: name}}
	t.byName[name] = entry
	t.byID[id] = entry
	return entry
}

// engineNumber is the number of an engine unless another engine has it already.
func engineNumber(name string) choice.EngineID {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return choice.EngineID(hash.Sum32())
}

// update applies a discovery event. It returns the entries that changed in the module's terms, and the names of engines
// that were removed by this event.
func (t *engineTable) update(
	members *discovery.Members, ids identifiers, now time.Time, dating *announcement,
) (changed []choice.EngineEntry, removed []string) {
	t.dropExpired(now)
	if members.IsComplete {
		t.markAllRemoved(now)
	}
	for _, host := range members.Engines {
		changed = append(changed, t.updateEntry(host, ids, now, dating))
	}
	return changed, t.removedAt(now)
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
		if entry.line.State != choice.Removed {
			entry.line.State = choice.Removed
			entry.removedAt = now
			entry.noteAvailability(now)
		}
	}
}

func (t *engineTable) updateEntry(
	host discovery.Engine, ids identifiers, now time.Time, dating *announcement,
) choice.EngineEntry {
	entry, known := t.byName[host.Host], true
	if entry == nil {
		entry, known = t.addEntry(host.Host), false
	}
	startedAt := entry.line.StartedAt
	if !known || entry.bornMS != host.BornMS { // else it keeps its date, whatever the clocks say by now
		startedAt = dating.startTime(host.BornMS)
	}
	entry.bornMS = host.BornMS
	if host.Dial != "" {
		entry.host.Address = host.Dial
	}
	state := engineState(host.Health)
	entry.removedAt = time.Time{}
	if state == choice.Removed {
		entry.removedAt = now
	}
	entry.line = choice.EngineEntry{
		Engine:      entry.id,
		Zone:        ids.zone(host.Site),
		Kind:        ids.kind(host.Class),
		Cell:        choice.CellID(host.Block),
		State:       state,
		Size:        host.Share,
		StartedAt:   startedAt,
		Unsupported: t.unsupportedProtocols(entry.host),
	}
	entry.noteAvailability(now)
	return entry.line
}

// noteAvailability notes since when an engine takes nothing, after its state was set.
func (e *tableEntry) noteAvailability(now time.Time) {
	switch {
	case e.line.State == choice.Ready:
		e.unavailableSince = time.Time{}
	case e.unavailableSince.IsZero():
		e.unavailableSince = now
	}
}

// engineState reads the state of an engine. One in an unknown state gets no new jobs.
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

func (t *engineTable) removedAt(now time.Time) []string {
	var names []string
	for name, entry := range t.byName {
		if entry.removedAt.Equal(now) {
			names = append(names, name)
		}
	}
	return names
}

// readyNames returns the names of engines that are listed as ready, sorted.
func (t *engineTable) readyNames() []string {
	var names []string
	for name, entry := range t.byName {
		if entry.line.State == choice.Ready {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// listed returns all entries that are not removed, in the module's order.
func (t *engineTable) listed() []choice.EngineEntry {
	var lines []choice.EngineEntry
	for _, entry := range t.byName {
		if entry.line.State != choice.Removed {
			lines = append(lines, entry.line)
		}
	}
	slices.SortFunc(lines, func(a, b choice.EngineEntry) int { return cmp.Compare(a.Engine, b.Engine) })
	return lines
}

// ReadyEngines returns the names of engines that the list says are ready, sorted.
func (g *Gateway) ReadyEngines() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.readyNames()
}

// UpdateEngines takes an event of discovery. Cached says that it comes from the configuration file and may be out of
// date.
func (g *Gateway) UpdateEngines(event discovery.Event, cached bool) {
	if event.Members == nil {
		counters.Increment("discovery_events_ignored")
		return
	}
	g.mu.Lock()
	actions := g.followClock() // what it says dates the starts
	dating := g.announce(event, cached)
	entries, removed := g.table.update(event.Members, g.ids, time.Now(), dating)
	if g.drains != nil {
		entries = g.drains.ApplyList(g.clock.now(), entries)
	}
	actions = append(actions, g.decide(choice.Event{
		Kind:    choice.EnginesListed,
		List:    listKind(event.Members.IsComplete, cached),
		Engines: entries,
	})...)
	g.mu.Unlock()
	dating.report(event.Number)
	g.perform(actions)
	for _, name := range removed {
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

// listAllEngines gives the module the complete list of engines.
func (g *Gateway) listAllEngines() {
	g.mu.Lock()
	actions := g.decide(choice.Event{Kind: choice.EnginesListed, List: choice.FullList, Engines: g.table.listed()})
	g.mu.Unlock()
	g.perform(actions)
}
