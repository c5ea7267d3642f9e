package main

import (
	"fmt"
	"time"

	"swiftreel/internal/proof"
	"swiftreel/internal/solve"
)

const (
	effectSeeds        = 4
	effectSolveTime    = time.Second
	minFittingValue    = 0.98 // as a fraction of the value billed without a plan
	maxFittingCrossing = 0.9
	minStaleValue      = 0.97
	staleEngineCount   = 5
)

// planEffect is what the controllers achieve with a plan, as the mean over all seeds.
type planEffect struct {
	value       float64
	crossingMB  float64
	throttled   int
	onTimeShare float64 // fraction of all jobs that arrived
}

// checkPlanEffect simulates a fleet of two zones with skewed demand, in virtual time and with the real decision module.
// It compares the results without a plan, with the plan for this fleet, and with a stale plan for the opposite skew and
// a smaller fleet.
func checkPlanEffect(report *proof.Report) {
	fleet := twoZoneFleet(800)
	staleFleet := twoZoneFleet(200)
	staleFleet.Engines = staleFleet.Engines[:staleEngineCount]
	fittingPlan := firstStep(fleet)
	stalePlan := firstStep(staleFleet)
	fmt.Println("\nthe module in virtual time, 8 simulated servers in two zones, 4 controllers, " +
		"four fifths of the demand in one zone,")
	fmt.Println("60 s, mean of 4 seeds; the stale plan is for the opposite skew and five of the eight servers:")
	fmt.Println("  plan                billed value   on time   crossing MB   throttled   broken rules")
	without := measurePlanEffect(report, "without", fleet, nil)
	fitting := measurePlanEffect(report, "with its plan", fleet, fittingPlan)
	stale := measurePlanEffect(report, "with a stale plan", fleet, stalePlan)
	if fitting.value < minFittingValue*without.value || fitting.crossingMB > maxFittingCrossing*without.crossingMB {
		report.Failf("a plan that fits brings no more than none: value %.0f of %.0f, crossing %.1f of %.1f MB",
			fitting.value, without.value, fitting.crossingMB, without.crossingMB)
	}
	if stale.value < minStaleValue*without.value {
		report.Failf("a stale plan costs value: %.0f of %.0f", stale.value, without.value)
	}
}

func firstStep(problem *solve.Problem) *solve.Step {
	answer := solve.Solve(problem, solve.Options{Stop: stopAfter(effectSolveTime)})
	return &answer.Steps[0]
}

// measurePlanEffect simulates a fleet with each seed and prints a line of the table.
func measurePlanEffect(report *proof.Report, name string, fleet *solve.Problem, plan *solve.Step) planEffect {
	var sum outcomes
	for seed := range uint64(effectSeeds) {
		sum.add(simulate(fleet, plan, seed))
	}
	effect := planEffect{
		value:       sum.value / effectSeeds,
		crossingMB:  sum.crossingBytes / (effectSeeds * 1e6),
		throttled:   sum.throttled / effectSeeds,
		onTimeShare: float64(sum.onTime) / float64(sum.arrived),
	}
	fmt.Printf("  %-18s  %12.0f   %6.2f%%   %11.1f   %9d   %12d\n",
		name, effect.value, 100*effect.onTimeShare, effect.crossingMB, effect.throttled, sum.violations)
	if sum.violations > 0 {
		report.Failf("%s: %d broken rules, the first: %s", name, sum.violations, sum.firstViolation)
	}
	return effect
}

// Index of a type in twoZoneFleet, and sizes of that fleet.
const (
	importType  = 2 // index of the run-once type
	zoneCount   = 2
	engineCount = 8
	engineCores = 16
)

// twoZoneFleet returns a fleet of eight engines in two zones, with firstZonePerMille of the demand in the first zone.
func twoZoneFleet(firstZonePerMille int64) *solve.Problem {
	problem := &solve.Problem{
		Zones: []solve.Zone{
			{Name: "east", CrossingCostPerGB: 1_000_000},
			{Name: "west", CrossingCostPerGB: 1_000_000},
		},
		Tenants: []solve.Tenant{{Name: "acme"}, {Name: "bolt"}},
		Types: []solve.Type{
			{Name: "lookup", Threads: 1, MemoryMB: 100, WorkMS: 100, Value: 1, AnswerBytes: 20_000, SLATimeMS: 500},
			{Name: "report", Threads: 2, MemoryMB: 400, WorkMS: 2000, Value: 10, AnswerBytes: 4_000_000, SLATimeMS: 3000},
			{Name: "import", Threads: 2, MemoryMB: 400, WorkMS: 1000, Value: 12, AnswerBytes: 1000, SLATimeMS: 3000},
		},
	}
	for i := range engineCount {
		problem.Engines = append(problem.Engines, solve.Engine{
			Name:     fmt.Sprint("e", i),
			Kind:     "std",
			Zone:     problem.Zones[i%zoneCount].Name,
			Cores:    engineCores,
			MemoryMB: 32000,
		})
	}
	problem.Demand = twoZoneDemand(problem, firstZonePerMille)
	return problem
}

func twoZoneDemand(problem *solve.Problem, firstZonePerMille int64) []solve.Demand {
	threadsByType := []int64{25, 50, 20} // the fleet has 128 cores
	perMilleByZone := []int64{firstZonePerMille, 1000 - firstZonePerMille}
	perMilleByTenant := []int64{600, 400}
	var demands []solve.Demand
	for t, threads := range threadsByType {
		jobType := problem.Types[t]
		for z, zonePerMille := range perMilleByZone {
			for a, tenantPerMille := range perMilleByTenant {
				demands = append(demands, solve.Demand{
					Type:         jobType.Name,
					Tenant:       problem.Tenants[a].Name,
					Zone:         problem.Zones[z].Name,
					JobsPer1000S: threads * zonePerMille * tenantPerMille / jobType.WorkMS,
				})
			}
		}
	}
	return demands
}
