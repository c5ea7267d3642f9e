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

// make proof-solve checks 2,000 such problems.
func TestTheAnswerIsThatOfTryingAll(t *testing.T) {
	conflicts, r := 0, rand.New(rand.NewPCG(17, 1))
	for n := range 250 {
		problem := draw.Small(r)
		if f := problem.Check(); f != nil {
			t.Fatal(f)
		}
		want, got := solve.Solve(
			problem,
			solve.Options{Method: solve.Exhaustive{}},
		), solve.Solve(
			problem,
			solve.Options{},
		)
		if want.Status == solve.Unknown {
			continue
		}
		if got.Status != want.Status || got.Value != want.Value || got.Cost != want.Cost ||
			got.MaxUtilization != want.MaxUtilization {
			t.Fatalf(
				"problem %d: %s %d %d %d, by exhaustive search %s %d %d %d",
				n,
				got.Status,
				got.Value,
				got.Cost,
				got.MaxUtilization,
				want.Status,
				want.Value,
				want.Cost,
				want.MaxUtilization,
			)
		}
		for _, s := range got.Steps {
			if err := solve.Verify(problem, s); err != nil {
				t.Fatalf("problem %d: %v", n, err)
			}
		}
		for _, c := range got.Conflicts {
			conflicts++
			if c.FromMS == 0 {
				checkIrreducible(t, problem, c)
			}
		}
	}
	if conflicts < 40 {
		t.Errorf("only %d conflicts: the sample is unbalanced", conflicts)
	}
}

// checkIrreducible checks by exhaustive search that a conflict's requirements cannot be met together, and that they can
// without any one of them.
func checkIrreducible(t *testing.T, problem *solve.Problem, c solve.Conflict) {
	t.Helper()
	var names []string
	for _, m := range c.Requirements {
		names = append(names, m.Requirement)
		if m.Change == "" || strings.Contains(m.Change, "in time") {
			t.Errorf("%s: change %q", m.Requirement, m.Change)
		}
	}
	if fits, known := solve.Fits(problem, names); known && fits {
		t.Errorf("not in conflict: %v", names)
	}
	for i := range names {
		without := slices.Delete(slices.Clone(names), i, i+1)
		if fits, known := solve.Fits(problem, without); known && !fits {
			t.Errorf("%q is not needed in %v", names[i], names)
		}
	}
}

func baseProblem() *solve.Problem {
	return &solve.Problem{
		ThreadsPerCore: 1,
		Engines: []solve.Engine{{Name: "e1", Kind: "std", Zone: "east", Cores: 4, MemoryMB: 4000, Cost: 2},
			{Name: "e2", Kind: "big", Zone: "west", Cores: 4, MemoryMB: 8000, Cost: 3}},
		Types: []solve.Type{{Name: "lookup", Threads: 1, MemoryMB: 100, WorkMS: 1000, Value: 1},
			{Name: "import", Threads: 2, MemoryMB: 2000, WorkMS: 2000, Value: 20, Kinds: []string{"big"}}},
		Tenants: []solve.Tenant{{Name: "acme"}, {Name: "bolt"}},
		Zones:   []solve.Zone{{Name: "east"}, {Name: "west"}},
		Demand: []solve.Demand{
			{Type: "lookup", Tenant: "acme", Zone: "east", JobsPer1000S: 6000},
			{Type: "import", Tenant: "bolt", Zone: "west", JobsPer1000S: 1000},
		},
	}
}

