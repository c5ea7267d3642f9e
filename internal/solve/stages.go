package solve

import (
	"math"
	"math/rand/v2"
	"slices"

	"swiftreel/internal/ilp"
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
	marks  ilp.Multipliers
	master *master // of the value's stage, for what binds
}

// stages solves for the objective in its strict order.
func (m *model) stages(h *holds, stop Stop) (out outcome) {
	s := newMaster(m, h)
	if len(h.floors) > 0 {
		f := s.finish(aimShort, nil, math.MinInt64, 0, 0, -1, upTo(stop, shortEnds))
		if f.sol == nil || f.value < 0 {
			out.none = f.bound < 0
			return out
		}
		out.sol = f.sol
	} else {
		out.sol = m.empty()
	}
	first := m.measure(out.sol)
	f := s.finish(aimValue, out.sol, math.MinInt64, nearValue, 0, h.cost, upTo(stop, valueEnds))
	out.master, out.marks = s, f.marks
	out.bound.value = f.bound
	if out.got = first; f.sol != nil {
		out.sol, out.got = f.sol, m.measure(f.sol)
	}
	out.proved[0] = out.got.value >= f.bound
	f = s.finish(aimCost, out.sol, math.MinInt64, nearCost, out.got.value, h.cost, upTo(stop, costEnds))
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

// found is what a stage gives.
type found struct {
	sol          *solution
	value, bound int64
	marks        ilp.Multipliers
}

// mostCompact is up to how many threads variables what patterns left open is closed without them; where not even the
// floors are met yet, up to ten times as many.
const mostCompact = 300

// finish is run, and what it leaves open closed by the program without patterns where that is small enough.
func (s *master) finish(to aim, start *solution, above, part, value, cost int64, stop func() bool) found {
	f := s.run(to, start, above, part, value, cost, stop)
	size := len(s.m.pieces) * len(s.m.p.Engines)
	met := f.sol != nil && (to != aimShort || f.value == 0)
	if s.whole || stop() || size > 10*mostCompact || (met && (f.value >= f.bound || size > mostCompact || above != math.MinInt64)) {
		return f
	}
	if f.bound <= above {
		return f
	}
	c := newCompact(s.m, s.h)
	c.limit = f.bound
	if f.sol != nil {
		start = f.sol
	}
	g := c.run(to, start, above, part, value, cost, stop)
	if g.sol == nil || f.sol != nil && f.value > g.value {
		g.sol, g.value = f.sol, f.value
	}
	g.bound, g.marks = min(f.bound, g.bound), f.marks
	return g
}

// run is one stage. above: only what is worth more counts, and the first such is enough; part: where not all patterns
// are written out, within that part of the bound is enough (0: all of it); value and cost: what earlier stages reached
// and must be kept.
func (s *master) run(to aim, start *solution, above, part, value, cost int64, stop func() bool) (f found) {
	s.turn(to, value, cost)
	var x []int64
	if start != nil {
		x = s.write(start)
	}
	search := ilp.NewSearch(s.prog)
	search.Stop, search.Cutoff = stop, above
	search.KnownBound, f.marks = s.generate(stop)
	search.KnownBound = min(search.KnownBound, s.limit)
	switch {
	case to == aimShort:
		search.Target = 0
	case above != math.MinInt64:
		search.Target = above + 1
	case !s.whole && search.KnownBound != math.MaxInt64 && part > 0:
		search.Target = search.KnownBound - max(search.KnownBound, -search.KnownBound)/part
	}
	if !s.whole {
		x = s.dives(to, x, min(search.Target, search.KnownBound), stop)
	}
	if x != nil {
		x = append(x, make([]int64, len(s.cols)-len(x))...)
	}
	search.Start = x
	r := search.Run()
	f.value, f.bound = r.Value, r.Bound
	if !s.whole {
		f.bound = search.KnownBound // the search knows the patterns at hand only
	}
	if f.bound == math.MaxInt64 {
		f.bound = s.ceiling()
	}
	if r.Values != nil {
		f.sol = s.read(r.Values)
	}
	return f
}

// ceiling is a bound that needs no solving: all that is asked for is served.
func (s *master) ceiling() (most int64) {
	for j := range s.prog.Columns {
		if c := &s.prog.Columns[j]; s.cols[j].cluster < 0 && c.Objective > 0 {
			most += c.Objective * c.Upper
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
		f := s.finish(aimValue, nil, out.got.value-1, 0, 0, out.got.cost, stop)
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

// wholeFrom are the parts from which a dive takes a pattern for whole, one dive after the other.
var wholeFrom = [...]float64{0.9, 0.98, 0.8, 0.7}

// mostFreed is how often in a row engines are freed and settled anew for nothing before the search says enough.
const mostFreed = 200

// dives goes down several ways, then frees a part of the best plan's engines again and again and settles them anew,
// until it is worth enough. A little of the cost stands in the objective, so that of values nearly alike
// the cheaper is found.
func (s *master) dives(to aim, best []int64, enough int64, stop func() bool) []int64 {
	dear, was := s.dear, s.dear
	if to == aimValue {
		dear = s.ceiling() / max(1, s.m.mostCost()) / 20_000
	}
	kept := best // the best that meets all floors; best may be short of some at a price
	var most int64 = math.MinInt64
	if best != nil {
		best = append(best, make([]int64, len(s.cols)-len(best))...)
		most, _ = s.prog.Value(best)
	}
	done := func() bool {
		return stop() || (kept != nil && most >= enough)
	}
	try := func(settled []int64, almost float64) bool {
		s.soften(true)
		s.charge(dear)
		x := s.dive(settled, almost, stop)
		s.charge(was)
		x = append(x, make([]int64, len(s.cols)-len(x))...)
		v, fits := s.prog.Value(x)
		s.soften(false)
		s.charge(was)
		if !fits || v <= most {
			return false
		}
		if best, most = x, v; s.short(x) == 0 {
			kept = x
		}
		return true
	}
	for i := 0; i < len(wholeFrom) && !done(); i++ {
		try(nil, wholeFrom[i])
	}
	by := rand.New(rand.NewPCG(1, 1))
	for idle := 0; best != nil && idle < mostFreed && !done(); idle++ {
		if try(s.free(best, 2+idle%6, by), wholeFrom[idle%len(wholeFrom)]) {
			idle = -1
		}
	}
	return kept
}

// soften lets floors be missed at a price while a dive is under way, which would else end at the first that is.
func (s *master) soften(on bool) {
	if s.aim != aimValue {
		return
	}
	dearest := int64(1)
	for _, w := range s.m.worth {
		dearest = max(dearest, w)
	}
	s.missing = 0
	if on {
		s.missing = min(20*dearest, mostSum/max(1, s.m.fleet))
	}
}

// short is the threads that a plan is short of floors.
func (s *master) short(x []int64) (n int64) {
	for j, of := range s.cols {
		if of.cluster < 0 && of.want < 0 {
			n += x[j]
		}
	}
	return n
}

// charge sets what a unit of cost takes off the objective.
func (s *master) charge(dear int64) {
	s.dear = dear
	for j := range s.cols {
		s.price(j)
	}
}
