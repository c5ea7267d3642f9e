package solve

import (
	"math"
	"slices"

	"swiftreel/internal/integer"
)

// Stop tells whether so many thousandths of the time given are over. It is asked often; nil never stops.
type Stop func(perMille int) bool

// The thousandths of the time after which each stage ends.
const (
	shortEnds, valueEnds, costEnds, levelEnds = 250, 600, 800, 1000
	// Of several thousand patterns the last parts of ten thousand are not worth the time.
	nearValue, nearCost = 10_000, 2000
)

// outcome is how far the stages came, at one moment of the warm-up.
type outcome struct {
	sol    *solution // nil: none
	none   bool      // proved: no answer fits
	got    measure
	bound  measure // of each: no better one is possible while those before it stand as they are
	proved [3]bool // value, cost, evenness
	marks  integer.Multipliers
	master *master // of the value's stage, for what binds
}

// stages solves for the objective in its strict order.
func (m *model) stages(h *holds, stop Stop) (out outcome) {
	s := newMaster(m, h)
	if len(h.floors) > 0 {
		f := s.run(aimShort, nil, math.MinInt64, 0, 0, -1, upTo(stop, shortEnds))
		if f.sol == nil || f.value < 0 {
			out.none = f.bound < 0
			return out
		}
		out.sol = f.sol
	} else {
		out.sol = m.empty()
	}
	first := m.measure(out.sol)
	f := s.run(aimValue, out.sol, math.MinInt64, near(nearValue), 0, h.cost, upTo(stop, valueEnds))
	out.master, out.marks = s, f.marks
	out.bound.value = f.bound
	if out.got = first; f.sol != nil {
		out.sol, out.got = f.sol, m.measure(f.sol)
	}
	out.proved[0] = out.got.value >= f.bound
	f = s.run(aimCost, out.sol, math.MinInt64, near(nearCost), out.got.value, h.cost, upTo(stop, costEnds))
	if f.sol != nil {
		if got := m.measure(f.sol); got.better(out.got) {
			out.sol, out.got = f.sol, got
		}
	}
	out.bound.cost = max(0, -f.bound)
	out.proved[1] = out.proved[0] && out.got.cost <= out.bound.cost
	m.even(h, &out, upTo(stop, levelEnds))
	return out
}

func upTo(stop Stop, perMille int) func() bool {
	return func() bool { return stop != nil && stop(perMille) }
}

func near(part int64) int64 { return part }

// found is what a stage gives.
type found struct {
	sol          *solution
	value, bound int64
	marks        integer.Multipliers
}

// run is one stage. above: only what is worth more counts; part: where not all patterns are written out, within that
// part of the bound is enough (0: all of it); value and cost: what earlier stages reached and must be kept.
func (s *master) run(to aim, start *solution, above, part, value, cost int64, stop func() bool) (f found) {
	s.turn(to, value, cost)
	var x []int64
	if start != nil {
		x = s.write(start)
	}
	bound := s.generate(stop)
	if x != nil {
		x = append(x, make([]int64, len(s.cols)-len(x))...)
	}
	search := integer.NewSearch(s.prog)
	search.Stop, search.Start, search.Above, search.Bound = stop, x, above, bound
	if to == aimShort {
		search.Enough = 0
	} else if above != math.MinInt64 {
		search.Enough = above + 1
	} else if !s.whole && bound != math.MaxInt64 && part > 0 {
		search.Enough = bound - max(bound, -bound)/part
	}
	r := search.Run()
	f.value, f.bound = r.Value, r.Bound
	if !s.whole {
		f.bound = bound // the search knows the patterns at hand only
	}
	if f.bound == math.MaxInt64 {
		f.bound = s.ceiling()
	}
	if r.X != nil {
		f.sol = s.read(r.X)
	}
	return f
}

// ceiling is a bound that needs no solving: all that is asked for is served.
func (s *master) ceiling() (most int64) {
	for j := range s.prog.Cols {
		if c := &s.prog.Cols[j]; s.cols[j].cluster < 0 && c.Obj > 0 {
			most += c.Obj * c.Hi
		}
	}
	return most
}

// even lowers the greatest use of an engine while value and cost stand: the levels there are, halved.
func (m *model) even(h *holds, out *outcome, stop func() bool) {
	var levels []int64
	for i := range m.groups {
		whole := m.groups[i].threads
		for n := int64(0); n <= whole; n++ {
			if l := n * 10_000 / whole; l < out.got.level {
				levels = append(levels, l)
			}
		}
	}
	slices.Sort(levels)
	levels = slices.Compact(levels)
	lo, hi, sure := 0, len(levels), true // levels before lo do not do; hi: that which is reached
	for lo < hi && !stop() {
		mid := (lo + hi) / 2
		try := *h
		try.level = levels[mid]
		s := newMaster(m, &try)
		f := s.run(aimValue, nil, out.got.value-1, 0, 0, out.got.cost, stop)
		switch {
		case f.sol != nil:
			got := m.measure(f.sol)
			if got.better(out.got) {
				out.sol, out.got = f.sol, got
			}
			hi = min(mid, sort(levels, out.got.level))
		default:
			sure = sure && f.bound < out.got.value
			lo = mid + 1
		}
	}
	if lo < hi {
		sure = false
	}
	out.bound.level = 0
	if lo < len(levels) && sure {
		out.bound.level = levels[lo]
	} else if sure {
		out.bound.level = out.got.level
	}
	out.proved[2] = out.proved[1] && sure
}

// sort is where a level stands.
func sort(levels []int64, level int64) int {
	i, _ := slices.BinarySearch(levels, level)
	return i
}
