package main

import (
	"encoding/json"
	"log/slog"

	"swiftreel/choice"
	"swiftreel/internal/gateway"
	"swiftreel/internal/operator"
)

// restoreSnapshot gives the gateway what an older process of this controller has learned, as the operator's file hands
// it over. A snapshot of another version, or a damaged one, is ignored: what it holds is learned again from jobs.
func restoreSnapshot(options *operator.Stats, gate *gateway.Gateway) {
	if options == nil || len(options.TypeStats) == 0 {
		return
	}
	if testHooks.ignoreSnapshot != nil && testHooks.ignoreSnapshot() {
		return
	}
	var types map[string]choice.TypeStats
	if err := json.Unmarshal(options.TypeStats, &types); err != nil {
		slog.Warn("state_not_restored", "reason", err)
		return
	}
	gate.Restore(types, engineHealth(options.EngineHealth))
}

// engineHealth reads the part of a snapshot on engines; nil if it has another form.
func engineHealth(text json.RawMessage) map[string]gateway.EngineHealth {
	if len(text) == 0 {
		return nil
	}
	var engines map[string]gateway.EngineHealth
	if json.Unmarshal(text, &engines) != nil {
		return nil
	}
	return engines
}
