package ilp

import (
	"math"
	"slices"
)

// Search is a depth-first branch and bound search. It visits the child nearest to the LP solution first, to find
// incumbents early. Open nodes keep the bound of their parent's relaxation.
type Search struct {
	Program    *Program
	Stop       func() bool // nil: never; polled often
	MaxNodes   int         // 0: no limit
	Start      []int64     // initial incumbent, or nil
	Cutoff     int64       // only solutions with a larger objective are searched for; math.MinInt64: all
	Target     int64       // the search ends at a solution of at least this objective; math.MaxInt64: at none
	KnownBound int64       // upper bound known beforehand; math.MaxInt64: none
}

// NewSearch returns a search for an optimal solution without limits.
func NewSearch(program *Program) *Search {
	return &Search{Program: program, Cutoff: math.MinInt64, Target: math.MaxInt64, KnownBound: math.MaxInt64}
}

// Result is the outcome of a search.
type Result struct {
	Values   []int64 // incumbent, or nil
	Value    int64   // objective of the incumbent
	Bound    int64   // upper bound on the objective; at most Cutoff: no solution above Cutoff exists
	Complete bool    // the search space is exhausted: Values is optimal, or no solution above Cutoff exists
	Nodes    int
}

// node is a subproblem: its parent with tightened bounds of one column.
type node struct {
	parent *node
	column int // -1: root
	lower  int64
	upper  int64
	bound  int64
}

// searchRun is the state of a running search.
type searchRun struct {
	Search
	relaxation    *LP
	granularity   int64 // of the objective
	result        Result
	unsolvedBound int64 // largest bound of the nodes whose relaxation could not be solved
	pruneBound    int64 // nodes whose bound is at most this are pruned: the objective of the incumbent, or Cutoff
}

// Run runs the search. A node whose relaxation was stopped stays open.
func (s Search) Run() Result {
	r := searchRun{Search: s, granularity: s.Program.granularity(), unsolvedBound: math.MinInt64, pruneBound: s.Cutoff}
	if r.Stop == nil {
		r.Stop = func() bool { return false }
	}
	r.result.Value = math.MinInt64
	if s.Start != nil {
		r.updateIncumbent(s.Start)
	}
	original := slices.Clone(s.Program.Columns)
	r.relaxation = NewLP(s.Program)
	open := r.explore(original)
	copyBounds(s.Program.Columns, original)
	r.setBound(open)
	return r.result
}

// explore processes nodes until none is open, the target is reached or a limit stops the search. It returns the open
// nodes.
func (r *searchRun) explore(original []Column) []*node {
	open := []*node{{column: -1, bound: r.KnownBound}}
	for len(open) > 0 && r.result.Value < r.Target {
		next := open[len(open)-1]
		if next.bound <= r.pruneBound {
			open = open[:len(open)-1]
			continue
		}
		if r.Stop() || (r.MaxNodes > 0 && r.result.Nodes >= r.MaxNodes) {
			break
		}
		r.result.Nodes++
		r.applyBounds(next, original)
		children, isProcessed := r.processNode(next)
		if !isProcessed {
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

// setBound computes the bound of the result from the open nodes.
func (r *searchRun) setBound(open []*node) {
	bound := max(r.unsolvedBound, r.pruneBound)
	for _, n := range open {
		bound = max(bound, n.bound)
	}
	r.result.Bound = min(bound, r.KnownBound)
	r.result.Complete = r.result.Bound <= r.pruneBound
}

// updateIncumbent makes a solution the incumbent if it is feasible and improves on it. It reports whether the solution
// is feasible.
func (r *searchRun) updateIncumbent(solution []int64) bool {
	value, isFeasible := r.Program.Value(solution)
	if isFeasible && value > r.pruneBound {
		r.result.Values = slices.Clone(solution)
		r.result.Value = value
		r.pruneBound = value
	}
	return isFeasible
}

// processNode solves the relaxation of a node and returns the node's children; none if the node is fathomed or skipped.
// It returns false if the search was stopped during the solve, so that the node stays open.
func (r *searchRun) processNode(current *node) ([]*node, bool) {
	outcome := r.relaxation.Solve(r.Stop)
	if outcome == Stopped {
		return nil, r.skipUnsolved(current)
	}
	bound, isPruned := r.nodeBound(current, outcome)
	if isPruned {
		return nil, true
	}
	values := r.relaxation.Values()
	rounded := r.roundValues(values)
	fractional := r.branchingColumn(values, outcome)
	if fractional >= 0 {
		return r.branch(current, fractional, values[fractional], bound), true
	}
	if outcome == Optimal && r.updateIncumbent(rounded) && r.pruneBound >= bound {
		return nil, true
	}
	return r.bisect(current, rounded, bound), true
}

// nodeBound returns a node's bound, and whether the node can be pruned.
func (r *searchRun) nodeBound(n *node, outcome Outcome) (bound int64, isPruned bool) {
	bound = n.bound
	exact, isKnown := r.Program.Bound(r.relaxation.Multipliers(outcome))
	if isKnown && outcome == Infeasible && exact < 0 {
		return bound, true
	}
	if isKnown && outcome == Optimal {
		bound = min(bound, roundDown(exact, r.granularity))
	}
	return bound, bound <= r.pruneBound
}

// roundValues rounds the LP solution to integers within the columns' bounds.
func (r *searchRun) roundValues(values []float64) []int64 {
	rounded := make([]int64, len(values))
	for j, value := range values {
		column := &r.Program.Columns[j]
		rounded[j] = min(column.Upper, max(column.Lower, int64(math.Round(value))))
	}
	return rounded
}

const (
	integralityTolerance = 1e-6 // largest distance from an integer at which a value counts as integral
	branchFirstBonus     = 2    // exceeds any fractional part, so that BranchFirst columns rank first
	lowerFirstBelow      = 0.3  // fractional part below which the lower child is visited first
)

// branchingColumn returns the column to branch on: the one with the largest fractional part, with BranchFirst columns
// before others; -1 if all values are integral.
func (r *searchRun) branchingColumn(values []float64, outcome Outcome) int {
	best, bestRank := -1, -1.0
	for j, value := range values {
		column := &r.Program.Columns[j]
		isIntegral := math.Abs(value-math.Round(value)) < integralityTolerance
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

// branch splits a node at a fractional value. The last child returned is visited first.
func (r *searchRun) branch(n *node, column int, value float64, bound int64) []*node {
	floor := math.Floor(value)
	bounds := r.Program.Columns[column]
	lower := &node{parent: n, column: column, lower: bounds.Lower, upper: int64(floor), bound: bound}
	upper := &node{parent: n, column: column, lower: int64(floor) + 1, upper: bounds.Upper, bound: bound}
	if value-floor < lowerFirstBelow {
		return []*node{upper, lower}
	}
	return []*node{lower, upper}
}

// bisect splits a node whose LP solution is integral, but whose bound is not attained because of rounding errors, in
// the middle of the first column that is not fixed. If all columns are fixed, the rounded solution is the only one.
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
	r.updateIncumbent(rounded)
	return nil
}

// skipUnsolved closes a node whose relaxation hit the pivot limit, and keeps its bound in unsolvedBound. It returns
// false if the search was stopped instead.
func (r *searchRun) skipUnsolved(n *node) bool {
	if r.Stop() {
		return false
	}
	r.relaxation.resetBasis()
	r.unsolvedBound = max(r.unsolvedBound, n.bound)
	return true
}
