package gateway

import (
	"maps"
	"slices"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/sparql/decide"
)

// The module's protocol bits. A machine that serves several protocols is a single engine to the module: its threads,
// memory, load, slow start and drain state are shared by jobs of all protocols.
const (
	lineProtocol choice.Protocols = 1 << iota
	sparqlProtocol
)

// drainReportLifetime is how long an engine's own report that it drains is valid unless repeated. By then the endpoint
// list shows the drain.
const drainReportLifetime = 20 * time.Second

// protocolCount is the number of protocols that share the job slots once SPARQL is enabled.
const protocolCount = 2

// requiredProtocols returns the protocols that an engine must speak to run a job of a protocol.
func requiredProtocols(protocol backend.Protocol) choice.Protocols {
	if protocol == backend.SPARQL {
		return sparqlProtocol
	}
	return lineProtocol
}

// unsupportedProtocols returns the protocols that an engine does not speak. It returns none while SPARQL is off: no job
// needs SPARQL then, and an engine without a line protocol address counts as unreachable.
func (t *engineTable) unsupportedProtocols(host backend.Host) choice.Protocols {
	if t.sparqlURLs == nil {
		return 0
	}
	var unsupported choice.Protocols
	if t.sparqlURLs[host.Name] == "" {
		unsupported |= sparqlProtocol
	}
	if host.Address == "" {
		unsupported |= lineProtocol
	}
	return unsupported
}

// hostBy returns the address of an engine for a protocol.
func (t *engineTable) hostBy(entry *tableEntry, protocol backend.Protocol) backend.Host {
	if protocol == backend.SPARQL {
		host := entry.host
		host.Address = t.sparqlURLs[entry.host.Name]
		host.Protocol = protocol
		return host
	}
	return entry.host
}

// SetSPARQLEndpoints enables the SPARQL protocol with the URL of each engine, by engine name. It must be called before
// the first call of UpdateEngines.
func (g *Gateway) SetSPARQLEndpoints(urls map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.sparqlURLs = urls
	g.drains = decide.NewDrainTracker(choice.Nanos(drainReportLifetime))
	g.slots = decide.NewSlots(protocolCount)
}

// UpdateDrain applies an engine's own report of its drain state, which may differ from the endpoint list. A report of
// an earlier process of the engine is ignored.
func (g *Gateway) UpdateDrain(host backend.Host, signal decide.Signal) {
	g.mu.Lock()
	var actions []choice.Action
	entry := g.table.byName[host.Name]
	if g.drains != nil && entry != nil && entry.host.Incarnation == host.Incarnation {
		updated, changed := g.drains.ApplySignal(g.clock.now(), entry.id, signal)
		if changed {
			counters.Increment("drains_reported")
			entries := []choice.EngineEntry{updated}
			actions = g.decide(choice.Event{Kind: choice.EnginesListed, List: choice.ListDelta, Engines: entries})
		}
	}
	g.mu.Unlock()
	g.perform(actions)
}

// expireDrains discards drain reports older than drainReportLifetime.
func (g *Gateway) expireDrains() {
	g.mu.Lock()
	var actions []choice.Action
	if g.drains != nil {
		ids := slices.Sorted(maps.Keys(g.table.byID))
		entries := g.drains.ExpireSignals(g.clock.now(), ids)
		if len(entries) > 0 {
			actions = g.decide(choice.Event{Kind: choice.EnginesListed, List: choice.ListDelta, Engines: entries})
		}
	}
	g.mu.Unlock()
	g.perform(actions)
}

// slotIndex returns the index of a protocol in the slot accounting.
func slotIndex(protocol backend.Protocol) int {
	if protocol == backend.SPARQL {
		return 1
	}
	return 0
}

// reserveSlot reserves a slot for a job and reports whether one was free. With two protocols, a burst of one leaves the
// other the slots that it used recently. The caller must hold the lock.
func (g *Gateway) reserveSlot(protocol backend.Protocol) bool {
	limit := min(g.settings.maxJobs, g.budget.Jobs.Max())
	if len(g.jobs) >= limit {
		return false
	}
	return g.slots == nil || g.slots.Acquire(g.clock.now(), slotIndex(protocol), limit)
}

// releaseSlot releases the slot of a job. The caller must hold the lock.
func (g *Gateway) releaseSlot(protocol backend.Protocol) {
	if g.slots != nil {
		g.slots.Release(slotIndex(protocol))
	}
}