func TestNoDemandAWarmingFleetAndAMissingKind(t *testing.T) {
	problem := baseProblem()
	problem.Demand = nil
	if a := solve.Solve(problem, solve.Options{}); a.Status != solve.Optimal || a.Value != 0 || a.Cost != 0 {
		t.Errorf("no demand: %+v", a)
	}
	problem = baseProblem()
	for i := range problem.Engines {
		problem.Engines[i].State, problem.Engines[i].CapacityPerMille, problem.Engines[i].WarmInMS = solve.Started, 250, 8000
	}
	a := solve.Solve(problem, solve.Options{})
	if len(a.Steps) != 5 || a.Steps[0].Value >= a.Steps[4].Value {
		t.Fatalf("all engines warming up: %+v", a)
	}
	for _, s := range a.Steps {
		for _, u := range s.Use { // at the beginning of the step, when the capacity is lowest
			if part := 250 + 750*s.FromMS/8000; u.Threads*1000 > u.Total*part || u.Usable*1000 > u.Total*part {
				t.Errorf("from %d ms engine %s runs %d, its capacity is %d per mille", s.FromMS, u.Engine, u.Threads, part)
			}
		}
		if err := solve.Verify(problem, s); err != nil {
			t.Error(err)
		}
	}
	problem = baseProblem()
	problem.Engines[1].Kind = "std"
	problem.Constraints.MinServed = []solve.MinServed{{Type: "import", PerMille: 500}}
	a = solve.Solve(problem, solve.Options{})
	if a.Status != solve.Infeasible || len(a.Conflicts) != 1 || len(a.Conflicts[0].Requirements) != 2 {
		t.Fatalf("no engine of the required kind: %+v", a)
	}
	checkIrreducible(t, problem, a.Conflicts[0])
}

func TestADrainingEngineAndALostZoneGetNothing(t *testing.T) {
	problem := baseProblem()
	problem.Engines[1].State = solve.Draining
	answer := solve.Solve(problem, solve.Options{})
	if answer.Status != solve.Optimal || answer.Steps[0].Served[1].Granted != 0 || answer.Value != 4_000_000 {
		t.Errorf("draining engine: %+v", answer)
	}
	problem = baseProblem()
	problem.Constraints.MinServed = []solve.MinServed{{Type: "lookup", PerMille: 600}}
	problem.Constraints.FitsWithout = []string{"zone east"}
	if a := solve.Solve(problem, solve.Options{}); a.Status != solve.Optimal {
		t.Errorf("4 of 6 threads without a zone: %+v", a)
	}
	problem.Constraints.MinServed[0].PerMille = 900
	a := solve.Solve(problem, solve.Options{})
	if a.Status != solve.Infeasible || len(a.Conflicts) != 1 || len(a.Conflicts[0].Requirements) != 2 {
		t.Fatalf("6 of 6 threads without a zone: %+v", a)
	}
	checkIrreducible(t, problem, a.Conflicts[0])
	if got := a.Conflicts[0].Requirements[0].Change; got != "serve it at least 666 per mille" {
		t.Errorf("smallest change: %s", got)
	}
}

func TestThreeConflictsAtOnceAreToldApart(t *testing.T) {
	problem := baseProblem()
	problem.Types = append(
		problem.Types,
		solve.Type{Name: "report", Threads: 1, WorkMS: 1000, Value: 3, Zones: []string{"west"}},
	)
	problem.Demand = append(
		problem.Demand,
		solve.Demand{Type: "report", Tenant: "acme", Zone: "west", JobsPer1000S: 2000},
	)
	problem.Engines[1].Kind, problem.Engines[1].Zone = "std", "east" // no engine may run imports or reports
	quota := int64(1)
	problem.Tenants[0].QuotaThreads = &quota
	problem.Constraints.MinServed = []solve.MinServed{
		{Type: "import", PerMille: 500},
		{Type: "report", PerMille: 500},
		{Type: "lookup", PerMille: 500},
	}
	a := solve.Solve(problem, solve.Options{})
	if len(a.Conflicts) != 3 {
		t.Fatalf("%+v", a.Conflicts)
	}
	for _, c := range a.Conflicts {
		checkIrreducible(t, problem, c)
	}
}

func TestEqualOptimaAreSettledTheSameAtEveryRun(t *testing.T) {
	problem := baseProblem()
	problem.Engines[1] = problem.Engines[0]
	problem.Engines[1].Name = "e2"
	problem.Types[1].Kinds = nil
	first := solve.Solve(problem, solve.Options{})
	for range 20 {
		if again := solve.Solve(problem, solve.Options{}); !reflect.DeepEqual(first, again) {
			t.Fatalf("%+v, then %+v", first, again)
		}
	}
}

