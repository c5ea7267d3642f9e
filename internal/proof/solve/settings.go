package main

import "swiftreel/choice"

// rawSettings returns the settings of one of several controllers, in the given zone.
func rawSettings(zone, controllers int) choice.RawSettings {
	return choice.RawSettings{
		"balancers": float64(controllers),
		"me":        0.0,
		"step_ns":   5e6,
		"discovery": "automatic",
		"locality":  float64(zone),
		"classes": []any{
			rawType("repeatable", 5e8, 1, false),
			rawType("repeatable", 3e9, 10, false),
			rawType("once", 3e9, 12, true),
		},
		"domain": map[string]any{
			"class_threads":   []any{1.0, 2.0, 2.0},
			"cpu_of_kind":     []any{16.0},
			"size_mb":         []any{32000.0},
			"grants_count":    true,
			"takes_priority":  true,
			"max_grant_share": 0.4,
			"says_cost":       true,
			"memory_short":    "queue",
		},
		"limits": map[string]any{
			"most_tries":         4.0,
			"cancel":             true,
			"probes":             true,
			"retry_after":        true,
			"max_retry_after_ns": 1e9,
		},
		"tariffs": map[string]any{"cross_zone": 0.005, "probe": 0.001},
		"invariants": map[string]any{
			"answer_slack_ns": 2e7,
			"drain_grace_ns":  2.5e8,
			"start_capacity":  0.4,
			"warm_within_ns":  1e10,
			"fall_multiple":   2.0,
			"fall_ns":         1e9,
		},
		"telemetry": map[string]any{"via": "on_probe", "fields": []any{"concurrent"}},
	}
}

// rawType returns the settings of a job type.
func rawType(effect string, objectiveNS, value float64, ordered bool) map[string]any {
	return map[string]any{
		"idempotency":      effect,
		"aim_ns":           objectiveNS,
		"give_up_ns":       2e10,
		"gain":             value,
		"late_worth":       lateValue,
		"aim_stretch":      1.0,
		"key_scope":        "all",
		"repeat_window_ns": 5e9,
		"fifo_by_key":      ordered,
	}
}
