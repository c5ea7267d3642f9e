package solve

import (
	"math"
	"slices"

	"swiftreel/internal/ilp"
)

// Stop reports whether the given part of the time limit, in thousandths, has passed. It is polled often; nil never
// stops.
type Stop func(perMille int) bool

// The ends of the stages, in thousandths of the time limit.
const (
	shortfallEnds   = 250
	valueEnds       = 600
	costEnds        = 800
	utilizationEnds = 1000
)

// Reciprocals of the relative gaps at which a stage over generated patterns ends. Closing the gap further is not worth
// the time.
const (
	valueGapDivisor = 10_000
	costGapDivisor  = 2000
)

// maxCompactVariables is the number of variables up to which the compact form closes the gap that the patterns leave.
// While the minimums are not met, the limit is unmetMinimumsFactor times as high.
const (
	maxCompactVariables = 300
	unmetMinimumsFactor = 10
)

// outcome is the result of solving the model of one point in time.
type outcome struct {
	solution     *solution // nil: none
	isInfeasible bool      // proved
	objective    objective
	bound        objective // of each objective, given the values of the objectives before it
	proved       Proved
	multipliers  ilp.Multipliers
	master       *master // of the value stage, for the binding constraints
}

// takeIfBetter replaces the solution by one that is better.
func (out *outcome) takeIfBetter(m *model, s *solution) {
	if s == nil {
		return
	}
	if found := m.objective(s); found.isBetterThan(out.objective) {
		out.solution = s
		out.objective = found
	}
}

// stage is the parameters of one run of the master program.
type stage struct {
	goal       goal
	start      *solution // solution to start from; nil: none known
	above      int64     // only greater objective values count, and the first one ends the stage; math.MinInt64: all
	gapDivisor int64     // reciprocal of the relative gap that ends the stage if patterns are generated; 0: no gap
	minValue   int64     // value reached by an earlier stage
	maxCost    int64     // per second; none: as in the constraints
	stop       func() bool
}

// acceptsFirst reports whether the first solution above a value ends the stage.
func (g stage) acceptsFirst() bool { return g.above != math.MinInt64 }

// solveStages optimizes the objectives lexicographically, one stage each, after a stage that meets the minimums.
func (m *model) solveStages(constraints *constraintSet, stop Stop) outcome {
	var out outcome
	s := newMaster(m, constraints)
	out.solution = m.emptySolution()
	if len(constraints.minimums) > 0 {
		result := s.solveStage(stage{
			goal:    minShortfall,
			above:   math.MinInt64,
			maxCost: none,
			stop:    stopAfter(stop, shortfallEnds),
		})
		if result.solution == nil || result.value < 0 {
			return outcome{isInfeasible: result.bound < 0}
		}
		out.solution = result.solution
	}
	out.objective = m.objective(out.solution)
	m.maximizeValue(s, &out, stopAfter(stop, valueEnds))
	m.minimizeCost(s, &out, stopAfter(stop, costEnds))
	m.minimizeUtilization(constraints, &out, stopAfter(stop, utilizationEnds))
	return out
}

func (m *model) maximizeValue(master *master, out *outcome, stop func() bool) {
	result := master.solveStage(stage{
		goal:       maxValue,
		start:      out.solution,
		above:      math.MinInt64,
		gapDivisor: valueGapDivisor,
		maxCost:    master.constraints.maxCost,
		stop:       stop,
	})
	out.master = master
	out.multipliers = result.multipliers
	out.bound.value = result.bound
	if result.solution != nil {
		out.solution = result.solution
		out.objective = m.objective(result.solution)
	}
	out.proved.Value = out.objective.value >= result.bound
}

// minimizeCost minimizes the cost at the value reached.
func (m *model) minimizeCost(master *master, out *outcome, stop func() bool) {
	result := master.solveStage(stage{
		goal:       minCost,
		start:      out.solution,
		above:      math.MinInt64,
		gapDivisor: costGapDivisor,
		minValue:   out.objective.value,
		maxCost:    master.constraints.maxCost,
		stop:       stop,
	})
	out.takeIfBetter(m, result.solution)
	out.bound.cost = max(0, -result.bound)
	out.proved.Cost = out.proved.Value && out.objective.cost <= out.bound.cost
}

