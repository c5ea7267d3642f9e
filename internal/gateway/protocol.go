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

// The module's bits for protocols. A machine that runs engines of several protocols is one engine to the module: its
// threads, memory, load, slow start and drain count once, whatever protocol a job comes by.
const (
	lineProtocol choice.Protocols = 1 << iota
	sparqlProtocol
)

// drainReportLifetime is for how long an engine's own report that it drains counts without another one: by then the
// list has followed.
const drainReportLifetime = 20 * time.Second

// protocolCount is how many protocols share the slots for jobs once SPARQL is on.
const protocolCount = 2

// requiredProtocols returns what an engine must speak to run a job of a protocol.
func requiredProtocols(protocol backend.Protocol) choice.Protocols {
	if protocol == backend.SPARQL {
		return sparqlProtocol
	}
	return lineProtocol
}

// unsupportedProtocols returns what an engine does not speak. While SPARQL is off there is nothing to report: no job
// needs it, and an engine without an address is treated as one that cannot be reached.
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

// hostBy returns where an engine is reached by a protocol.
func (t *engineTable) hostBy(entry *tableEntry, protocol backend.Protocol) backend.Host {
	if protocol == backend.SPARQL {
		return backend.Host{Name: entry.host.Name, Address: t.sparqlURLs[entry.host.Name], Protocol: protocol}
	}
	return entry.host
}

// SetSPARQLEndpoints turns the SPARQL protocol on and says at which URL each engine is reached, by engine name. It
// must be called before the first call of UpdateEngines.
func (g *Gateway) SetSPARQLEndpoints(urls map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.sparqlURLs = urls
	g.drains = decide.NewDrainTracker(choice.Nanos(drainReportLifetime))
	g.slots = decide.NewSlots(protocolCount)
}

// UpdateDrain takes what an engine reports of itself, which may differ from what the list says.
func (g *Gateway) UpdateDrain(name string, signal decide.Signal) {
	g.mu.Lock()
	var actions []choice.Action
	if entry := g.table.byName[name]; entry != nil && g.drains != nil {
		line, changed := g.drains.ApplySignal(g.clock.now(), entry.id, signal)
		if changed {
			counters.Increment("drains_reported")
			entries := []choice.EngineEntry{line}
			actions = g.decide(choice.Event{Kind: choice.EnginesListed, List: choice.ListDelta, Engines: entries})
		}
	}
	g.mu.Unlock()
	g.perform(actions)
}

// expireDrains ends drain reports that are too old to count.
func (g *Gateway) expireDrains() {
	g.mu.Lock()
	var actions []choice.Action
	if g.drains != nil {
		ids := slices.Sorted(maps.Keys(g.table.byID))
		lines := g.drains.ExpireSignals(g.clock.now(), ids)
		if len(lines) > 0 {
			actions = g.decide(choice.Event{Kind: choice.EnginesListed, List: choice.ListDelta, Engines: lines})
		}
	}
	g.mu.Unlock()
	g.perform(actions)
}

// slotIndex returns a protocol's place in the accounts of slots.
func slotIndex(protocol backend.Protocol) int {
	if protocol == backend.SPARQL {
		return 1
	}
	return 0
}

// reserveSlot takes a slot for one more job, if there is one. With two protocols a burst of one leaves the other what
// it used lately. The caller holds the lock.
func (g *Gateway) reserveSlot(protocol backend.Protocol) bool {
	limit := min(g.settings.maxJobs, g.budget.Jobs.Max())
	if len(g.jobs) >= limit {
		return false
	}
	return g.slots == nil || g.slots.Acquire(g.clock.now(), slotIndex(protocol), limit)
}

// releaseSlot returns the slot of a job. The caller holds the lock.
func (g *Gateway) releaseSlot(protocol backend.Protocol) {
	if g.slots != nil {
		g.slots.Release(slotIndex(protocol))
	}
}
