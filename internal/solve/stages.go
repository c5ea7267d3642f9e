package solve

import (
	"math"
	"slices"

	"swiftreel/internal/ilp"
)

// Stop reports whether so many thousandths of the time given are over. It is called often; nil never stops.
type Stop func(perMille int) bool

// The thousandths of the time at which each stage ends.
const (
	shortfallEnds   = 250
	valueEnds       = 600
	costEnds        = 800
	utilizationEnds = 1000
)

// Gaps that are near enough where not all patterns are written out, as parts of the bound: the last parts of ten
// thousand are not worth the time.
const (
	nearValue = 10_000
	nearCost  = 2000
)

// maxCompactVariables is the number of threads variables up to which what patterns left open is closed without them.
// Where not even the minimums are met yet, it is unmetFactor times as many.
const (
	maxCompactVariables = 300
	unmetFactor         = 10
)

// outcome is how far the stages came, at one moment of the warm-up.
type outcome struct {
	solution     *solution // nil: none
	isInfeasible bool      // proved: no answer fits
	measure      measure
	bound        measure // of each: no better one is possible while those before it stand as they are
	proved       Proved
	multipliers  ilp.Multipliers
	master       *master // of the value's stage, for what binds
}

// take replaces the solution by a better one.
func (out *outcome) take(m *model, s *solution) {
	if s == nil {
		return
	}
	if found := m.measure(s); found.isBetterThan(out.measure) {
		out.solution = s
		out.measure = found
	}
}

// stage is what one run of the master program looks for.
type stage struct {
	goal     goal
	start    *solution // nil: none known
	above    int64     // only what is worth more counts, and the first such is enough; math.MinInt64: the best
	part     int64     // where not all patterns are written out, within that part of the bound is enough; 0: all of it
	minValue int64     // reached by an earlier stage
	maxCost  int64     // of a second; none: as the constraints say
	stop     func() bool
}

// seeksAny reports whether the first solution above a value is enough.
func (g stage) seeksAny() bool { return g.above != math.MinInt64 }

// solveStages solves for the objective in its strict order.
func (m *model) solveStages(constraints *constraintSet, stop Stop) outcome {
	var out outcome
	s := newMaster(m, constraints)
	out.solution = m.emptySolution()
	if len(constraints.minimums) > 0 {
		result := s.finish(stage{
			goal:    minShortfall,
			above:   math.MinInt64,
			maxCost: none,
			stop:    upTo(stop, shortfallEnds),
		})
		if result.solution == nil || result.value < 0 {
			return outcome{isInfeasible: result.bound < 0}
		}
		out.solution = result.solution
	}
	out.measure = m.measure(out.solution)
	m.raiseValue(s, &out, upTo(stop, valueEnds))
	m.lowerCost(s, &out, upTo(stop, costEnds))
	m.lowerUtilization(constraints, &out, upTo(stop, utilizationEnds))
	return out
}

// raiseValue looks for the greatest value.
func (m *model) raiseValue(master *master, out *outcome, stop func() bool) {
	result := master.finish(stage{
		goal:    maxValue,
		start:   out.solution,
		above:   math.MinInt64,
		part:    nearValue,
		maxCost: master.constraints.maxCost,
		stop:    stop,
	})
	out.master = master
	out.multipliers = result.multipliers
	out.bound.value = result.bound
	if result.solution != nil {
		out.solution = result.solution
		out.measure = m.measure(result.solution)
	}
	out.proved.Value = out.measure.value >= result.bound
}

// lowerCost looks for the least cost while the value stands.
func (m *model) lowerCost(master *master, out *outcome, stop func() bool) {
	result := master.finish(stage{
		goal:     minCost,
		start:    out.solution,
		above:    math.MinInt64,
		part:     nearCost,
		minValue: out.measure.value,
		maxCost:  master.constraints.maxCost,
		stop:     stop,
	})
	out.take(m, result.solution)
	out.bound.cost = max(0, -result.bound)
	out.proved.Cost = out.proved.Value && out.measure.cost <= out.bound.cost
}

