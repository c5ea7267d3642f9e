package draw

import (
	"fmt"
	"math/rand/v2"

	"swiftreel/internal/solve"
)

const (
	ordinarySequence = 40 // second seed of the random source
	threadsPerCore   = 2
)

// engineKinds are the kinds of engines in an ordinary fleet.
var engineKinds = []solve.Engine{
	{Kind: "kind0", Cores: 16, MemoryMB: 65536, Cost: 12},
	{Kind: "kind1", Cores: 32, MemoryMB: 98304, Cost: 21},
	{Kind: "kind2", Cores: 8, MemoryMB: 65536, Cost: 9},
}

// ordinaryDraw generates the parts of an ordinary problem in a fixed order.
type ordinaryDraw struct {
	random  *rand.Rand
	problem *solve.Problem
	threads float64 // of all engines
}

// Ordinary generates a typical fleet. load is the demand as a fraction of all its threads.
func Ordinary(seed uint64, engines, zones, types, tenants int, load float64) *solve.Problem {
	d := ordinaryDraw{random: rand.New(rand.NewPCG(seed, ordinarySequence)), problem: &solve.Problem{}}
	for i := range zones {
		zone := solve.Zone{Name: fmt.Sprint("zone", i), CrossingCostPerGB: int64(10_000 + d.random.IntN(40_000))}
		d.problem.Zones = append(d.problem.Zones, zone)
	}
	for i := range engines {
		d.drawEngine(i)
	}
	for i := range types {
		d.drawType(i)
	}
	for i := range tenants {
		d.drawTenant(i, tenants)
	}
	d.drawDemand(load)
	for i := range d.problem.Zones {
		budget := int64(2_000_000 + d.random.IntN(20_000_000))
		d.problem.Zones[i].CrossingBytesPerS = &budget
	}
	d.problem.Constraints.MinServed = []solve.MinServed{{Type: d.problem.Types[0].Name, PerMille: 300}}
	d.problem.Constraints.EnforceShares = true
	return d.problem
}

func (d *ordinaryDraw) drawEngine(i int) {
	engine := engineKinds[d.random.IntN(len(engineKinds))]
	engine.Name = fmt.Sprintf("e%03d", i)
	engine.Zone = d.problem.Zones[d.random.IntN(len(d.problem.Zones))].Name
	if d.random.IntN(20) == 0 {
		engine.State = solve.Draining
	}
	d.threads += float64(engine.Cores) * threadsPerCore
	d.problem.Engines = append(d.problem.Engines, engine)
}

func (d *ordinaryDraw) drawType(i int) {
	work := int64(200 * (1 + d.random.IntN(10)) << d.random.IntN(4))
	t := solve.Type{
		Name:        fmt.Sprint("type", i),
		Threads:     int64(1 << d.random.IntN(3)),
		MemoryMB:    int64(256 << d.random.IntN(5)),
		WorkMS:      work,
		Value:       work/100 + int64(d.random.IntN(int(work/50))),
		AnswerBytes: int64(1000 << d.random.IntN(10)),
	}
	if d.random.IntN(4) == 0 {
		t.Kinds = []string{"kind0", "kind1"}
	}
	d.problem.Types = append(d.problem.Types, t)
}

func (d *ordinaryDraw) drawTenant(i, tenants int) {
	tenant := solve.Tenant{Name: fmt.Sprint("tenant", i), SharePerMille: int64(500 / tenants)}
	if d.random.IntN(3) == 0 {
		quota := int64(d.threads / float64(tenants) * (0.5 + d.random.Float64()))
		tenant.QuotaThreads = &quota
	}
	d.problem.Tenants = append(d.problem.Tenants, tenant)
}

// drawDemand distributes the load randomly among types, tenants and zones.
func (d *ordinaryDraw) drawDemand(load float64) {
	p := d.problem
	types := len(p.Types)
	tenants := len(p.Tenants)
	parts := make([]float64, types*tenants*len(p.Zones))
	sum := 0.0
	for i := range parts {
		parts[i] = d.random.ExpFloat64()
		sum += parts[i]
	}
	for i, part := range parts {
		t := p.Types[i%types]
		p.Demand = append(p.Demand, solve.Demand{
			Type:         t.Name,
			Tenant:       p.Tenants[i/types%tenants].Name,
			Zone:         p.Zones[i/types/tenants].Name,
			JobsPer1000S: int64(part / sum * d.threads * load * 1e6 / float64(t.WorkMS)),
		})
	}
}
