// Package draw makes fleets up, the same from the same seed, for tests and proofs of the solver.
package draw

import (
	"fmt"
	"math/rand/v2"

	"swiftreel/internal/solve"
)

// Small draws a problem that can be tried out: up to six engines and four types.
func Small(r *rand.Rand) *solve.Problem {
	p := &solve.Problem{ThreadsPerCore: 1}
	kinds, zones := 1+r.IntN(2), 1+r.IntN(2)
	for z := range zones {
		zone := solve.Zone{Name: fmt.Sprint("z", z), CrossingCostPerGB: int64(r.IntN(3) * 400_000)}
		if r.IntN(3) == 0 {
			b := int64(r.IntN(40) * 100)
			zone.CrossingBytesPerS = &b
		}
		p.Zones = append(p.Zones, zone)
	}
	for e := range 1 + r.IntN(6) {
		n := solve.Engine{
			Name:     fmt.Sprint("e", e),
			Kind:     fmt.Sprint("k", r.IntN(kinds)),
			Zone:     fmt.Sprint("z", r.IntN(zones)),
			Cores:    int64(1 + r.IntN(3)),
			MemoryMB: int64(100 * (1 + r.IntN(6))),
			Cost:     int64(r.IntN(4)),
		}
		if e > 0 && r.IntN(2) == 0 {
			like := p.Engines[e-1]
			like.Name = n.Name
			n = like
		} else if r.IntN(6) == 0 {
			n.State = solve.Draining
		} else if r.IntN(6) == 0 {
			n.State, n.CapacityPerMille, n.WarmInMS = solve.Started, int64(r.IntN(1000)), 4000
		}
		p.Engines = append(p.Engines, n)
	}
	for t := range 1 + r.IntN(4) {
		n := solve.Type{
			Name:        fmt.Sprint("t", t),
			Threads:     int64(1 + r.IntN(2)),
			MemoryMB:    int64(50 * r.IntN(8)),
			WorkMS:      int64(100 * (1 + r.IntN(20))),
			Value:       int64(1 + r.IntN(9)),
			AnswerBytes: int64(r.IntN(4) * 300),
		}
		if r.IntN(4) == 0 {
			n.Kinds = []string{fmt.Sprint("k", r.IntN(2))}
		}
		if r.IntN(6) == 0 {
			n.Zones = []string{"z0"}
		}
		p.Types = append(p.Types, n)
	}
	for i := range 1 + r.IntN(2) {
		n := solve.Tenant{Name: fmt.Sprint("a", i), SharePerMille: int64(r.IntN(500))}
		if r.IntN(4) == 0 {
			q := int64(r.IntN(6))
			n.QuotaThreads = &q
		}
		p.Tenants = append(p.Tenants, n)
	}
	for _, t := range p.Types {
		for _, a := range p.Tenants {
			for _, z := range p.Zones {
				if r.IntN(2) == 0 && len(p.Demand) < 6 {
					p.Demand = append(
						p.Demand,
						solve.Demand{
							Type:         t.Name,
							Tenant:       a.Name,
							Zone:         z.Name,
							JobsPer1000S: int64(r.IntN(3000)) * 1000 / t.WorkMS,
						},
					)
				}
			}
		}
	}
	if r.IntN(5) < 3 {
		p.Constraints.MinServed = append(
			p.Constraints.MinServed,
			solve.MinServed{Type: p.Types[r.IntN(len(p.Types))].Name, PerMille: int64(r.IntN(1001))},
		)
	}
	if r.IntN(3) == 0 {
		p.Constraints.MinServed = append(
			p.Constraints.MinServed,
			solve.MinServed{Tenant: p.Tenants[r.IntN(len(p.Tenants))].Name, PerMille: int64(r.IntN(1001))},
		)
	}
	p.Constraints.SharesHold = r.IntN(4) == 0
	if r.IntN(4) == 0 {
		c := int64(r.IntN(20))
		p.Constraints.MaxCost = &c
	}
	if r.IntN(4) == 0 {
		u := int64(300 + r.IntN(700))
		p.Constraints.MaxUsePerMille = &u
	}
	if r.IntN(5) == 0 {
		p.Constraints.FitsWithout = []string{[]string{"any engine", "zone z0"}[r.IntN(2)]}
	}
	return p
}

// Ordinary draws a fleet as it is met: its load is of all threads it has.
func Ordinary(seed uint64, engines, zones, types, tenants int, load float64) *solve.Problem {
	r := rand.New(rand.NewPCG(seed, 40))
	p := &solve.Problem{}
	for z := range zones {
		p.Zones = append(
			p.Zones,
			solve.Zone{Name: fmt.Sprint("zone", z), CrossingCostPerGB: int64(10_000 + r.IntN(40_000))},
		)
	}
	type kind struct{ cores, memory, cost int64 }
	kinds := []kind{{16, 65536, 12}, {32, 98304, 21}, {8, 65536, 9}}
	threads := 0.0
	for e := range engines {
		k := r.IntN(len(kinds))
		n := solve.Engine{
			Name:     fmt.Sprintf("e%03d", e),
			Kind:     fmt.Sprint("kind", k),
			Zone:     fmt.Sprint("zone", r.IntN(zones)),
			Cores:    kinds[k].cores,
			MemoryMB: kinds[k].memory,
			Cost:     kinds[k].cost,
		}
		if r.IntN(20) == 0 {
			n.State = solve.Draining
		}
		threads += float64(n.Cores) * 2
		p.Engines = append(p.Engines, n)
	}
	for t := range types {
		work := int64(200 * (1 + r.IntN(10)) << r.IntN(4))
		n := solve.Type{
			Name:        fmt.Sprint("type", t),
			Threads:     int64(1 << r.IntN(3)),
			MemoryMB:    int64(256 << r.IntN(5)),
			WorkMS:      work,
			Value:       work/100 + int64(r.IntN(int(work/50))),
			AnswerBytes: int64(1000 << r.IntN(10)),
		}
		if r.IntN(4) == 0 {
			n.Kinds = []string{"kind0", "kind1"}
		}
		p.Types = append(p.Types, n)
	}
	for a := range tenants {
		n := solve.Tenant{Name: fmt.Sprint("tenant", a), SharePerMille: int64(500 / tenants)}
		if r.IntN(3) == 0 {
			q := int64(threads / float64(tenants) * (0.5 + r.Float64()))
			n.QuotaThreads = &q
		}
		p.Tenants = append(p.Tenants, n)
	}
	parts, sum := make([]float64, types*tenants*zones), 0.0
	for i := range parts {
		parts[i] = r.ExpFloat64()
		sum += parts[i]
	}
	for i, part := range parts {
		t := p.Types[i%types]
		p.Demand = append(
			p.Demand,
			solve.Demand{Type: t.Name, Tenant: p.Tenants[i/types%tenants].Name, Zone: p.Zones[i/types/tenants].Name,
				JobsPer1000S: int64(part / sum * threads * load * 1e6 / float64(t.WorkMS))},
		)
	}
	for z := range p.Zones {
		b := int64(2_000_000 + r.IntN(20_000_000))
		p.Zones[z].CrossingBytesPerS = &b
	}
	p.Constraints.MinServed = []solve.MinServed{{Type: p.Types[0].Name, PerMille: 300}}
	p.Constraints.SharesHold = true
	return p
}
