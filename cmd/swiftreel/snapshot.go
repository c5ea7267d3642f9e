package main

import (
	"encoding/json"
	"log/slog"

	"swiftreel/choice"
	"swiftreel/internal/gateway"
	"swiftreel/internal/operator"
)

// restoreSnapshot restores in the gateway the statistics that a predecessor process has learned, which a supervisor
// passes on in the operator's file. A snapshot that is damaged or of another version is ignored: its statistics are
// learned again from jobs.
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
	gate.Restore(types, decodeEngineHealth(options.EngineHealth))
}

// decodeEngineHealth decodes the engine health of a snapshot. It returns nil if the format is unknown.
func decodeEngineHealth(text json.RawMessage) map[string]gateway.EngineHealth {
	if len(text) == 0 {
		return nil
	}
	var engines map[string]gateway.EngineHealth
	if json.Unmarshal(text, &engines) != nil {
		return nil
	}
	return engines
}
