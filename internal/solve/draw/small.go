package draw

import (
	"fmt"
	"math/rand/v2"

	"swiftreel/internal/solve"
)

// The greatest size of a small problem, which trying all answers can still handle.
const (
	maxSmallEngines = 6
	maxSmallTypes   = 4
	maxSmallTenants = 2
	maxSmallZones   = 2
	maxSmallKinds   = 2
	maxSmallDemands = 6
)

// Small draws a problem of up to six engines and four types. It is small enough to be solved by trying all answers.
func Small(random *rand.Rand) *solve.Problem {
	problem := &solve.Problem{ThreadsPerCore: 1}
	kindCount := 1 + random.IntN(maxSmallKinds)
	zoneCount := 1 + random.IntN(maxSmallZones)
	for i := range zoneCount {
		problem.Zones = append(problem.Zones, smallZone(i, random))
	}
	for i := range 1 + random.IntN(maxSmallEngines) {
		engine := smallEngine(i, kindCount, zoneCount, random)
		problem.Engines = append(problem.Engines, varySmallEngine(engine, problem.Engines, random))
	}
	for i := range 1 + random.IntN(maxSmallTypes) {
		problem.Types = append(problem.Types, smallType(i, random))
	}
	for i := range 1 + random.IntN(maxSmallTenants) {
		problem.Tenants = append(problem.Tenants, smallTenant(i, random))
	}
	problem.Demand = smallDemand(problem, random)
	problem.Constraints = smallConstraints(problem, random)
	return problem
}

func smallZone(index int, random *rand.Rand) solve.Zone {
	zone := solve.Zone{Name: fmt.Sprint("z", index), CrossingCostPerGB: int64(random.IntN(3) * 400_000)}
	if oneIn(3, random) {
		budget := int64(random.IntN(40) * 100)
		zone.CrossingBytesPerS = &budget
	}
	return zone
}

func smallEngine(index, kindCount, zoneCount int, random *rand.Rand) solve.Engine {
	return solve.Engine{
		Name:     fmt.Sprint("e", index),
		Kind:     fmt.Sprint("k", random.IntN(kindCount)),
		Zone:     fmt.Sprint("z", random.IntN(zoneCount)),
		Cores:    int64(1 + random.IntN(3)),
		MemoryMB: int64(100 * (1 + random.IntN(6))),
		Cost:     int64(random.IntN(4)),
	}
}

// varySmallEngine makes an engine equal to the one before it, draining or warming up, or leaves it as it is.
func varySmallEngine(engine solve.Engine, earlier []solve.Engine, random *rand.Rand) solve.Engine {
	switch {
	case len(earlier) > 0 && oneIn(2, random):
		twin := earlier[len(earlier)-1]
		twin.Name = engine.Name
		return twin
	case oneIn(6, random):
		engine.State = solve.Draining
	case oneIn(6, random):
		engine.State = solve.Started
		engine.CapacityPerMille = int64(random.IntN(1000))
		engine.WarmInMS = 4000
	}
	return engine
}

func smallType(index int, random *rand.Rand) solve.Type {
	drawn := solve.Type{
		Name:        fmt.Sprint("t", index),
		Threads:     int64(1 + random.IntN(2)),
		MemoryMB:    int64(50 * random.IntN(8)),
		WorkMS:      int64(100 * (1 + random.IntN(20))),
		Value:       int64(1 + random.IntN(9)),
		AnswerBytes: int64(random.IntN(4) * 300),
	}
	if oneIn(4, random) {
		drawn.Kinds = []string{fmt.Sprint("k", random.IntN(maxSmallKinds))}
	}
	if oneIn(6, random) {
		drawn.Zones = []string{"z0"}
	}
	return drawn
}

func smallTenant(index int, random *rand.Rand) solve.Tenant {
	tenant := solve.Tenant{Name: fmt.Sprint("a", index), SharePerMille: int64(random.IntN(500))}
	if oneIn(4, random) {
		quota := int64(random.IntN(6))
		tenant.QuotaThreads = &quota
	}
	return tenant
}

// smallDemand draws jobs for about half of all combinations of type, tenant and zone.
func smallDemand(problem *solve.Problem, random *rand.Rand) []solve.Demand {
	var demands []solve.Demand
	add := func(jobType solve.Type, tenant, zone string) {
		if !oneIn(2, random) || len(demands) >= maxSmallDemands {
			return
		}
		jobs := int64(random.IntN(3000)) * 1000 / jobType.WorkMS
		demands = append(demands, solve.Demand{Type: jobType.Name, Tenant: tenant, Zone: zone, JobsPer1000S: jobs})
	}
	for _, jobType := range problem.Types {
		for _, tenant := range problem.Tenants {
			for _, zone := range problem.Zones {
				add(jobType, tenant.Name, zone.Name)
			}
		}
	}
	return demands
}

func smallConstraints(problem *solve.Problem, random *rand.Rand) solve.Constraints {
	var constraints solve.Constraints
	if random.IntN(5) < 3 {
		jobType := problem.Types[random.IntN(len(problem.Types))]
		minServed := solve.MinServed{Type: jobType.Name, PerMille: int64(random.IntN(1001))}
		constraints.MinServed = append(constraints.MinServed, minServed)
	}
	if oneIn(3, random) {
		tenant := problem.Tenants[random.IntN(len(problem.Tenants))]
		minServed := solve.MinServed{Tenant: tenant.Name, PerMille: int64(random.IntN(1001))}
		constraints.MinServed = append(constraints.MinServed, minServed)
	}
	constraints.SharesHold = oneIn(4, random)
	if oneIn(4, random) {
		cost := int64(random.IntN(20))
		constraints.MaxCost = &cost
	}
	if oneIn(4, random) {
		perMille := int64(300 + random.IntN(700))
		constraints.MaxUsePerMille = &perMille
	}
	if oneIn(5, random) {
		constraints.FitsWithout = []string{[]string{"any engine", "zone z0"}[random.IntN(2)]}
	}
	return constraints
}
