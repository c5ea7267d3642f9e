package main

import (
	"fmt"
	"time"

	"swiftreel/internal/solve"
)

const (
	followSeeds = 4
	solveTime   = time.Second

	minValueWithPlan = 0.98 // of the value without a plan
	maxCrossing      = 0.9  // of the bytes that cross zones without one
	minValueStale    = 0.97 // of the value without a plan
)

// followed is a plan, and what came of it in the mean of all seeds.
type followed struct {
	name       string
	plan       *solve.Step // nil: none
	sum        counts
	value      float64
	crossingMB float64
}

// comparePlans compares, in virtual time and through the module itself, a fleet of two zones whose demand is skewed:
// without a plan, with one worked out for it, and with one worked out for the opposite skew and another fleet.
func comparePlans() {
	fits, stale := skewedProblem(800), skewedProblem(200)
	stale.Engines = stale.Engines[:5]
	ways := []*followed{
		{name: "without"},
		{name: "with its plan", plan: solveStep(fits)},
		{name: "with a stale plan", plan: solveStep(stale)},
	}
	fmt.Println("\nthe module in virtual time, 8 simulated servers in two zones, 4 controllers, " +
		"four fifths of the demand in one zone,")
	fmt.Println("60 s, mean of 4 seeds; the stale plan is for the opposite skew and five of the eight servers:")
	fmt.Println("  plan                billed value   on time   crossing MB   throttled   broken rules")
	for _, w := range ways {
		w.play(fits)
	}
	without, with, withStale := ways[0], ways[1], ways[2]
	if with.value < minValueWithPlan*without.value || with.crossingMB > maxCrossing*without.crossingMB {
		fail("a plan that fits brings no more than none: value %.0f of %.0f, crossing %.1f of %.1f MB",
			with.value, without.value, with.crossingMB, without.crossingMB)
	}
	if withStale.value < minValueStale*without.value {
		fail("a stale plan costs value: %.0f of %.0f", withStale.value, without.value)
	}
}

// play plays all seeds and prints what came of them.
func (f *followed) play(problem *solve.Problem) {
	for seed := range uint64(followSeeds) {
		f.sum.add(simulate(problem, f.plan, seed))
	}
	f.value = f.sum.value / followSeeds
	f.crossingMB = f.sum.crossingBytes / followSeeds / 1e6
	fmt.Printf("  %-18s  %12.0f   %6.2f%%   %11.1f   %9d   %12d\n", f.name, f.value,
		100*float64(f.sum.onTime)/float64(f.sum.jobs), f.crossingMB, f.sum.throttled/followSeeds, f.sum.ruleFaults)
	if f.sum.ruleFaults > 0 {
		fail("%s: %d broken rules, the first: %s", f.name, f.sum.ruleFaults, f.sum.firstFault)
	}
}

// solveStep is the first step of a problem's answer.
func solveStep(problem *solve.Problem) *solve.Step {
	answer, _, _ := timed(problem, solveTime)
	return &answer.Steps[0]
}

// skewedProblem is eight engines in two zones, and so many per mille of the demand in the first.
func skewedProblem(firstPerMille int64) *solve.Problem {
	problem := &solve.Problem{
		Zones:   []solve.Zone{{Name: "east", CrossingCostPerGB: 1_000_000}, {Name: "west", CrossingCostPerGB: 1_000_000}},
		Tenants: []solve.Tenant{{Name: "acme"}, {Name: "bolt"}},
		Types: []solve.Type{
			{Name: "lookup", Threads: 1, MemoryMB: 100, WorkMS: 100, Value: 1, AnswerBytes: 20_000, SLATimeMS: 500},
			{Name: "report", Threads: 2, MemoryMB: 400, WorkMS: 2000, Value: 10, AnswerBytes: 4_000_000, SLATimeMS: 3000},
			{Name: "import", Threads: 2, MemoryMB: 400, WorkMS: 1000, Value: 12, AnswerBytes: 1000, SLATimeMS: 3000},
		},
	}
	for i := range 8 {
		problem.Engines = append(problem.Engines, solve.Engine{Name: fmt.Sprint("e", i), Kind: "std",
			Zone: problem.Zones[i%2].Name, Cores: simulatedCores, MemoryMB: 32000})
	}
	requested := []int64{25, 50, 20} // threads by type, of 128 cores
	for t, threads := range requested {
		for z, zonePerMille := range []int64{firstPerMille, 1000 - firstPerMille} {
			for a, tenantPerMille := range []int64{600, 400} {
				problem.Demand = append(problem.Demand, solve.Demand{Type: problem.Types[t].Name,
					Tenant: problem.Tenants[a].Name, Zone: problem.Zones[z].Name,
					JobsPer1000S: threads * zonePerMille * tenantPerMille / problem.Types[t].WorkMS})
			}
		}
	}
	return problem
}
