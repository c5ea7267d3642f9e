package main

import (
	"swiftreel/choice"
	"swiftreel/internal/solve"
)

// maxDemandRatio is the largest ratio between actual and planned demand at which controllers follow the plan.
const maxDemandRatio = 3

// controllerPlan converts a step of a plan for a controller in the given zone. Engine names must be a letter and a
// digit; the digit is the engine's ID.
func controllerPlan(problem *solve.Problem, step *solve.Step, zone int) *choice.Plan {
	plan := &choice.Plan{MaxDemandRatio: maxDemandRatio}
	for i, share := range step.Shares {
		tenant := choice.PlanTenant{Tenant: choice.TenantID(i), Share: float64(share.PerMillion) / 1e6}
		plan.Tenants = append(plan.Tenants, tenant)
	}
	for _, use := range step.Use {
		engine := engineID(use.Engine)
		if use.Threads > 0 {
			planned := choice.PlanEngine{Engine: engine, Threads: float64(use.Threads)}
			plan.Engines = append(plan.Engines, planned)
		} else {
			plan.IdleEngines = append(plan.IdleEngines, engine)
		}
	}
	plan.Weights = zoneWeights(problem, step, problem.Zones[zone].Name)
	for _, served := range step.Served {
		plan.DemandThreads += float64(served.Requested)
	}
	return plan
}

func engineID(name string) choice.EngineID { return choice.EngineID(name[1] - '0') }

// zoneWeights returns the weights for jobs from a zone, each relative to the largest weight of its type.
func zoneWeights(problem *solve.Problem, step *solve.Step, zone string) []choice.PlanWeight {
	maxByType := map[string]int64{}
	for _, weight := range step.Weights {
		if weight.Zone == zone {
			maxByType[weight.Type] = max(maxByType[weight.Type], weight.PerMillion)
		}
	}
	var weights []choice.PlanWeight
	for _, weight := range step.Weights {
		if weight.Zone != zone {
			continue
		}
		for i, jobType := range problem.Types {
			if jobType.Name != weight.Type {
				continue
			}
			weights = append(weights, choice.PlanWeight{
				Type:   choice.TypeID(i),
				Engine: engineID(weight.Engine),
				Weight: float64(weight.PerMillion) / float64(maxByType[weight.Type]),
			})
		}
	}
	return weights
}