func TestOverflowingFiguresAndDuplicateNamesAreFaults(t *testing.T) {
	for path, spoil := range map[string]func(problem *solve.Problem){
		"/types/1/value": func(problem *solve.Problem) {
			problem.Types[1].Value = solve.MaxFigure
			problem.Engines[0].Cores = 4096
			problem.Types[1].WorkMS = 1
		},
		"/types/0/answer_bytes": func(problem *solve.Problem) {
			problem.Types[0].AnswerBytes = solve.MaxFigure
			problem.Types[0].WorkMS, problem.Engines[0].Cores = 1, 4096
		},
		"/demand/0/jobs_per_1000s": func(problem *solve.Problem) { problem.Demand[0].JobsPer1000S = math.MaxInt64 },
		"/engines/1/name":          func(problem *solve.Problem) { problem.Engines[1].Name = "e1" },
		"/engines/0/cores":         func(problem *solve.Problem) { problem.Engines[0].Cores = -1 },
		"/demand/1":                func(problem *solve.Problem) { problem.Demand[1] = problem.Demand[0] },
		"/demand/0/zone":           func(problem *solve.Problem) { problem.Demand[0].Zone = "north" },
		"/must/fits_without/0":     func(problem *solve.Problem) { problem.Constraints.FitsWithout = []string{"zone north"} },
		"/types/0/sla_time_ms":     func(problem *solve.Problem) { problem.Types[0].SLATimeMS = 10 },
	} {
		problem := baseProblem()
		spoil(problem)
		if f := problem.Check(); len(f) == 0 || f[0].Path != path {
			t.Errorf("%s: got %v", path, f)
		}
	}
}

// Wherever a time limit stops the search, also within a node, the answer satisfies the constraints and its bound.
func TestStoppedAtAnyTimeTheAnswerHolds(t *testing.T) {
	problem := draw.Ordinary(3, 12, 2, 4, 4, 1.1)
	for left := 1; left < 3000; left += 1 + left/3 {
		asked := 0
		a := solve.Solve(problem, solve.Options{Stop: func(int) bool { asked++; return asked > left }})
		if a.Status == solve.Unknown {
			continue
		}
		for _, s := range a.Steps {
			if err := solve.Verify(problem, s); err != nil || a.Bound < a.Value {
				t.Fatalf("after %d: %v; %d of %d", left, err, a.Value, a.Bound)
			}
		}
	}
}

func TestALargerFleetsPlanHolds(t *testing.T) {
	steps := 0
	a := solve.Solve(
		draw.Ordinary(5, 40, 3, 6, 12, 1.2),
		solve.Options{Stop: func(int) bool { steps++; return steps > 6000 }},
	)
	if a.Status == solve.Unknown || a.Gap > 0.01 {
		t.Fatalf("%s, gap %v", a.Status, a.Gap)
	}
	if err := solve.Verify(draw.Ordinary(5, 40, 3, 6, 12, 1.2), a.Steps[0]); err != nil {
		t.Error(err)
	}
}

func FuzzCheckedProblemsAreSolved(f *testing.F) {
	text, _ := json.Marshal(baseProblem())
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var problem solve.Problem
		if json.Unmarshal(text, &problem) != nil || problem.Check() != nil || len(problem.Engines) > 4 ||
			len(problem.Demand) > 4 {
			return
		}
		steps := 0
		a := solve.Solve(&problem, solve.Options{Explain: true, Stop: func(int) bool { steps++; return steps > 500 }})
		for _, s := range a.Steps {
			if err := solve.Verify(&problem, s); err != nil {
				t.Error(err)
			}
		}
	})
}

// These fleets are too large for enumerating all patterns, but small otherwise. Minimums that the diving heuristic
// missed must not make the status unknown while time is left.
func TestMediumFleetsAreDecided(t *testing.T) {
	optimal := 0
	for seed := range uint64(12) {
		problem := draw.Ordinary(seed, 4, 2, 3, 3, 1.2)
		problem.Constraints.MinServed = []solve.MinServed{
			{Type: "type0", PerMille: 700},
			{Tenant: "tenant1", PerMille: 800},
		}
		steps := 0
		a := solve.Solve(problem, solve.Options{Stop: func(int) bool { steps++; return steps > 20000 }})
		switch a.Status {
		case solve.Unknown:
			t.Errorf("seed %d: unknown", seed)
		case solve.Optimal, solve.Infeasible:
			optimal++
		}
	}
	if optimal < 6 {
		t.Errorf("only %d of 12 decided", optimal)
	}
}
