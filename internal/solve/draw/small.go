// Package draw generates random problems for tests and proofs of the solver. The same random source gives the same
// problems.
package draw

import (
	"fmt"
	"math/rand/v2"

	"swiftreel/internal/solve"
)

// maxSmallDemand bounds the number of demands of a small problem.
const maxSmallDemand = 6

// Small generates a problem that can be solved exhaustively, with up to six engines and four types.
func Small(r *rand.Rand) *solve.Problem {
	d := smallDraw{random: r, problem: &solve.Problem{ThreadsPerCore: 1}}
	d.kinds = 1 + r.IntN(2)
	d.zones = 1 + r.IntN(2)
	d.drawZones()
	d.drawEngines()
	d.drawTypes()
	d.drawTenants()
	d.drawDemand()
	d.drawMinServed()
	d.drawLimits()
	return d.problem
}

// smallDraw generates the parts of a small problem in a fixed order.
type smallDraw struct {
	random  *rand.Rand
	problem *solve.Problem
	kinds   int
	zones   int
}

// isOneIn returns true with probability 1/n.
func (d *smallDraw) isOneIn(n int) bool {
	return d.random.IntN(n) == 0
}

func (d *smallDraw) drawZones() {
	for z := range d.zones {
		zone := solve.Zone{Name: fmt.Sprint("z", z), CrossingCostPerGB: int64(d.random.IntN(3) * 400_000)}
		if d.isOneIn(3) {
			budget := int64(d.random.IntN(40) * 100)
			zone.CrossingBytesPerS = &budget
		}
		d.problem.Zones = append(d.problem.Zones, zone)
	}
}

func (d *smallDraw) drawEngines() {
	for i := range 1 + d.random.IntN(6) {
		engine := solve.Engine{
			Name:     fmt.Sprint("e", i),
			Kind:     fmt.Sprint("k", d.random.IntN(d.kinds)),
			Zone:     fmt.Sprint("z", d.random.IntN(d.zones)),
			Cores:    int64(1 + d.random.IntN(3)),
			MemoryMB: int64(100 * (1 + d.random.IntN(6))),
			Cost:     int64(d.random.IntN(4)),
		}
		switch {
		case i > 0 && d.isOneIn(2): // a copy of the previous engine
			name := engine.Name
			engine = d.problem.Engines[i-1]
			engine.Name = name
		case d.isOneIn(6):
			engine.State = solve.Draining
		case d.isOneIn(6):
			engine.State = solve.Started
			engine.CapacityPerMille = int64(d.random.IntN(1000))
			engine.WarmInMS = 4000
		}
		d.problem.Engines = append(d.problem.Engines, engine)
	}
}

func (d *smallDraw) drawTypes() {
	for i := range 1 + d.random.IntN(4) {
		t := solve.Type{
			Name:        fmt.Sprint("t", i),
			Threads:     int64(1 + d.random.IntN(2)),
			MemoryMB:    int64(50 * d.random.IntN(8)),
			WorkMS:      int64(100 * (1 + d.random.IntN(20))),
			Value:       int64(1 + d.random.IntN(9)),
			AnswerBytes: int64(d.random.IntN(4) * 300),
		}
		if d.isOneIn(4) {
			t.Kinds = []string{fmt.Sprint("k", d.random.IntN(2))}
		}
		if d.isOneIn(6) {
			t.Zones = []string{"z0"}
		}
		d.problem.Types = append(d.problem.Types, t)
	}
}

func (d *smallDraw) drawTenants() {
	for i := range 1 + d.random.IntN(2) {
		tenant := solve.Tenant{Name: fmt.Sprint("a", i), SharePerMille: int64(d.random.IntN(500))}
		if d.isOneIn(4) {
			quota := int64(d.random.IntN(6))
			tenant.QuotaThreads = &quota
		}
		d.problem.Tenants = append(d.problem.Tenants, tenant)
	}
}

func (d *smallDraw) drawDemand() {
	for _, t := range d.problem.Types {
		for _, tenant := range d.problem.Tenants {
			for _, zone := range d.problem.Zones {
				if !d.isOneIn(2) || len(d.problem.Demand) >= maxSmallDemand {
					continue
				}
				d.problem.Demand = append(d.problem.Demand, solve.Demand{
					Type:         t.Name,
					Tenant:       tenant.Name,
					Zone:         zone.Name,
					JobsPer1000S: int64(d.random.IntN(3000)) * 1000 / t.WorkMS,
				})
			}
		}
	}
}

func (d *smallDraw) drawMinServed() {
	if d.random.IntN(5) < 3 {
		name := d.problem.Types[d.random.IntN(len(d.problem.Types))].Name
		d.addMinServed(solve.MinServed{Type: name, PerMille: int64(d.random.IntN(1001))})
	}
	if d.isOneIn(3) {
		name := d.problem.Tenants[d.random.IntN(len(d.problem.Tenants))].Name
		d.addMinServed(solve.MinServed{Tenant: name, PerMille: int64(d.random.IntN(1001))})
	}
}

func (d *smallDraw) addMinServed(m solve.MinServed) {
	d.problem.Constraints.MinServed = append(d.problem.Constraints.MinServed, m)
}

func (d *smallDraw) drawLimits() {
	constraints := &d.problem.Constraints
	constraints.EnforceShares = d.isOneIn(4)
	if d.isOneIn(4) {
		cost := int64(d.random.IntN(20))
		constraints.MaxCost = &cost
	}
	if d.isOneIn(4) {
		use := int64(300 + d.random.IntN(700))
		constraints.MaxUsePerMille = &use
	}
	if d.isOneIn(5) {
		constraints.FitsWithout = []string{[]string{"any engine", "zone z0"}[d.random.IntN(2)]}
	}
}
