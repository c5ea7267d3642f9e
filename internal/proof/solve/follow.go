package main

import (
	"fmt"
	"time"

	"swiftreel/internal/solve"
)

// follow compares, in virtual time and through the module itself, a fleet of two zones whose demand is skewed: without
// a plan, with one worked out for it, and with one worked out for the opposite skew and another fleet.
func follow() {
	fits, stale := town(800), town(200)
	stale.Engines = stale.Engines[:5]
	plan := func(p *solve.Problem) *solve.Step {
		began := time.Now()
		a := solve.Solve(p, solve.Options{Stop: func(k int) bool { return time.Since(began) > time.Second*time.Duration(k)/1000 }})
		return &a.Steps[0]
	}
	ways := []struct {
		name string
		plan *solve.Step
	}{{"without", nil}, {"with its plan", plan(fits)}, {"with a stale plan", plan(stale)}}
	fmt.Println("\nthe module in virtual time, 8 simulated servers in two zones, 4 controllers, four fifths of the demand in one zone,")
	fmt.Println("60 s, mean of 4 seeds; the stale plan is for the opposite skew and five of the eight servers:")
	fmt.Println("  plan                billed value   on time   crossing MB   throttled   broken rules")
	var value, crossing [3]float64
	for i, w := range ways {
		var sum tally
		for seed := range uint64(4) {
			sum.add(play(fits, w.plan, seed))
		}
		value[i], crossing[i] = sum.value/4, sum.crossing/4e6
		fmt.Printf("  %-18s  %12.0f   %6.2f%%   %11.1f   %9d   %12d\n", w.name, value[i], 100*float64(sum.onTime)/float64(sum.taken), crossing[i], sum.throttled/4, sum.broken)
		if sum.broken > 0 {
			fail("%s: %d broken rules, the first: %s", w.name, sum.broken, sum.first)
		}
	}
	if value[1] < 0.98*value[0] || crossing[1] > 0.9*crossing[0] {
		fail("a plan that fits brings no more than none: value %.0f of %.0f, crossing %.1f of %.1f MB", value[1], value[0], crossing[1], crossing[0])
	}
	if value[2] < 0.97*value[0] {
		fail("a stale plan costs value: %.0f of %.0f", value[2], value[0])
	}
}

// town is eight engines in two zones, and so many per mille of the demand in the first.
func town(first int64) *solve.Problem {
	p := &solve.Problem{Zones: []solve.Zone{{Name: "east", CrossingCostPerGB: 1_000_000}, {Name: "west", CrossingCostPerGB: 1_000_000}},
		Tenants: []solve.Tenant{{Name: "acme"}, {Name: "bolt"}},
		Types: []solve.Type{{Name: "lookup", Threads: 1, MemoryMB: 100, WorkMS: 100, Value: 1, AnswerBytes: 20_000, SLATimeMS: 500},
			{Name: "report", Threads: 2, MemoryMB: 400, WorkMS: 2000, Value: 10, AnswerBytes: 4_000_000, SLATimeMS: 3000},
			{Name: "import", Threads: 2, MemoryMB: 400, WorkMS: 1000, Value: 12, AnswerBytes: 1000, SLATimeMS: 3000}}}
	for i := range 8 {
		p.Engines = append(p.Engines, solve.Engine{Name: fmt.Sprint("e", i), Kind: "std", Zone: p.Zones[i%2].Name, Cores: 16, MemoryMB: 32000})
	}
	// threads asked for by type, of 128 cores
	for t, threads := range []int64{25, 50, 20} {
		for z, part := range []int64{first, 1000 - first} {
			for a, share := range []int64{600, 400} {
				p.Demand = append(p.Demand, solve.Demand{Type: p.Types[t].Name, Tenant: p.Tenants[a].Name, Zone: p.Zones[z].Name,
					JobsPer1000S: threads * part * share / p.Types[t].WorkMS})
			}
		}
	}
	return p
}
