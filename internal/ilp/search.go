package ilp

import "math"

// Search is branch and bound, depth first: the branch nearest to the LP goes first, so that plans come early; what is
// open keeps its bound.
type Search struct {
	Program    *Program
	Stop       func() bool // nil: never; asked often
	MaxNodes   int         // at most; 0: as many as it takes
	Start      []int64     // a plan to begin with, or nil
	Cutoff     int64       // only what is worth more than this is looked for; math.MinInt64: anything
	Target     int64       // a plan worth this ends the search; math.MaxInt64: none does
	KnownBound int64       // known beforehand; math.MaxInt64: nothing is
}

// NewSearch looks for the best.
func NewSearch(p *Program) *Search {
	return &Search{Program: p, Cutoff: math.MinInt64, Target: math.MaxInt64, KnownBound: math.MaxInt64}
}

// Result is how far a search came.
type Result struct {
	Values   []int64 // the best found, or nil
	Value    int64   // of it
	Bound    int64   // no x is worth more; below what was asked for (Above + 1): there is none such
	Complete bool    // nothing is left open: X is best, or there is none
	Nodes    int
}

type node struct {
	before *node
	col    int
	lo, hi int64
	bound  int64
}

type run struct {
	Search
	lp    *LP
	grain int64
	res   Result
	left  int64 // the best bound of what could not be settled
	tried int64 // what is worth no more than this is passed over
}

// Run searches. An LP that stopped in the middle of a node leaves that node open.
func (s Search) Run() Result {
	r := run{Search: s, grain: s.Program.grain(), left: math.MinInt64, tried: s.Cutoff}
	if r.Stop == nil {
		r.Stop = func() bool { return false }
	}
	r.res.Value = math.MinInt64
	if s.Start != nil {
		r.offer(s.Start)
	}
	lo, hi := make([]int64, len(s.Program.Columns)), make([]int64, len(s.Program.Columns))
	for j, c := range s.Program.Columns {
		lo[j], hi[j] = c.Lower, c.Upper
	}
	r.lp = NewLP(s.Program)
	open := []*node{{col: -1, bound: s.KnownBound}}
	for len(open) > 0 && r.res.Value < r.Target {
		n := open[len(open)-1]
		if n.bound <= r.tried {
			open = open[:len(open)-1]
			continue
		}
		if r.Stop() || (r.MaxNodes > 0 && r.res.Nodes >= r.MaxNodes) {
			break
		}
		r.res.Nodes++
		for j := range s.Program.Columns {
			s.Program.Columns[j].Lower, s.Program.Columns[j].Upper = lo[j], hi[j]
		}
		for b := n; b != nil && b.col >= 0; b = b.before {
			c := &s.Program.Columns[b.col]
			c.Lower, c.Upper = max(c.Lower, b.lo), min(c.Upper, b.hi)
		}
		r.lp.Refresh()
		children, settled := r.visit(n)
		if !settled {
			break // time ran out in its middle: it stays open
		}
		open = append(open[:len(open)-1], children...)
	}
	for j := range s.Program.Columns {
		s.Program.Columns[j].Lower, s.Program.Columns[j].Upper = lo[j], hi[j]
	}
	r.res.Bound = max(r.left, r.tried)
	for _, n := range open {
		r.res.Bound = max(r.res.Bound, n.bound)
	}
	r.res.Bound = min(r.res.Bound, s.KnownBound)
	r.res.Complete = r.res.Bound <= r.tried
	return r.res
}

// offer takes a plan if it fits and is better than what is known.
func (r *run) offer(x []int64) bool {
	v, fits := r.Program.Value(x)
	if fits && v > r.tried {
		r.res.Values, r.res.Value, r.tried = append([]int64(nil), x...), v, v
	}
	return fits
}

// visit solves a node: it is cut, gives a plan, or branches; false: stopped before that was known.
func (r *run) visit(n *node) ([]*node, bool) {
	ended := r.lp.Solve(r.Stop)
	if ended == Stopped {
		return nil, r.hard(n)
	}
	bound := n.bound
	if b, known := r.Program.Bound(r.lp.Multipliers(ended)); known {
		if ended == Infeasible && b < 0 {
			return nil, true
		}
		if ended == Optimal {
			bound = min(bound, down(b, r.grain))
		}
	}
	if bound <= r.tried {
		return nil, true
	}
	at := r.lp.Values()
	x := make([]int64, len(at))
	pick, most := -1, -1.0
	for j, v := range at {
		x[j] = int64(math.Round(v))
		c := &r.Program.Columns[j]
		x[j] = min(c.Upper, max(c.Lower, x[j]))
		off := math.Abs(v - math.Round(v))
		if off < 1e-6 || ended == Infeasible || v < float64(c.Lower) || v > float64(c.Upper) {
			continue
		}
		rank := v - math.Floor(v)
		if c.BranchFirst {
			rank += 2
		}
		if rank > most {
			pick, most = j, rank
		}
	}
	if pick < 0 {
		if fits := ended == Optimal && r.offer(x); fits && r.tried >= bound {
			return nil, true
		}
		for j := range r.Program.Columns { // rounding hid something: halve what is not fixed yet
			if c := &r.Program.Columns[j]; c.Lower < c.Upper {
				cut := c.Lower + (c.Upper-c.Lower)/2
				return []*node{r.branch(n, j, cut+1, c.Upper, bound), r.branch(n, j, c.Lower, cut, bound)}, true
			}
		}
		r.offer(x) // all are fixed: this is all that there is
		return nil, true
	}
	cut := int64(math.Floor(at[pick]))
	c := r.Program.Columns[pick]
	lower, upper := r.branch(n, pick, c.Lower, cut, bound), r.branch(n, pick, cut+1, c.Upper, bound)
	if at[pick]-math.Floor(at[pick]) < 0.3 {
		return []*node{upper, lower}, true
	}
	return []*node{lower, upper}, true
}

// hard closes a node whose LP did not end though there was time, and keeps its bound as not settled.
func (r *run) hard(n *node) bool {
	if r.Stop() {
		return false
	}
	r.lp.slacks()
	r.left = max(r.left, n.bound)
	return true
}

func (r *run) branch(n *node, col int, lo, hi, bound int64) *node {
	return &node{before: n, col: col, lo: lo, hi: hi, bound: bound}
}
