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
	shortfallEnds, valueEnds, costEnds, utilizationEnds = 250, 600, 800, 1000
	// Of several thousand patterns the last parts of ten thousand are not worth the time.
	nearValue, nearCost = 10_000, 2000
)

// outcome is how far the stages came, at one moment of the warm-up.
type outcome struct {
	solution     *solution // nil: none
	isInfeasible bool      // proved: no answer fits
	measure      measure
	bound        measure // of each: no better one is possible while those before it stand as they are
	proved       [3]bool // value, cost, evenness
	multipliers  ilp.Multipliers
	master       *master // of the value's stage, for what binds
}

// stages solves for the objective in its strict order.
func (m *model) solveStages(constraints *constraintSet, stop Stop) (out outcome) {
	s := newMaster(m, constraints)
	if len(constraints.minimums) > 0 {
		f := s.finish(minShortfall, nil, math.MinInt64, 0, 0, -1, upTo(stop, shortfallEnds))
		if f.solution == nil || f.value < 0 {
			out.isInfeasible = f.bound < 0
			return out
		}
		out.solution = f.solution
	} else {
		out.solution = m.emptySolution()
	}
	first := m.measure(out.solution)
	f := s.finish(maxValue, out.solution, math.MinInt64, nearValue, 0, constraints.maxCost, upTo(stop, valueEnds))
	out.master, out.multipliers = s, f.multipliers
	out.bound.value = f.bound
	if out.measure = first; f.solution != nil {
		out.solution, out.measure = f.solution, m.measure(f.solution)
	}
	out.proved[0] = out.measure.value >= f.bound
	f = s.finish(minCost, out.solution, math.MinInt64, nearCost, out.measure.value, constraints.maxCost, upTo(stop, costEnds))
	if f.solution != nil {
		if got := m.measure(f.solution); got.isBetterThan(out.measure) {
			out.solution, out.measure = f.solution, got
		}
	}
	out.bound.cost = max(0, -f.bound)
	out.proved[1] = out.proved[0] && out.measure.cost <= out.bound.cost
	m.lowerUtilization(constraints, &out, upTo(stop, utilizationEnds))
	return out
}

func upTo(stop Stop, perMille int) func() bool {
	return func() bool { return stop != nil && stop(perMille) }
}

// found is what a stage gives.
type stageResult struct {
	solution     *solution
	value, bound int64
	multipliers  ilp.Multipliers
}

// mostCompact is up to how many threads variables what patterns left open is closed without them; where not even the
// floors are met yet, up to ten times as many.
const maxCompactVariables = 300

// finish is run, and what it leaves open closed by the program without patterns where that is small enough.
func (s *master) finish(to goal, start *solution, above, part, value, cost int64, stop func() bool) stageResult {
	f := s.run(to, start, above, part, value, cost, stop)
	size := len(s.model.classes) * len(s.model.problem.Engines)
	met := f.solution != nil && (to != minShortfall || f.value == 0)
	if s.isComplete || stop() || size > 10*maxCompactVariables || (met && (f.value >= f.bound || size > maxCompactVariables || above != math.MinInt64)) {
		return f
	}
	if f.bound <= above {
		return f
	}
	c := newCompact(s.model, s.constraints)
	c.knownBound = f.bound
	if f.solution != nil {
		start = f.solution
	}
	g := c.run(to, start, above, part, value, cost, stop)
	if g.solution == nil || f.solution != nil && f.value > g.value {
		g.solution, g.value = f.solution, f.value
	}
	g.bound, g.multipliers = min(f.bound, g.bound), f.multipliers
	return g
}

// run is one stage. above: only what is worth more counts, and the first such is enough; part: where not all patterns
// are written out, within that part of the bound is enough (0: all of it); value and cost: what earlier stages reached
// and must be kept.
func (s *master) run(to goal, start *solution, above, part, value, cost int64, stop func() bool) (f stageResult) {
	s.beginStage(to, value, cost)
	var x []int64
	if start != nil {
		x = s.valuesOf(start)
	}
	search := ilp.NewSearch(s.program)
	search.Stop, search.Cutoff = stop, above
	search.KnownBound, f.multipliers = s.generatePatterns(stop)
	search.KnownBound = min(search.KnownBound, s.knownBound)
	switch {
	case to == minShortfall:
		search.Target = 0
	case above != math.MinInt64:
		search.Target = above + 1
	case !s.isComplete && search.KnownBound != math.MaxInt64 && part > 0:
		search.Target = search.KnownBound - max(search.KnownBound, -search.KnownBound)/part
	}
	if !s.isComplete {
		x = s.improveByDiving(to, x, min(search.Target, search.KnownBound), stop)
	}
	if x != nil {
		x = append(x, make([]int64, len(s.columns)-len(x))...)
	}
	search.Start = x
	r := search.Run()
	f.value, f.bound = r.Value, r.Bound
	if !s.isComplete {
		f.bound = search.KnownBound // the search knows the patterns at hand only
	}
	if f.bound == math.MaxInt64 {
		f.bound = s.maxTotalValue()
	}
	if r.Values != nil {
		f.solution = s.solutionOf(r.Values)
	}
	return f
}

