package gateway

import (
	"maps"
	"slices"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/sparql/decide"
)

// The module's bits for protocols. One machine that runs engines of several is one engine to the module: its threads,
// memory, load, warm-up and drain count once, whatever protocol a job comes over.
const (
	speechLine choice.Protocols = 1 << iota
	speechSPARQL
)

// needs are those that a job's engine must speak.
func needs(p backend.Protocol) choice.Protocols {
	if p == backend.SPARQL {
		return speechSPARQL
	}
	return speechLine
}

// deaf are those that an engine does not speak. Where SPARQL is off nothing is said: no job needs it, and an engine
// without an address was always taken as one that cannot be reached.
func (r *roster) deaf(h backend.Host) (d choice.Protocols) {
	if r.urls == nil {
		return 0
	}
	if r.urls[h.Name] == "" {
		d |= speechSPARQL
	}
	if h.Address == "" {
		d |= speechLine
	}
	return d
}

// reached is where an engine is by a protocol.
func (r *roster) reached(l *listed, by backend.Protocol) backend.Host {
	if by == backend.SPARQL {
		return backend.Host{Name: l.host.Name, Address: r.urls[l.host.Name], Protocol: by}
	}
	return l.host
}

// drainStale is for how long an engine's own word that it drains counts without another: the list has followed by then.
const drainStale = choice.Nanos(20e9)

// Endpoints says where engines are reached over SPARQL, by their names. It comes before any list.
func (g *Gateway) Endpoints(urls map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.urls, g.drains, g.guard = urls, decide.NewDrain(drainStale), decide.NewGuard(2)
}

// Heard takes what an engine says of itself, which the list may not say, or not yet.
func (g *Gateway) Heard(name string, w decide.Word) {
	g.mu.Lock()
	var rest []choice.Action
	if l := g.roster.byName[name]; l != nil && g.drains != nil {
		if line, changed := g.drains.Said(g.clock.now(), l.id, w); changed {
			counters.Increment("drains_heard")
			rest = g.decide(choice.Event{Kind: choice.EnginesListed, List: choice.ListDelta, Engines: []choice.EngineEntry{line}})
		}
	}
	g.mu.Unlock()
	g.carry(rest)
}

// drainsPass lets own words grow old.
func (g *Gateway) drainsPass() {
	g.mu.Lock()
	var rest []choice.Action
	if g.drains != nil {
		ids := slices.Sorted(maps.Keys(g.roster.byID))
		if lines := g.drains.Pass(g.clock.now(), ids); len(lines) > 0 {
			rest = g.decide(choice.Event{Kind: choice.EnginesListed, List: choice.ListDelta, Engines: lines})
		}
	}
	g.mu.Unlock()
	g.carry(rest)
}

// lane is a protocol's place in the guard.
func lane(p backend.Protocol) int {
	if p == backend.SPARQL {
		return 1
	}
	return 0
}

// place takes a place for one more job. With two protocols a burst of one leaves the other what it used of late. The
// lock is held.
func (g *Gateway) place(p backend.Protocol) bool {
	most := min(g.rules.open, g.parts.Jobs.Most())
	return len(g.jobs) < most && (g.guard == nil || g.guard.Take(g.clock.now(), lane(p), most))
}
