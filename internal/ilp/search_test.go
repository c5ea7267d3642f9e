package ilp

import (
	"math/rand/v2"
	"testing"
)

// exhaustiveBest returns the best objective by enumerating all integer solutions.
func exhaustiveBest(p *Program) (best int64, isFeasible bool) {
	solution := make([]int64, len(p.Columns))
	var try func(j int)
	try = func(j int) {
		if j == len(solution) {
			if value, ok := p.Value(solution); ok && (!isFeasible || value > best) {
				best = value
				isFeasible = true
			}
			return
		}
		for solution[j] = p.Columns[j].Lower; solution[j] <= p.Columns[j].Upper; solution[j]++ {
			try(j + 1)
		}
	}
	try(0)
	return best, isFeasible
}

// randomProgram returns a small random program; about a quarter of them have scaled, large coefficients.
func randomProgram(random *rand.Rand) *Program {
	p := &Program{}
	factor := int64(1)
	if random.IntN(4) == 0 {
		factor = 1 << random.IntN(30)
	}
	for range 1 + random.IntN(5) {
		row := Row{Bound: factor * int64(random.IntN(40))}
		if random.IntN(3) == 0 {
			row.Sense = GreaterOrEqual
			row.Bound = factor * int64(random.IntN(20))
		}
		p.Rows = append(p.Rows, row)
	}
	for range 1 + random.IntN(6) {
		column := Column{
			Objective:   int64(random.IntN(60) - 10),
			Lower:       int64(random.IntN(2)),
			Upper:       int64(1 + random.IntN(4)),
			BranchFirst: random.IntN(2) == 0,
		}
		for i := range p.Rows {
			if random.IntN(3) > 0 {
				column.Rows = append(column.Rows, int32(i))
				column.Coefficients = append(column.Coefficients, factor*int64(random.IntN(12)-1))
			}
		}
		p.Columns = append(p.Columns, column)
	}
	return p
}

func TestTheBestIsThatOfTryingAll(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	infeasible := 0
	for n := range 4000 {
		p := randomProgram(random)
		want, isFeasible := exhaustiveBest(p)
		got := NewSearch(p).Run()
		isBest := !isFeasible || got.Value == want && got.Bound == want
		if !got.Complete || (got.Values != nil) != isFeasible || !isBest {
			t.Fatalf("program %d: feasible %v, best %d; found %+v\n%+v", n, isFeasible, want, got, p)
		}
		if !isFeasible {
			infeasible++
		}
	}
	if infeasible < 400 || infeasible > 3600 {
		t.Errorf("%d of 4000 are infeasible: the sample is unbalanced", infeasible)
	}
}

func TestABoundHoldsForAnyMultipliers(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 3000 {
		p := randomProgram(random)
		multipliers := Multipliers{Scale: int64(random.IntN(3)), Values: make([]int64, len(p.Rows))}
		for i, row := range p.Rows {
			multipliers.Values[i] = int64(random.IntN(20))
			if row.Sense == GreaterOrEqual {
				multipliers.Values[i] = -multipliers.Values[i]
			}
		}
		best, isFeasible := exhaustiveBest(p)
		bound, isExact := p.Bound(multipliers)
		switch {
		case !isExact:
			t.Fatal("sums of small coefficients exceed MaxMagnitude")
		case isFeasible && multipliers.Scale > 0 && bound < best, isFeasible && multipliers.Scale == 0 && bound < 0:
			t.Fatalf("bound %d below %d at %+v of %+v", bound, best, multipliers, p)
		}
	}
}

// A search that is stopped at any point returns a feasible solution or none, and a valid bound.
func TestStoppedAtAnyTimeTheBoundHolds(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 300 {
		p := randomProgram(random)
		want, isFeasible := exhaustiveBest(p)
		for stopAfter := 0; ; stopAfter++ {
			calls := 0
			search := NewSearch(p)
			search.Stop = func() bool {
				calls++
				return calls > stopAfter
			}
			got := search.Run()
			value, ok := p.Value(got.Values)
			if got.Values != nil && (!ok || value != got.Value) {
				t.Fatalf("not a solution: %v", got)
			}
			isWrong := got.Values != nil && got.Value > want || got.Complete && isFeasible && got.Value != want
			if isFeasible && got.Bound < want || isWrong {
				t.Fatalf("stopped after %d: %+v where the best is %d", stopAfter, got, want)
			}
			if got.Complete {
				break
			}
		}
	}
}

func TestSumsBeyondMaxMagnitudeAreRefused(t *testing.T) {
	p := &Program{
		Rows:    []Row{{Bound: MaxMagnitude}},
		Columns: []Column{{Objective: MaxMagnitude, Upper: 4, Rows: []int32{0}, Coefficients: []int64{1}}},
	}
	if _, ok := p.Value([]int64{2}); ok {
		t.Error("a sum beyond MaxMagnitude is not refused")
	}
	if value, ok := p.Value([]int64{1}); !ok || value != MaxMagnitude {
		t.Error("MaxMagnitude itself is refused")
	}
	if got := NewSearch(p).Run(); got.Value > MaxMagnitude || got.Complete && got.Values == nil {
		t.Errorf("found %+v", got)
	}
}
