package main

import (
	"swiftreel/choice"
	"swiftreel/internal/solve"
)

// runOnceType is the index of the type whose jobs run once.
const runOnceType = 2

// rawClass is the settings of a reservation type.
func rawClass(idempotency string, objectiveNS, value float64, ordered bool) map[string]any {
	return map[string]any{"idempotency": idempotency, "aim_ns": objectiveNS, "give_up_ns": 2e10, "gain": value,
		"late_worth": lateValue, "aim_stretch": 1.0, "key_scope": "all", "repeat_window_ns": 5e9, "fifo_by_key": ordered}
}

// rawSettings are those of a controller in a zone, one of a fleet.
func rawSettings(zone, controllers int) choice.RawSettings {
	return choice.RawSettings{
		"balancers": float64(controllers), "me": 0.0, "step_ns": 5e6, "discovery": "automatic", "locality": float64(zone),
		"classes": []any{
			rawClass("repeatable", 5e8, 1, false),
			rawClass("repeatable", 3e9, 10, false),
			rawClass("once", 3e9, 12, true),
		},
		"domain": map[string]any{"class_threads": []any{1.0, 2.0, 2.0}, "cpu_of_kind": []any{16.0},
			"size_mb": []any{32000.0}, "grants_count": true, "takes_priority": true, "max_grant_share": 0.4,
			"says_cost": true, "memory_short": "queue"},
		"limits": map[string]any{"most_tries": 4.0, "cancel": true, "probes": true, "retry_after": true,
			"max_retry_after_ns": 1e9},
		"tariffs": map[string]any{"cross_zone": 0.005, "probe": 0.001},
		"invariants": map[string]any{"answer_slack_ns": 2e7, "drain_grace_ns": 2.5e8, "start_capacity": 0.4,
			"warm_within_ns": 1e10, "fall_multiple": 2.0, "fall_ns": 1e9},
		"telemetry": map[string]any{"via": "on_probe", "fields": []any{"concurrent"}},
	}
}

// maxDemandRatio is how far demand may be off before a plan is not followed.
const maxDemandRatio = 3

// engineID is the number of an engine of a problem of this program: e0 is 0.
func engineID(name string) choice.EngineID { return choice.EngineID(name[1] - '0') }

// planForZone puts a step into the module's form for a controller in a zone.
func planForZone(problem *solve.Problem, step *solve.Step, zone int) *choice.Plan {
	plan := &choice.Plan{MaxDemandRatio: maxDemandRatio}
	for i, share := range step.Shares {
		tenant := choice.PlanTenant{Tenant: choice.TenantID(i), Share: float64(share.PerMillion) / 1e6}
		plan.Tenants = append(plan.Tenants, tenant)
	}
	for _, used := range step.Use {
		if used.Threads > 0 {
			plan.Engines = append(plan.Engines, choice.PlanEngine{Engine: engineID(used.Engine), Threads: float64(used.Threads)})
		} else {
			plan.IdleEngines = append(plan.IdleEngines, engineID(used.Engine))
		}
	}
	plan.Weights = weightsForZone(problem, step, problem.Zones[zone].Name)
	for _, served := range step.Served {
		plan.DemandThreads += float64(served.Requested)
	}
	return plan
}

// weightsForZone are the weights of a zone, in parts of the greatest of each type.
func weightsForZone(problem *solve.Problem, step *solve.Step, zone string) []choice.PlanWeight {
	greatest := map[string]int64{}
	for _, w := range step.Weights {
		if w.Zone == zone {
			greatest[w.Type] = max(greatest[w.Type], w.PerMillion)
		}
	}
	var weights []choice.PlanWeight
	for _, w := range step.Weights {
		for i, t := range problem.Types {
			if t.Name == w.Type && w.Zone == zone {
				weights = append(weights, choice.PlanWeight{Type: choice.TypeID(i), Engine: engineID(w.Engine),
					Weight: float64(w.PerMillion) / float64(greatest[w.Type])})
			}
		}
	}
	return weights
}
