package ilp

import (
	"math"
	"slices"
)

// Search is a branch and bound search, depth first. The branch nearest to the LP's solution comes first, so that
// solutions are found early; open nodes keep their bounds.
type Search struct {
	Program    *Program
	Stop       func() bool // nil: never; called often
	MaxNodes   int         // 0: no limit
	Start      []int64     // an initial solution, or nil
	Cutoff     int64       // only solutions above it are searched for; math.MinInt64: all
	Target     int64       // a solution of this value ends the search; math.MaxInt64: none does
	KnownBound int64       // an upper bound known beforehand; math.MaxInt64: none
}

// NewSearch returns a search for the best solution.
func NewSearch(program *Program) *Search {
	return &Search{Program: program, Cutoff: math.MinInt64, Target: math.MaxInt64, KnownBound: math.MaxInt64}
}

// Result is how far a search came.
type Result struct {
	Values   []int64 // the best solution found, or nil
	Value    int64   // its objective
	Bound    int64   // no solution has a greater one; not above Cutoff: there is none above it
	Complete bool    // no node is open: Values is optimal, or there is no solution above Cutoff
	Nodes    int
}

// node is a part of the search space: that of its parent, with a column's bounds tightened.
type node struct {
	parent *node
	column int // -1: the root
	lower  int64
	upper  int64
	bound  int64
}

// searchRun is the state of a running search.
type searchRun struct {
	Search
	relaxation  *LP
	granularity int64 // of the objective
	result      Result
	unsettled   int64 // the best bound of nodes that could not be solved
	threshold   int64 // solutions that are not above it are of no use
}

// Run runs the search. A node whose LP was stopped stays open.
func (s Search) Run() Result {
	r := searchRun{Search: s, granularity: s.Program.granularity(), unsettled: math.MinInt64, threshold: s.Cutoff}
	if r.Stop == nil {
		r.Stop = func() bool { return false }
	}
	r.result.Value = math.MinInt64
	if s.Start != nil {
		r.offer(s.Start)
	}
	original := slices.Clone(s.Program.Columns)
	r.relaxation = NewLP(s.Program)
	open := r.explore(original)
	copyBounds(s.Program.Columns, original)
	r.conclude(open)
	return r.result
}

// explore visits nodes until none is open or the search is to end, and returns the open ones.
func (r *searchRun) explore(original []Column) []*node {
	open := []*node{{column: -1, bound: r.KnownBound}}
	for len(open) > 0 && r.result.Value < r.Target {
		next := open[len(open)-1]
		if next.bound <= r.threshold {
			open = open[:len(open)-1]
			continue
		}
		if r.Stop() || (r.MaxNodes > 0 && r.result.Nodes >= r.MaxNodes) {
			break
		}
		r.result.Nodes++
		r.applyBounds(next, original)
		children, isSettled := r.visit(next)
		if !isSettled {
			break
		}
		open = append(open[:len(open)-1], children...)
	}
	return open
}

// applyBounds sets the columns' bounds to those of a node.
func (r *searchRun) applyBounds(n *node, original []Column) {
	copyBounds(r.Program.Columns, original)
	for ; n != nil && n.column >= 0; n = n.parent {
		column := &r.Program.Columns[n.column]
		column.Lower = max(column.Lower, n.lower)
		column.Upper = min(column.Upper, n.upper)
	}
	r.relaxation.Refresh()
}

func copyBounds(to, from []Column) {
	for j := range from {
		to[j].Lower = from[j].Lower
		to[j].Upper = from[j].Upper
	}
}

// conclude works out the result's bound from the nodes that are open.
func (r *searchRun) conclude(open []*node) {
	bound := max(r.unsettled, r.threshold)
	for _, n := range open {
		bound = max(bound, n.bound)
	}
	r.result.Bound = min(bound, r.KnownBound)
	r.result.Complete = r.result.Bound <= r.threshold
}

// offer takes a solution if it is feasible and better than the best known. It reports whether it is feasible.
func (r *searchRun) offer(solution []int64) bool {
	value, isFeasible := r.Program.Value(solution)
	if isFeasible && value > r.threshold {
		r.result.Values = slices.Clone(solution)
		r.result.Value = value
		r.threshold = value
	}
	return isFeasible
}

