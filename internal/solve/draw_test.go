package solve

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// ordinary draws a fleet as it is met.
func ordinary(seed uint64, engines, zones, types, tenants int, load float64) *Problem {
	r := rand.New(rand.NewPCG(seed, 40))
	p := &Problem{}
	for z := range zones {
		p.Zones = append(p.Zones, Zone{Name: fmt.Sprint("zone", z), CrossingCostPerGB: int64(10_000 + r.IntN(40_000))})
	}
	type kind struct{ cores, memory, cost int64 }
	kinds := []kind{{16, 65536, 12}, {32, 98304, 21}, {8, 65536, 9}}
	threads := 0.0
	for e := range engines {
		k := r.IntN(len(kinds))
		n := Engine{Name: fmt.Sprintf("e%03d", e), Kind: fmt.Sprint("kind", k), Zone: fmt.Sprint("zone", r.IntN(zones)), Cores: kinds[k].cores,
			MemoryMB: kinds[k].memory, Cost: kinds[k].cost}
		if r.IntN(20) == 0 {
			n.State = Draining
		}
		threads += float64(n.Cores) * 2
		p.Engines = append(p.Engines, n)
	}
	for t := range types {
		work := int64(200 * (1 + r.IntN(10)) << r.IntN(4))
		n := Type{Name: fmt.Sprint("type", t), Threads: int64(1 << r.IntN(3)), MemoryMB: int64(256 << r.IntN(5)), WorkMS: work,
			Value: work/100 + int64(r.IntN(int(work/50))), AnswerBytes: int64(1000 << r.IntN(10))}
		if r.IntN(4) == 0 {
			n.Kinds = []string{"kind0", "kind1"}
		}
		p.Types = append(p.Types, n)
	}
	for a := range tenants {
		n := Tenant{Name: fmt.Sprint("tenant", a), SharePerMille: int64(500 / tenants)}
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
		p.Demand = append(p.Demand, Demand{t.Name, p.Tenants[i/types%tenants].Name, p.Zones[i/types/tenants].Name,
			int64(part / sum * threads * load * 1e6 / float64(t.WorkMS))})
	}
	for z := range p.Zones {
		b := int64(2_000_000 + r.IntN(20_000_000))
		p.Zones[z].CrossingBytesPerS = &b
	}
	p.Must.LeastServed = []LeastServed{{Type: p.Types[0].Name, PerMille: 300}}
	p.Must.SharesHold = true
	return p
}

func TestOrdinary(t *testing.T) {
	for seed := range uint64(10) {
		for _, load := range []float64{0.7, 1.2} {
			p := ordinary(seed, 40, 3, 6, 12, load)
			if f := p.Check(); f != nil {
				t.Fatal(f)
			}
			m := newModel(p, 0)
			h, _ := all(m)
			at := time.Now()
			total := time.Second
			marks := map[int]time.Duration{}
			out := m.stages(&h, func(k int) bool {
				marks[k] = time.Since(at)
				return time.Since(at) > total*time.Duration(k)/1000
			})
			if out.sol == nil {
				t.Log(seed, load, "none", out.none, time.Since(at), len(m.groups))
				continue
			}
			if err := m.broken(out.sol, &h); err != nil {
				t.Fatal(err)
			}
			t.Log(seed, load, len(m.groups), len(out.master.cols), time.Since(at).Round(time.Millisecond), out.proved, out.got, out.bound,
				float64(out.bound.value-out.got.value)/float64(out.bound.value), marks)
		}
	}
}
