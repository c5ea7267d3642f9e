package gateway

import (
	"log/slog"
	"maps"
	"slices"

	"swiftreel/choice"
)

// EngineHealth is the module's health estimate of an engine, learned from the jobs that it ran. A controller passes it
// to its successor process: the JSON keys are part of the state transfer format.
type EngineHealth struct {
	LatencyRatio float64 `json:"slow"` // latency relative to the best known one; 1 for a healthy engine
	FailureRate  float64 `json:"bad"`  // share of recent dispatches that failed, from 0 to 1
	Ejected      bool    `json:"aside,omitempty"`
}

// TypeStats returns the statistics that the module has learned of job types, by type name.
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

// EngineHealth returns the module's health estimates of ready engines, by engine name.
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

// Restore passes the statistics and health estimates of a predecessor process to the module. Job types that are not in
// the settings and engines that are not in the table are ignored. The module ignores values that are out of range.
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

// moduleHealth converts the engines of a snapshot to the module's representation, in the order of their names.
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

// EjectedEngines returns the number of engines that the module has ejected.
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
