package ilp

import (
	"math/rand/v2"
	"testing"
)

// brute tries every whole x.
func brute(p *Program) (best int64, fits bool) {
	x := make([]int64, len(p.Cols))
	var at func(j int)
	at = func(j int) {
		if j == len(x) {
			if v, ok := p.Value(x); ok && (!fits || v > best) {
				best, fits = v, true
			}
			return
		}
		for x[j] = p.Cols[j].Lo; x[j] <= p.Cols[j].Hi; x[j]++ {
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
			row.Sense, row.Bound = AtLeast, large*int64(r.IntN(20))
		}
		p.Rows = append(p.Rows, row)
	}
	for range 1 + r.IntN(6) {
		c := Col{Obj: int64(r.IntN(60) - 10), Lo: int64(r.IntN(2)), Hi: int64(1 + r.IntN(4)), First: r.IntN(2) == 0}
		for i := range p.Rows {
			if r.IntN(3) > 0 {
				c.Rows, c.By = append(c.Rows, int32(i)), append(c.By, large*int64(r.IntN(12)-1))
			}
		}
		p.Cols = append(p.Cols, c)
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
		if !got.Done || (got.X != nil) != fits || (fits && (got.Value != want || got.Bound != want)) {
			t.Fatalf("program %d: fits %v, best %d; found %v %d, bound %d, done %v\n%+v", n, fits, want, got.X, got.Value,
				got.Bound, got.Done, p)
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
		m := Multipliers{Scale: int64(r.IntN(3)), By: make([]int64, len(p.Rows))}
		for i, row := range p.Rows {
			if m.By[i] = int64(r.IntN(20)); row.Sense == AtLeast {
				m.By[i] = -m.By[i]
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
			if v, ok := p.Value(got.X); got.X != nil && (!ok || v != got.Value) {
				t.Fatalf("a plan that does not fit: %v", got)
			}
			if fits && got.Bound < want || got.X != nil && got.Value > want || got.Done && fits && got.Value != want {
				t.Fatalf("stopped after %d: %+v where the best is %d", stop, got, want)
			}
			if got.Done {
				break
			}
		}
	}
}

func TestFiguresAtTheEdgeAreNoAnswer(t *testing.T) {
	p := &Program{Rows: []Row{{Bound: Largest}}, Cols: []Col{{Obj: Largest, Hi: 4, Rows: []int32{0}, By: []int64{1}}}}
	if _, ok := p.Value([]int64{2}); ok {
		t.Error("a sum beyond what can be held has a value")
	}
	if v, ok := p.Value([]int64{1}); !ok || v != Largest {
		t.Error("the largest that can be held has none")
	}
	if got := NewSearch(p).Run(); got.Value > Largest || got.Done && got.X == nil {
		t.Errorf("found %+v", got)
	}
}