// lowerUtilization lowers the greatest utilization of an engine while value and cost stand, by bisection of the
// levels that there are.
func (m *model) lowerUtilization(constraints *constraintSet, out *outcome, stop func() bool) {
	levels := m.utilizationsBelow(out.measure.utilization)
	isProved := true
	low := 0            // levels before it cannot be reached
	high := len(levels) // that which is reached
	for low < high && !stop() {
		middle := (low + high) / 2
		limited := *constraints
		limited.maxUtilization = levels[middle]
		result := newMaster(m, &limited).finish(stage{
			goal:    maxValue,
			above:   out.measure.value - 1,
			maxCost: out.measure.cost,
			stop:    stop,
		})
		if result.solution != nil {
			out.take(m, result.solution)
			reached, _ := slices.BinarySearch(levels, out.measure.utilization)
			high = min(middle, reached)
			continue
		}
		isProved = isProved && result.bound < out.measure.value
		low = middle + 1
	}
	isProved = isProved && low >= high
	out.proved.Evenness = out.proved.Cost && isProved
	if !isProved {
		return
	}
	out.bound.utilization = out.measure.utilization
	if low < len(levels) {
		out.bound.utilization = levels[low]
	}
}

// utilizationsBelow returns the utilizations below one that engines may have, in order.
func (m *model) utilizationsBelow(limit int64) []int64 {
	var levels []int64
	for i := range m.groups {
		usable := m.groups[i].threads
		for threads := int64(0); threads <= usable; threads++ {
			if level := threads * utilizationScale / usable; level < limit {
				levels = append(levels, level)
			}
		}
	}
	slices.Sort(levels)
	return slices.Compact(levels)
}

func upTo(stop Stop, perMille int) func() bool {
	return func() bool { return stop != nil && stop(perMille) }
}

// stageResult is what a stage gives. bound is one on the value.
type stageResult struct {
	solution    *solution // nil: none
	value       int64
	bound       int64
	multipliers ilp.Multipliers
}

// finish runs a stage, and closes what that leaves open by the program without patterns where it is small enough.
func (s *master) finish(target stage) stageResult {
	result := s.run(target)
	if s.isComplete || target.stop() || !s.closesCompactly(target, result) || result.bound <= target.above {
		return result
	}
	compact := newCompact(s.model, s.constraints)
	compact.knownBound = result.bound
	if result.solution != nil {
		target.start = result.solution
	}
	closed := compact.run(target)
	if closed.solution == nil || result.solution != nil && result.value > closed.value {
		closed.solution = result.solution
		closed.value = result.value
	}
	closed.bound = min(result.bound, closed.bound)
	closed.multipliers = result.multipliers
	return closed
}

// closesCompactly reports whether the program without patterns is worth trying.
func (s *master) closesCompactly(g stage, result stageResult) bool {
	variables := len(s.model.classes) * len(s.model.problem.Engines)
	meetsMinimums := result.solution != nil && (g.goal != minShortfall || result.value == 0)
	if !meetsMinimums {
		return variables <= unmetFactor*maxCompactVariables
	}
	return variables <= maxCompactVariables && result.value < result.bound && !g.seeksAny()
}

// run runs a stage.
func (s *master) run(target stage) stageResult {
	s.beginStage(target)
	var values []int64
	if target.start != nil {
		values = s.valuesOf(target.start)
	}
	search := ilp.NewSearch(s.program)
	search.Stop = target.stop
	search.Cutoff = target.above
	patternBound, multipliers := s.generatePatterns(target.stop)
	search.KnownBound = min(patternBound, s.knownBound)
	s.setTarget(search, target)
	if !s.isComplete {
		values = s.improveByDiving(target, values, min(search.Target, search.KnownBound))
	}
	if values != nil {
		values = s.padded(values)
	}
	search.Start = values
	found := search.Run()
	result := stageResult{value: found.Value, bound: found.Bound, multipliers: multipliers}
	if !s.isComplete {
		result.bound = search.KnownBound // the search knows the patterns at hand only
	}
	if result.bound == math.MaxInt64 {
		result.bound = s.maxTotalValue()
	}
	if found.Values != nil {
		result.solution = s.solutionOf(found.Values)
	}
	return result
}

// setTarget sets the value that is enough.
func (s *master) setTarget(search *ilp.Search, g stage) {
	switch {
	case g.goal == minShortfall:
		search.Target = 0
	case g.seeksAny():
		search.Target = g.above + 1
	case !s.isComplete && search.KnownBound != math.MaxInt64 && g.part > 0:
		magnitude := max(search.KnownBound, -search.KnownBound)
		search.Target = search.KnownBound - magnitude/g.part
	}
}

// padded returns columns' values with zeros for columns that came later.
func (s *master) padded(values []int64) []int64 {
	return append(values, make([]int64, len(s.columns)-len(values))...)
}

// maxTotalValue is a bound that needs no solving: all that is requested is granted.
func (s *master) maxTotalValue() int64 {
	sum := int64(0)
	for j := range s.program.Columns {
		column := &s.program.Columns[j]
		if !s.columns[j].isPattern() && column.Objective > 0 {
			sum += column.Objective * column.Upper
		}
	}
	return sum
}
