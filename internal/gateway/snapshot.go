package gateway

import (
	"log/slog"
	"maps"
	"slices"

	"swiftreel/choice"
)

// EngineHealth is what the module has learned of one engine from the jobs it ran. A controller hands it to the process
// that takes over from it: the JSON keys are part of that format.
type EngineHealth struct {
	LatencyRatio float64 `json:"slow"` // latency over the best one known, 1 for a healthy engine
	FailureRate  float64 `json:"bad"`  // share of dispatches lately that failed, 0 to 1
	Ejected      bool    `json:"aside,omitempty"`
}

// TypeStats returns what the module has learned of job types, by their names.
func (g *Gateway) TypeStats() map[string]choice.TypeStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.module.TypeStats()
	byName := map[string]choice.TypeStats{}
	for name, id := range g.ids.types {
		if int(id) < len(list) {
			byName[name] = list[id]
		}
	}
	return byName
}

// EngineHealth returns what the module has learned of engines that are ready, by their names.
func (g *Gateway) EngineHealth() map[string]EngineHealth {
	g.mu.Lock()
	defer g.mu.Unlock()
	byName := map[string]EngineHealth{}
	for _, health := range g.module.EngineHealth() {
		if entry := g.table.byID[health.Engine]; entry != nil {
			byName[entry.host.Name] = EngineHealth{
				LatencyRatio: health.LatencyRatio,
				FailureRate:  health.FailureRate,
				Ejected:      health.Ejected,
			}
		}
	}
	return byName
}

// Restore gives the module what an older process of this controller has learned. Job types that the settings do not
// name and engines that no list has named are ignored; the module ignores figures that are out of range.
func (g *Gateway) Restore(types map[string]choice.TypeStats, engines map[string]EngineHealth) {
	stats := make([]choice.TypeStats, len(g.ids.types))
	for name, s := range types {
		if id, known := g.ids.types[name]; known {
			stats[id] = s
		}
	}
	health := g.moduleHealth(engines)
	g.notify(choice.Event{Kind: choice.StateTransferred, TypeStats: stats, EngineHealth: health})
	slog.Info("state_restored", "types", len(types), "engines", len(health))
}

// moduleHealth numbers the engines of a snapshot, in the order of their names.
func (g *Gateway) moduleHealth(engines map[string]EngineHealth) []choice.EngineHealth {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []choice.EngineHealth
	for _, name := range slices.Sorted(maps.Keys(engines)) {
		entry := g.table.byName[name]
		if entry == nil {
			continue
		}
		health := engines[name]
		list = append(list, choice.EngineHealth{
			Engine:       entry.id,
			LatencyRatio: health.LatencyRatio,
			FailureRate:  health.FailureRate,
			Ejected:      health.Ejected,
		})
	}
	return list
}

// EjectedEngines returns how many engines the module has ejected.
func (g *Gateway) EjectedEngines() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, engine := range g.module.EngineViews(max(g.lastTime, g.clock.now())) {
		if engine.UnavailableReason == "aside" {
			count++
		}
	}
	return count
}
