package solve_test

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"swiftreel/internal/solve"
	"swiftreel/internal/solve/draw"
)

// Part of what make proof-solve does with 2,000.
func TestTheAnswerIsThatOfTryingAll(t *testing.T) {
	none, r := 0, rand.New(rand.NewPCG(17, 1))
	for n := range 250 {
		p := draw.Small(r)
		if f := p.Check(); f != nil {
			t.Fatal(f)
		}
		want, got := solve.Solve(p, solve.Options{Method: solve.Exhaustive{}}), solve.Solve(p, solve.Options{})
		if want.Status == solve.Unknown {
			continue
		}
		if got.Status != want.Status || got.Value != want.Value || got.Cost != want.Cost || got.Evenness != want.Evenness {
			t.Fatalf("problem %d: %s %d %d %d, by trying all %s %d %d %d", n, got.Status, got.Value, got.Cost, got.Evenness, want.Status,
				want.Value, want.Cost, want.Evenness)
		}
		for _, s := range got.Steps {
			if err := solve.Verify(p, s); err != nil {
				t.Fatalf("problem %d: %v", n, err)
			}
		}
		for _, c := range got.Conflicts {
			none++
			if c.FromMS == 0 {
				needed(t, p, c)
			}
		}
	}
	if none < 40 {
		t.Errorf("only %d conflicts: the draw is one-sided", none)
	}
}

// needed holds a conflict against trying all: impossible together, possible without any one.
func needed(t *testing.T, p *solve.Problem, c solve.Conflict) {
	t.Helper()
	var names []string
	for _, m := range c.Demands {
		names = append(names, m.Demand)
		if m.Change == "" || strings.Contains(m.Change, "in time") {
			t.Errorf("%s: change %q", m.Demand, m.Change)
		}
	}
	if fits, known := solve.Fits(p, names); known && fits {
		t.Errorf("not in conflict: %v", names)
	}
	for i := range names {
		without := slices.Delete(slices.Clone(names), i, i+1)
		if fits, known := solve.Fits(p, without); known && !fits {
			t.Errorf("%q is not needed in %v", names[i], names)
		}
	}
}

func plain() *solve.Problem {
	return &solve.Problem{ThreadsPerCore: 1,
		Engines: []solve.Engine{{Name: "e1", Kind: "std", Zone: "east", Cores: 4, MemoryMB: 4000, Cost: 2},
			{Name: "e2", Kind: "big", Zone: "west", Cores: 4, MemoryMB: 8000, Cost: 3}},
		Types: []solve.Type{{Name: "lookup", Threads: 1, MemoryMB: 100, WorkMS: 1000, Value: 1},
			{Name: "import", Threads: 2, MemoryMB: 2000, WorkMS: 2000, Value: 20, Kinds: []string{"big"}}},
		Tenants: []solve.Tenant{{Name: "acme"}, {Name: "bolt"}}, Zones: []solve.Zone{{Name: "east"}, {Name: "west"}},
		Demand: []solve.Demand{{Type: "lookup", Tenant: "acme", Zone: "east", JobsPer1000S: 6000}, {Type: "import", Tenant: "bolt", Zone: "west", JobsPer1000S: 1000}}}
}