// visit solves a node and returns its children; none: the node is settled. False: the search was stopped before that
// was known.
func (r *searchRun) visit(current *node) ([]*node, bool) {
	outcome := r.relaxation.Solve(r.Stop)
	if outcome == Stopped {
		return nil, r.giveUp(current)
	}
	bound, isPruned := r.boundOf(current, outcome)
	if isPruned {
		return nil, true
	}
	values := r.relaxation.Values()
	rounded := r.round(values)
	fractional := r.branchingColumn(values, outcome)
	if fractional >= 0 {
		return r.branchAt(current, fractional, values[fractional], bound), true
	}
	if outcome == Optimal && r.offer(rounded) && r.threshold >= bound {
		return nil, true
	}
	return r.bisect(current, rounded, bound), true
}

// boundOf returns a node's bound, and whether the node cannot hold a solution of use.
func (r *searchRun) boundOf(n *node, outcome Outcome) (bound int64, isPruned bool) {
	bound = n.bound
	exact, isKnown := r.Program.Bound(r.relaxation.Multipliers(outcome))
	if isKnown && outcome == Infeasible && exact < 0 {
		return bound, true
	}
	if isKnown && outcome == Optimal {
		bound = min(bound, roundDown(exact, r.granularity))
	}
	return bound, bound <= r.threshold
}

// round rounds the LP's solution to integers within the columns' bounds.
func (r *searchRun) round(values []float64) []int64 {
	rounded := make([]int64, len(values))
	for j, value := range values {
		column := &r.Program.Columns[j]
		rounded[j] = min(column.Upper, max(column.Lower, int64(math.Round(value))))
	}
	return rounded
}

const (
	integralTolerance = 1e-6 // a value this close to an integer counts as one
	branchFirstBonus  = 2    // ranks BranchFirst columns above all others
	upperFirstBelow   = 0.3  // a fractional part below it has the upper branch visited first
)

// branchingColumn returns the column to branch on: the one with the largest fractional part, BranchFirst columns
// before others; -1: all values are integers.
func (r *searchRun) branchingColumn(values []float64, outcome Outcome) int {
	best, bestRank := -1, -1.0
	for j, value := range values {
		column := &r.Program.Columns[j]
		isIntegral := math.Abs(value-math.Round(value)) < integralTolerance
		isOutside := value < float64(column.Lower) || value > float64(column.Upper)
		if isIntegral || isOutside || outcome == Infeasible {
			continue
		}
		rank := value - math.Floor(value)
		if column.BranchFirst {
			rank += branchFirstBonus
		}
		if rank > bestRank {
			best = j
			bestRank = rank
		}
	}
	return best
}

// branchAt splits a node at a fractional value. The child that is visited first comes last.
func (r *searchRun) branchAt(n *node, column int, value float64, bound int64) []*node {
	floor := math.Floor(value)
	bounds := r.Program.Columns[column]
	lower := &node{parent: n, column: column, lower: bounds.Lower, upper: int64(floor), bound: bound}
	upper := &node{parent: n, column: column, lower: int64(floor) + 1, upper: bounds.Upper, bound: bound}
	if value-floor < upperFirstBelow {
		return []*node{upper, lower}
	}
	return []*node{lower, upper}
}

// bisect splits a node whose LP solution is integral, but not exact because of rounding, in the middle of the first
// column that is not fixed. With all columns fixed the rounded solution is the only one.
func (r *searchRun) bisect(n *node, rounded []int64, bound int64) []*node {
	for j := range r.Program.Columns {
		column := &r.Program.Columns[j]
		if column.Lower >= column.Upper {
			continue
		}
		middle := column.Lower + (column.Upper-column.Lower)/2
		upper := &node{parent: n, column: j, lower: middle + 1, upper: column.Upper, bound: bound}
		lower := &node{parent: n, column: j, lower: column.Lower, upper: middle, bound: bound}
		return []*node{upper, lower}
	}
	r.offer(rounded)
	return nil
}

// giveUp settles a node whose LP did not end although the search goes on, and keeps its bound. False: the search was
// stopped.
func (r *searchRun) giveUp(n *node) bool {
	if r.Stop() {
		return false
	}
	r.relaxation.resetBasis()
	r.unsettled = max(r.unsettled, n.bound)
	return true
}