// ceiling is a bound that needs no solving: all that is asked for is served.
func (s *master) maxTotalValue() (most int64) {
	for j := range s.program.Columns {
		if c := &s.program.Columns[j]; s.columns[j].cluster < 0 && c.Objective > 0 {
			most += c.Objective * c.Upper
		}
	}
	return most
}

// even lowers the greatest use of an engine while value and cost stand: the levels there are, halved.
func (m *model) lowerUtilization(constraints *constraintSet, out *outcome, stop func() bool) {
	var levels []int64
	for i := range m.groups {
		whole := m.groups[i].threads
		for n := int64(0); n <= whole; n++ {
			if l := n * 10_000 / whole; l < out.measure.utilization {
				levels = append(levels, l)
			}
		}
	}
	slices.Sort(levels)
	levels = slices.Compact(levels)
	lo, hi, sure := 0, len(levels), true // levels before lo do not do; hi: that which is reached
	for lo < hi && !stop() {
		mid := (lo + hi) / 2
		try := *constraints
		try.maxUtilization = levels[mid]
		s := newMaster(m, &try)
		f := s.finish(maxValue, nil, out.measure.value-1, 0, 0, out.measure.cost, stop)
		switch {
		case f.solution != nil:
			got := m.measure(f.solution)
			if got.isBetterThan(out.measure) {
				out.solution, out.measure = f.solution, got
			}
			hi = min(mid, levelIndex(levels, out.measure.utilization))
		default:
			sure = sure && f.bound < out.measure.value
			lo = mid + 1
		}
	}
	if lo < hi {
		sure = false
	}
	out.bound.utilization = 0
	if lo < len(levels) && sure {
		out.bound.utilization = levels[lo]
	} else if sure {
		out.bound.utilization = out.measure.utilization
	}
	out.proved[2] = out.proved[1] && sure
}

// sort is where a level stands.
func levelIndex(levels []int64, level int64) int {
	i, _ := slices.BinarySearch(levels, level)
	return i
}

// wholeFrom are the parts from which a dive takes a pattern for whole, one dive after the other.
var roundingThresholds = [...]float64{0.9, 0.98, 0.8, 0.7}

// mostFreed is how often in a row engines are freed and settled anew for nothing before the search says enough.
const maxIdleRounds = 200

// dives goes down several ways, then frees a part of the best plan's engines again and again and settles them anew,
// until it is worth enough. A little of the cost stands in the objective, so that of values nearly alike
// the cheaper is found.
func (s *master) improveByDiving(to goal, best []int64, enough int64, stop func() bool) []int64 {
	dear, was := s.costPrice, s.costPrice
	if to == maxValue {
		dear = s.maxTotalValue() / max(1, s.model.maxCost()) / 20_000
	}
	kept := best // the best that meets all floors; best may be short of some at a price
	var most int64 = math.MinInt64
	if best != nil {
		best = append(best, make([]int64, len(s.columns)-len(best))...)
		most, _ = s.program.Value(best)
	}
	done := func() bool {
		return stop() || (kept != nil && most >= enough)
	}
	try := func(settled []int64, almost float64) bool {
		s.allowShortfall(true)
		s.setCostPrice(dear)
		x := s.runDivingHeuristic(settled, almost, stop)
		s.setCostPrice(was)
		x = append(x, make([]int64, len(s.columns)-len(x))...)
		v, fits := s.program.Value(x)
		s.allowShortfall(false)
		s.setCostPrice(was)
		if !fits || v <= most {
			return false
		}
		if best, most = x, v; s.shortfall(x) == 0 {
			kept = x
		}
		return true
	}
	for i := 0; i < len(roundingThresholds) && !done(); i++ {
		try(nil, roundingThresholds[i])
	}
	random := rand.New(rand.NewPCG(1, 1))
	for idle := 0; best != nil && idle < maxIdleRounds && !done(); idle++ {
		if try(s.releaseEngines(best, 2+idle%6, random), roundingThresholds[idle%len(roundingThresholds)]) {
			idle = -1
		}
	}
	return kept
}

// soften lets floors be missed at a price while a dive is under way, which would else end at the first that is.
func (s *master) allowShortfall(on bool) {
	if s.goal != maxValue {
		return
	}
	dearest := int64(1)
	for _, w := range s.model.threadValues {
		dearest = max(dearest, w)
	}
	s.shortfallPrice = 0
	if on {
		s.shortfallPrice = min(20*dearest, maxSum/max(1, s.model.fleetThreads))
	}
}

// short is the threads that a plan is short of floors.
func (s *master) shortfall(x []int64) (n int64) {
	for j, meaning := range s.columns {
		if meaning.cluster < 0 && meaning.workload < 0 {
			n += x[j]
		}
	}
	return n
}

// charge sets what a unit of cost takes off the objective.
func (s *master) setCostPrice(dear int64) {
	s.costPrice = dear
	for j := range s.columns {
		s.setPrice(j)
	}
}