func TestAllColdNothingAskedAndAKindThatIsGone(t *testing.T) {
	p := plain()
	p.Demand = nil
	if a := solve.Solve(p, solve.Options{}); a.Status != solve.Optimal || a.Value != 0 || a.Cost != 0 {
		t.Errorf("nothing asked for: %+v", a)
	}
	p = plain()
	for i := range p.Engines {
		p.Engines[i].State, p.Engines[i].PartPerMille, p.Engines[i].WarmInMS = solve.Started, 250, 8000
	}
	a := solve.Solve(p, solve.Options{})
	if len(a.Steps) != 5 || a.Steps[0].Value >= a.Steps[4].Value {
		t.Fatalf("all cold: %+v", a)
	}
	for _, s := range a.Steps {
		for _, u := range s.Use { // at the step's beginning, when the part is least
			if part := 250 + 750*s.FromMS/8000; u.Threads*1000 > u.Has*part || u.May*1000 > u.Has*part {
				t.Errorf("from %d ms engine %s runs %d, its part is %d per mille", s.FromMS, u.Engine, u.Threads, part)
			}
		}
		if err := solve.Verify(p, s); err != nil {
			t.Error(err)
		}
	}
	p = plain()
	p.Engines[1].Kind = "std"
	p.Must.LeastServed = []solve.LeastServed{{Type: "import", PerMille: 500}}
	a = solve.Solve(p, solve.Options{})
	if a.Status != solve.NoFit || len(a.Conflicts) != 1 || len(a.Conflicts[0].Demands) != 2 {
		t.Fatalf("a kind that is gone: %+v", a)
	}
	needed(t, p, a.Conflicts[0])
}

func TestADrainingEngineAndALostZoneGetNothing(t *testing.T) {
	p := plain()
	p.Engines[1].State = solve.Draining
	if a := solve.Solve(p, solve.Options{}); a.Status != solve.Optimal || a.Steps[0].Served[1].Given != 0 || a.Value != 4_000_000 {
		t.Errorf("draining: %+v", a)
	}
	p = plain()
	p.Must.LeastServed = []solve.LeastServed{{Type: "lookup", PerMille: 600}}
	p.Must.FitsWithout = []string{"zone east"}
	if a := solve.Solve(p, solve.Options{}); a.Status != solve.Optimal {
		t.Errorf("4 of 6 without a zone: %+v", a)
	}
	p.Must.LeastServed[0].PerMille = 900
	a := solve.Solve(p, solve.Options{})
	if a.Status != solve.NoFit || len(a.Conflicts) != 1 || len(a.Conflicts[0].Demands) != 2 {
		t.Fatalf("6 of 6 without a zone: %+v", a)
	}
	needed(t, p, a.Conflicts[0])
	if got := a.Conflicts[0].Demands[0].Change; got != "serve it at least 666 per mille" {
		t.Errorf("the least change: %s", got)
	}
}

func TestThreeConflictsAtOnceAreToldApart(t *testing.T) {
	p := plain()
	p.Types = append(p.Types, solve.Type{Name: "report", Threads: 1, WorkMS: 1000, Value: 3, Zones: []string{"west"}})
	p.Demand = append(p.Demand, solve.Demand{Type: "report", Tenant: "acme", Zone: "west", JobsPer1000S: 2000})
	p.Engines[1].Kind, p.Engines[1].Zone = "std", "east" // nowhere for imports, nor for reports
	quota := int64(1)
	p.Tenants[0].QuotaThreads = &quota
	p.Must.LeastServed = []solve.LeastServed{{Type: "import", PerMille: 500}, {Type: "report", PerMille: 500}, {Type: "lookup", PerMille: 500}}
	a := solve.Solve(p, solve.Options{})
	if len(a.Conflicts) != 3 {
		t.Fatalf("%+v", a.Conflicts)
	}
	for _, c := range a.Conflicts {
		needed(t, p, c)
	}
}

func TestEqualOptimaAreSettledTheSameAtEveryRun(t *testing.T) {
	p := plain()
	p.Engines[1] = p.Engines[0]
	p.Engines[1].Name = "e2"
	p.Types[1].Kinds = nil
	first := solve.Solve(p, solve.Options{})
	for range 20 {
		if again := solve.Solve(p, solve.Options{}); !reflect.DeepEqual(first, again) {
			t.Fatalf("%+v, then %+v", first, again)
		}
	}
}