// minimizeUtilization minimizes the maximum utilization of an engine at the value and cost reached, by bisection over
// the utilization levels that are possible.
func (m *model) minimizeUtilization(constraints *constraintSet, out *outcome, stop func() bool) {
	levels := m.utilizationsBelow(out.objective.utilization)
	isProved := true
	low := 0            // levels below this index are not reachable
	high := len(levels) // index of the level that is reached
	for low < high && !stop() {
		middle := (low + high) / 2
		limited := *constraints
		limited.maxUtilization = levels[middle]
		result := newMaster(m, &limited).solveStage(stage{
			goal:    maxValue,
			above:   out.objective.value - 1,
			maxCost: out.objective.cost,
			stop:    stop,
		})
		if result.solution != nil {
			out.takeIfBetter(m, result.solution)
			reached, _ := slices.BinarySearch(levels, out.objective.utilization)
			high = min(middle, reached)
			continue
		}
		isProved = isProved && result.bound < out.objective.value
		low = middle + 1
	}
	isProved = isProved && low >= high
	out.proved.MaxUtilization = out.proved.Cost && isProved
	if !isProved {
		return
	}
	out.bound.utilization = out.objective.utilization
	if low < len(levels) {
		out.bound.utilization = levels[low]
	}
}

// utilizationsBelow returns the utilizations below a limit that engines can have, in increasing order.
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

// stopAfter returns a function that reports whether part of the time limit, in thousandths, has passed.
func stopAfter(stop Stop, perMille int) func() bool {
	return func() bool { return stop != nil && stop(perMille) }
}

// stageResult is the result of a stage. bound is an upper bound on value.
type stageResult struct {
	solution    *solution // nil: none
	value       int64
	bound       int64
	multipliers ilp.Multipliers
}

// solveStage runs a stage, and tries to close a remaining gap with the compact form if the compact form is small
// enough.
func (s *master) solveStage(target stage) stageResult {
	result := s.solveForm(target)
	if s.isComplete || target.stop() || !s.shouldTryCompact(target, result) || result.bound <= target.above {
		return result
	}
	compact := newCompact(s.model, s.constraints)
	compact.knownBound = result.bound
	if result.solution != nil {
		target.start = result.solution
	}
	closed := compact.solveForm(target)
	if closed.solution == nil || result.solution != nil && result.value > closed.value {
		closed.solution = result.solution
		closed.value = result.value
	}
	closed.bound = min(result.bound, closed.bound)
	closed.multipliers = result.multipliers
	return closed
}

// shouldTryCompact reports whether the compact form is worth trying.
func (s *master) shouldTryCompact(g stage, result stageResult) bool {
	variables := len(s.model.classes) * len(s.model.problem.Engines)
	meetsMinimums := result.solution != nil && (g.goal != minShortfall || result.value == 0)
	if !meetsMinimums {
		return variables <= unmetMinimumsFactor*maxCompactVariables
	}
	return variables <= maxCompactVariables && result.value < result.bound && !g.acceptsFirst()
}

// solveForm runs a stage on this form of the program.
func (s *master) solveForm(target stage) stageResult {
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
		result.bound = search.KnownBound // the bound of the search holds only for the patterns in the program
	}
	if result.bound == math.MaxInt64 {
		result.bound = s.maxTotalValue()
	}
	if found.Values != nil {
		result.solution = s.solutionOf(found.Values)
	}
	return result
}

// setTarget sets the objective at which the search ends.
func (s *master) setTarget(search *ilp.Search, g stage) {
	switch {
	case g.goal == minShortfall:
		search.Target = 0
	case g.acceptsFirst():
		search.Target = g.above + 1
	case !s.isComplete && search.KnownBound != math.MaxInt64 && g.gapDivisor > 0:
		magnitude := max(search.KnownBound, -search.KnownBound)
		search.Target = search.KnownBound - magnitude/g.gapDivisor
	}
}

// padded extends columns' values with zeros for columns that were added since.
func (s *master) padded(values []int64) []int64 {
	return append(values, make([]int64, len(s.columns)-len(values))...)
}

// maxTotalValue returns a trivial upper bound on the objective: all requests are granted.
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
