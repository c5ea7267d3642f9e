package ilp

import (
	"math/rand/v2"
	"testing"
)

// brute tries every whole x.
func brute(p *Program) (best int64, fits bool) {
	x := make([]int64, len(p.Columns))
	var at func(j int)
	at = func(j int) {
		if j == len(x) {
			if v, ok := p.Value(x); ok && (!fits || v > best) {
				best, fits = v, true
			}
			return
		}
		for x[j] = p.Columns[j].Lower; x[j] <= p.Columns[j].Upper; x[j]++ {
			at(j + 1)
		}
	}
	at(0)
	return best, fits
}

func drawn(r *rand.Rand) *Program {
	p := &Program{}
	large := int64(1)
	if r.IntN(4) == 0 {
		large = 1 << r.IntN(30)
	}
	for range 1 + r.IntN(5) {
		row := Row{Bound: large * int64(r.IntN(40))}
		if r.IntN(3) == 0 {
			row.Sense, row.Bound = GreaterOrEqual, large*int64(r.IntN(20))
		}
		p.Rows = append(p.Rows, row)
	}
	for range 1 + r.IntN(6) {
		c := Column{Objective: int64(r.IntN(60) - 10), Lower: int64(r.IntN(2)), Upper: int64(1 + r.IntN(4)), BranchFirst: r.IntN(2) == 0}
		for i := range p.Rows {
			if r.IntN(3) > 0 {
				c.Rows, c.Coefficients = append(c.Rows, int32(i)), append(c.Coefficients, large*int64(r.IntN(12)-1))
			}
		}
		p.Columns = append(p.Columns, c)
	}
	return p
}

func TestTheBestIsThatOfTryingAll(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	none := 0
	for n := range 4000 {
		p := drawn(r)
		want, fits := brute(p)
		got := NewSearch(p).Run()
		if !got.Complete || (got.Values != nil) != fits || (fits && (got.Value != want || got.Bound != want)) {
			t.Fatalf("program %d: fits %v, best %d; found %v %d, bound %d, done %v\n%+v", n, fits, want, got.Values, got.Value,
				got.Bound, got.Complete, p)
		}
		if !fits {
			none++
		}
	}
	if none < 400 || none > 3600 {
		t.Errorf("%d of 4000 have no answer: the draw is one-sided", none)
	}
}

func TestABoundHoldsForAnyMultipliers(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range 3000 {
		p := drawn(r)
		m := Multipliers{Scale: int64(r.IntN(3)), Values: make([]int64, len(p.Rows))}
		for i, row := range p.Rows {
			if m.Values[i] = int64(r.IntN(20)); row.Sense == GreaterOrEqual {
				m.Values[i] = -m.Values[i]
			}
		}
		best, fits := brute(p)
		b, known := p.Bound(m)
		switch {
		case !known:
			t.Fatal("small figures left what can be held")
		case fits && m.Scale > 0 && b < best, fits && m.Scale == 0 && b < 0:
			t.Fatalf("bound %d under %d at %+v of %+v", b, best, m, p)
		}
	}
}

// A search that is stopped at any moment has a plan that fits, or none, and a bound that holds.
func TestStoppedAnywhereTheBoundHolds(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	for range 300 {
		p := drawn(r)
		want, fits := brute(p)
		for stop := 0; ; stop++ {
			asked := 0
			s := NewSearch(p)
			s.Stop = func() bool { asked++; return asked > stop }
			got := s.Run()
			if v, ok := p.Value(got.Values); got.Values != nil && (!ok || v != got.Value) {
				t.Fatalf("a plan that does not fit: %v", got)
			}
			if fits && got.Bound < want || got.Values != nil && got.Value > want || got.Complete && fits && got.Value != want {
				t.Fatalf("stopped after %d: %+v where the best is %d", stop, got, want)
			}
			if got.Complete {
				break
			}
		}
	}
}

func TestFiguresAtTheEdgeAreNoAnswer(t *testing.T) {
	p := &Program{Rows: []Row{{Bound: MaxMagnitude}}, Columns: []Column{{Objective: MaxMagnitude, Upper: 4, Rows: []int32{0}, Coefficients: []int64{1}}}}
	if _, ok := p.Value([]int64{2}); ok {
		t.Error("a sum beyond what can be held has a value")
	}
	if v, ok := p.Value([]int64{1}); !ok || v != MaxMagnitude {
		t.Error("the largest that can be held has none")
	}
	if got := NewSearch(p).Run(); got.Value > MaxMagnitude || got.Complete && got.Values == nil {
		t.Errorf("found %+v", got)
	}
}
