package solve

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// small draws a problem that can be tried out: up to six engines and four types.
func small(r *rand.Rand) *Problem {
	p := &Problem{ThreadsPerCore: 1}
	kinds, zones := 1+r.IntN(2), 1+r.IntN(2)
	for z := range zones {
		zone := Zone{Name: fmt.Sprint("z", z), CrossingCostPerGB: int64(r.IntN(3) * 400_000)}
		if r.IntN(3) == 0 {
			b := int64(r.IntN(40) * 100)
			zone.CrossingBytesPerS = &b
		}
		p.Zones = append(p.Zones, zone)
	}
	for e := range 1 + r.IntN(6) {
		n := Engine{Name: fmt.Sprint("e", e), Kind: fmt.Sprint("k", r.IntN(kinds)), Zone: fmt.Sprint("z", r.IntN(zones)),
			Cores: int64(1 + r.IntN(3)), MemoryMB: int64(100 * (1 + r.IntN(6))), Cost: int64(r.IntN(4))}
		if e > 0 && r.IntN(2) == 0 {
			like := p.Engines[e-1]
			like.Name = n.Name
			n = like
		} else if r.IntN(6) == 0 {
			n.State = Draining
		} else if r.IntN(6) == 0 {
			n.State, n.PartPerMille, n.WarmInMS = Started, int64(r.IntN(1000)), 4000
		}
		p.Engines = append(p.Engines, n)
	}
	for t := range 1 + r.IntN(4) {
		n := Type{Name: fmt.Sprint("t", t), Threads: int64(1 + r.IntN(2)), MemoryMB: int64(50 * r.IntN(8)), WorkMS: int64(100 * (1 + r.IntN(20))),
			Value: int64(1 + r.IntN(9)), AnswerBytes: int64(r.IntN(4) * 300)}
		if r.IntN(4) == 0 {
			n.Kinds = []string{fmt.Sprint("k", r.IntN(2))}
		}
		if r.IntN(6) == 0 {
			n.Zones = []string{"z0"}
		}
		p.Types = append(p.Types, n)
	}
	for i := range 1 + r.IntN(2) {
		n := Tenant{Name: fmt.Sprint("a", i), SharePerMille: int64(r.IntN(500))}
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
					p.Demand = append(p.Demand, Demand{t.Name, a.Name, z.Name, int64(r.IntN(3000)) * 1000 / t.WorkMS})
				}
			}
		}
	}
	if r.IntN(5) < 3 {
		p.Must.LeastServed = append(p.Must.LeastServed, LeastServed{Type: p.Types[r.IntN(len(p.Types))].Name, PerMille: int64(r.IntN(1001))})
	}
	if r.IntN(3) == 0 {
		p.Must.LeastServed = append(p.Must.LeastServed, LeastServed{Tenant: p.Tenants[r.IntN(len(p.Tenants))].Name, PerMille: int64(r.IntN(1001))})
	}
	p.Must.SharesHold = r.IntN(4) == 0
	if r.IntN(4) == 0 {
		c := int64(r.IntN(20))
		p.Must.GreatestCost = &c
	}
	if r.IntN(4) == 0 {
		u := int64(300 + r.IntN(700))
		p.Must.GreatestUsePerMille = &u
	}
	if r.IntN(5) == 0 {
		p.Must.FitsWithout = []string{[]string{anyEngine, "zone z0"}[r.IntN(2)]}
	}
	return p
}

func all(m *model) (h holds, losses []map[int]int64) {
	h = m.none()
	for _, d := range m.demands() {
		d.apply(&h, &losses, d.least)
	}
	return h, losses
}

func TestTheAnswerIsThatOfTryingAll(t *testing.T) {
	r := rand.New(rand.NewPCG(17, 1))
	none, passed := 0, 0
	for n := range 300 {
		p := small(r)
		if f := p.Check(); len(f) > 0 {
			t.Fatal(f)
		}
		m := newModel(p, 0)
		h, _ := all(m)
		_, want, fits, whole := m.exhaustive(&h, 20000)
		if !whole {
			passed++
			continue
		}
		got := m.stages(&h, nil)
		if (got.sol != nil) != fits || got.none == fits {
			t.Fatalf("problem %d: fits %v, found %v, none %v", n, fits, got.sol, got.none)
		}
		if !fits {
			none++
			continue
		}
		if err := m.broken(got.sol, &h); err != nil {
			t.Fatalf("problem %d: %v", n, err)
		}
		if got.got != want || got.bound != want || got.proved != [3]bool{true, true, true} {
			t.Fatalf("problem %d: found %+v, bound %+v, proved %v; best %+v", n, got.got, got.bound, got.proved, want)
		}
	}
	t.Logf("%d have no answer, %d too large to try", none, passed)
}