func TestFiguresAtTheEdgeAndNamesTwiceAreFaults(t *testing.T) {
	for path, spoil := range map[string]func(p *solve.Problem){
		"/types/1/value": func(p *solve.Problem) {
			p.Types[1].Value = solve.MostFigure
			p.Engines[0].Cores = 4096
			p.Types[1].WorkMS = 1
		},
		"/types/0/answer_bytes": func(p *solve.Problem) {
			p.Types[0].AnswerBytes = solve.MostFigure
			p.Types[0].WorkMS, p.Engines[0].Cores = 1, 4096
		},
		"/demand/0/jobs_per_1000s": func(p *solve.Problem) { p.Demand[0].JobsPer1000S = math.MaxInt64 },
		"/engines/1/name":          func(p *solve.Problem) { p.Engines[1].Name = "e1" },
		"/engines/0/cores":         func(p *solve.Problem) { p.Engines[0].Cores = -1 },
		"/demand/1":                func(p *solve.Problem) { p.Demand[1] = p.Demand[0] },
		"/demand/0/zone":           func(p *solve.Problem) { p.Demand[0].Zone = "north" },
		"/must/fits_without/0":     func(p *solve.Problem) { p.Must.FitsWithout = []string{"zone north"} },
		"/types/0/sla_time_ms":     func(p *solve.Problem) { p.Types[0].SLATimeMS = 10 },
	} {
		p := plain()
		spoil(p)
		if f := p.Check(); len(f) == 0 || f[0].Path != path {
			t.Errorf("%s: told %v", path, f)
		}
	}
}

// Whenever time ends, also in the middle of a node, what is told holds.
func TestTimeMayEndAnywhere(t *testing.T) {
	p := draw.Ordinary(3, 12, 2, 4, 4, 1.1)
	for left := 1; left < 3000; left += 1 + left/3 {
		asked := 0
		a := solve.Solve(p, solve.Options{Stop: func(int) bool { asked++; return asked > left }})
		if a.Status == solve.Unknown {
			continue
		}
		for _, s := range a.Steps {
			if err := solve.Verify(p, s); err != nil || a.Bound < a.Value {
				t.Fatalf("after %d: %v; %d of %d", left, err, a.Value, a.Bound)
			}
		}
	}
}

// A problem of another size: what is found fits, and is not above its bound.
func TestALargerFleetsPlanHolds(t *testing.T) {
	steps := 0
	a := solve.Solve(draw.Ordinary(5, 40, 3, 6, 12, 1.2), solve.Options{Stop: func(int) bool { steps++; return steps > 6000 }})
	if a.Status == solve.Unknown || a.Gap > 0.01 {
		t.Fatalf("%s, gap %v", a.Status, a.Gap)
	}
	if err := solve.Verify(draw.Ordinary(5, 40, 3, 6, 12, 1.2), a.Steps[0]); err != nil {
		t.Error(err)
	}
}

func FuzzCheckedProblemsAreSolved(f *testing.F) {
	text, _ := json.Marshal(plain())
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var p solve.Problem
		if json.Unmarshal(text, &p) != nil || p.Check() != nil || len(p.Engines) > 4 || len(p.Demand) > 4 {
			return
		}
		steps := 0
		a := solve.Solve(&p, solve.Options{Explain: true, Stop: func(int) bool { steps++; return steps > 500 }})
		for _, s := range a.Steps {
			if err := solve.Verify(&p, s); err != nil {
				t.Error(err)
			}
		}
	})
}

// Between problems whose patterns are all written out and large ones: floors that dives over patterns missed were once
// told as unknown with time left.
func TestMiddlingFleetsAreSettled(t *testing.T) {
	optimal := 0
	for seed := range uint64(12) {
		p := draw.Ordinary(seed, 4, 2, 3, 3, 1.2)
		p.Must.LeastServed = []solve.LeastServed{{Type: "type0", PerMille: 700}, {Tenant: "tenant1", PerMille: 800}}
		steps := 0
		a := solve.Solve(p, solve.Options{Stop: func(int) bool { steps++; return steps > 20000 }})
		switch a.Status {
		case solve.Unknown:
			t.Errorf("seed %d: unknown", seed)
		case solve.Optimal, solve.NoFit:
			optimal++
		}
	}
	if optimal < 6 {
		t.Errorf("only %d of 12 settled", optimal)
	}
}
