package draw

import (
	"fmt"
	"math/rand/v2"

	"swiftreel/internal/solve"
)

// threadsPerCore is what the solver counts where a problem does not say.
const threadsPerCore = 2

// machine is a size in which engines are bought.
type machine struct {
	cores    int64
	memoryMB int64
	cost     int64 // of a thread-second, in millionths of the unit of money
}

var machines = []machine{
	{cores: 16, memoryMB: 65536, cost: 12},
	{cores: 32, memoryMB: 98304, cost: 21},
	{cores: 8, memoryMB: 65536, cost: 9},
}

// Ordinary draws a fleet as it is met in practice. load is the demand as a fraction of all its threads; above 1, more
// is asked for than fits.
func Ordinary(seed uint64, engines, zones, types, tenants int, load float64) *solve.Problem {
	random := rand.New(rand.NewPCG(seed, 40))
	problem := &solve.Problem{}
	for i := range zones {
		cost := int64(10_000 + random.IntN(40_000))
		problem.Zones = append(problem.Zones, solve.Zone{Name: fmt.Sprint("zone", i), CrossingCostPerGB: cost})
	}
	threads := 0.0
	for i := range engines {
		engine := ordinaryEngine(i, zones, random)
		threads += float64(engine.Cores) * threadsPerCore
		problem.Engines = append(problem.Engines, engine)
	}
	for i := range types {
		problem.Types = append(problem.Types, ordinaryType(i, random))
	}
	for i := range tenants {
		problem.Tenants = append(problem.Tenants, ordinaryTenant(i, tenants, threads, random))
	}
	problem.Demand = ordinaryDemand(problem, threads, load, random)
	for i := range problem.Zones {
		budget := int64(2_000_000 + random.IntN(20_000_000))
		problem.Zones[i].CrossingBytesPerS = &budget
	}
	problem.Constraints.MinServed = []solve.MinServed{{Type: problem.Types[0].Name, PerMille: 300}}
	problem.Constraints.SharesHold = true
	return problem
}

func ordinaryEngine(index, zones int, random *rand.Rand) solve.Engine {
	kind := random.IntN(len(machines))
	engine := solve.Engine{
		Name:     fmt.Sprintf("e%03d", index),
		Kind:     fmt.Sprint("kind", kind),
		Zone:     fmt.Sprint("zone", random.IntN(zones)),
		Cores:    machines[kind].cores,
		MemoryMB: machines[kind].memoryMB,
		Cost:     machines[kind].cost,
	}
	if oneIn(20, random) {
		engine.State = solve.Draining
	}
	return engine
}

func ordinaryType(index int, random *rand.Rand) solve.Type {
	work := int64(200 * (1 + random.IntN(10)) << random.IntN(4))
	drawn := solve.Type{
		Name:        fmt.Sprint("type", index),
		Threads:     int64(1 << random.IntN(3)),
		MemoryMB:    int64(256 << random.IntN(5)),
		WorkMS:      work,
		Value:       work/100 + int64(random.IntN(int(work/50))),
		AnswerBytes: int64(1000 << random.IntN(10)),
	}
	if oneIn(4, random) {
		drawn.Kinds = []string{"kind0", "kind1"}
	}
	return drawn
}

// ordinaryTenant draws a tenant; all of them together may claim half of the fleet.
func ordinaryTenant(index, tenants int, fleetThreads float64, random *rand.Rand) solve.Tenant {
	tenant := solve.Tenant{Name: fmt.Sprint("tenant", index), SharePerMille: int64(500 / tenants)}
	if oneIn(3, random) {
		quota := int64(fleetThreads / float64(tenants) * (0.5 + random.Float64()))
		tenant.QuotaThreads = &quota
	}
	return tenant
}

// ordinaryDemand splits the load at random among all combinations of type, tenant and zone.
func ordinaryDemand(problem *solve.Problem, fleetThreads, load float64, random *rand.Rand) []solve.Demand {
	types, tenants := len(problem.Types), len(problem.Tenants)
	portions := make([]float64, types*tenants*len(problem.Zones))
	sum := 0.0
	for i := range portions {
		portions[i] = random.ExpFloat64()
		sum += portions[i]
	}
	var demands []solve.Demand
	for i, portion := range portions {
		jobType := problem.Types[i%types]
		demands = append(demands, solve.Demand{
			Type:         jobType.Name,
			Tenant:       problem.Tenants[i/types%tenants].Name,
			Zone:         problem.Zones[i/types/tenants].Name,
			JobsPer1000S: int64(portion / sum * fleetThreads * load * 1e6 / float64(jobType.WorkMS)),
		})
	}
	return demands
}
