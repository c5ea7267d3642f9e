package gateway

import (
	"slices"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/discovery"
)

// goneKept is how long an engine that is gone is still known, for what was ordered there a moment before.
const goneKept = time.Minute

// listed is an engine of the list: its number, where it is, and when it was gone.
type listed struct {
	host backend.Host
	id   choice.EngineID
	line choice.EngineEntry
	gone time.Time
}

// roster numbers the engines by their host names. The numbers come from the names, so that all controllers see
// the engines in one order. An entry leaves when its engine has been gone for goneKept.
type roster struct {
	byName map[string]*listed
	byID   map[choice.EngineID]*listed
	urls   map[string]string // SPARQL endpoints by engine; nil: the protocol is off
}

func newRoster() roster {
	return roster{byName: map[string]*listed{}, byID: map[choice.EngineID]*listed{}}
}

func (r *roster) number(name string) *listed {
	l := r.byName[name]
	if l == nil {
		id := engineNumber(name)
		for r.byID[id] != nil {
			id++
		}
		l = &listed{id: id, host: backend.Host{Name: name}}
		r.byName[name], r.byID[id] = l, l
	}
	return l
}

// take applies an event and gives the lines for the module, and the names of those that are gone with it.
func (r *roster) take(ev discovery.Event, n names, now time.Time) (lines []choice.EngineEntry, gone []string) {
	for name, l := range r.byName {
		if !l.gone.IsZero() && now.Sub(l.gone) > goneKept {
			delete(r.byName, name)
			delete(r.byID, l.id)
		}
	}
	if ev.Members.Whole {
		for _, l := range r.byName {
			if l.line.State != choice.Removed {
				l.line.State, l.gone = choice.Removed, now
			}
		}
	}
	for _, e := range ev.Members.Hosts {
		l := r.number(e.Host)
		if e.Dial != "" {
			l.host.Address = e.Dial
		}
		state := choice.Draining // what is not known gets nothing new
		switch e.State {
		case "ready":
			state = choice.Ready
		case "gone":
			state = choice.Removed
		}
		if l.gone = (time.Time{}); state == choice.Removed {
			l.gone = now
		}
		l.line = choice.EngineEntry{Engine: l.id, Zone: n.zone(e.Site), Kind: n.kind(e.Kind), Cell: choice.CellID(e.Cell),
			State: state, Size: e.Size, StartedAt: choice.Nanos(e.BornMS) * 1e6, Unsupported: r.deaf(l.host)}
		lines = append(lines, l.line)
	}
	for name, l := range r.byName {
		if l.gone.Equal(now) {
			gone = append(gone, name)
		}
	}
	return lines, gone
}

// List takes an event of the feed. A whole list from the configuration may be out of date.
func (g *Gateway) List(ev discovery.Event, cached bool) {
	if ev.Members == nil {
		counters.Increment("feed_events_passed_over")
		return
	}
	kind := choice.ListDelta
	if ev.Members.Whole {
		kind = choice.FullList
		if cached {
			kind = choice.CachedList
		}
	}
	g.mu.Lock()
	lines, gone := g.roster.take(ev, g.names, time.Now())
	if g.drains != nil {
		lines = g.drains.Listed(g.clock.now(), lines)
	}
	rest := g.decide(choice.Event{Kind: choice.EnginesListed, List: kind, Engines: lines})
	g.mu.Unlock()
	g.carry(rest)
	for _, name := range gone {
		g.pool.CloseIdle(name)
	}
}

func (g *Gateway) listAll() {
	g.mu.Lock()
	ev := choice.Event{Kind: choice.EnginesListed, List: choice.FullList}
	for _, l := range g.roster.byName {
		if l.line.State != choice.Removed {
			ev.Engines = append(ev.Engines, l.line)
		}
	}
	slices.SortFunc(ev.Engines, func(a, b choice.EngineEntry) int { return int(int64(a.Engine) - int64(b.Engine)) })
	rest := g.decide(ev)
	g.mu.Unlock()
	g.carry(rest)
}
