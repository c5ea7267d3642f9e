package ilp

import "math"

// Search is branch and bound, depth first: the branch nearest to the LP goes first, so that plans come early; what is
// open keeps its bound.
type Search struct {
	Prog   *Program
	Stop   func() bool // nil: never; asked often
	Nodes  int         // at most; 0: as many as it takes
	Start  []int64     // a plan to begin with, or nil
	Above  int64       // only what is worth more than this is looked for; math.MinInt64: anything
	Enough int64       // a plan worth this ends the search; math.MaxInt64: none does
	Bound  int64       // known beforehand; math.MaxInt64: nothing is
}

// NewSearch looks for the best.
func NewSearch(p *Program) *Search {
	return &Search{Prog: p, Above: math.MinInt64, Enough: math.MaxInt64, Bound: math.MaxInt64}
}

// Result is how far a search came.
type Result struct {
	X     []int64 // the best found, or nil
	Value int64   // of it
	Bound int64   // no x is worth more; below what was asked for (Above + 1): there is none such
	Done  bool    // nothing is left open: X is best, or there is none
	Nodes int
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
	r := run{Search: s, grain: s.Prog.grain(), left: math.MinInt64, tried: s.Above}
	if r.Stop == nil {
		r.Stop = func() bool { return false }
	}
	r.res.Value = math.MinInt64
	if s.Start != nil {
		r.offer(s.Start)
	}
	lo, hi := make([]int64, len(s.Prog.Cols)), make([]int64, len(s.Prog.Cols))
	for j, c := range s.Prog.Cols {
		lo[j], hi[j] = c.Lo, c.Hi
	}
	r.lp = NewLP(s.Prog)
	open := []*node{{col: -1, bound: s.Bound}}
	for len(open) > 0 && r.res.Value < r.Enough {
		n := open[len(open)-1]
		if n.bound <= r.tried {
			open = open[:len(open)-1]
			continue
		}
		if r.Stop() || (r.Nodes > 0 && r.res.Nodes >= r.Nodes) {
			break
		}
		r.res.Nodes++
		for j := range s.Prog.Cols {
			s.Prog.Cols[j].Lo, s.Prog.Cols[j].Hi = lo[j], hi[j]
		}
		for b := n; b != nil && b.col >= 0; b = b.before {
			c := &s.Prog.Cols[b.col]
			c.Lo, c.Hi = max(c.Lo, b.lo), min(c.Hi, b.hi)
		}
		r.lp.Grow()
		children, settled := r.visit(n)
		if !settled {
			break // time ran out in its middle: it stays open
		}
		open = append(open[:len(open)-1], children...)
	}
	for j := range s.Prog.Cols {
		s.Prog.Cols[j].Lo, s.Prog.Cols[j].Hi = lo[j], hi[j]
	}
	r.res.Bound = max(r.left, r.tried)
	for _, n := range open {
		r.res.Bound = max(r.res.Bound, n.bound)
	}
	r.res.Bound = min(r.res.Bound, s.Bound)
	r.res.Done = r.res.Bound <= r.tried
	return r.res
}

// offer takes a plan if it fits and is better than what is known.
func (r *run) offer(x []int64) bool {
	v, fits := r.Prog.Value(x)
	if fits && v > r.tried {
		r.res.X, r.res.Value, r.tried = append([]int64(nil), x...), v, v
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
	if b, known := r.Prog.Bound(r.lp.Multipliers(ended)); known {
		if ended == NoFit && b < 0 {
			return nil, true
		}
		if ended == Best {
			bound = min(bound, down(b, r.grain))
		}
	}
	if bound <= r.tried {
		return nil, true
	}
	at := r.lp.At()
	x := make([]int64, len(at))
	pick, most := -1, -1.0
	for j, v := range at {
		x[j] = int64(math.Round(v))
		c := &r.Prog.Cols[j]
		x[j] = min(c.Hi, max(c.Lo, x[j]))
		off := math.Abs(v - math.Round(v))
		if off < 1e-6 || ended == NoFit || v < float64(c.Lo) || v > float64(c.Hi) {
			continue
		}
		rank := v - math.Floor(v)
		if c.First {
			rank += 2
		}
		if rank > most {
			pick, most = j, rank
		}
	}
	if pick < 0 {
		if fits := ended == Best && r.offer(x); fits && r.tried >= bound {
			return nil, true
		}
		for j := range r.Prog.Cols { // rounding hid something: halve what is not fixed yet
			if c := &r.Prog.Cols[j]; c.Lo < c.Hi {
				cut := c.Lo + (c.Hi-c.Lo)/2
				return []*node{r.branch(n, j, cut+1, c.Hi, bound), r.branch(n, j, c.Lo, cut, bound)}, true
			}
		}
		r.offer(x) // all are fixed: this is all that there is
		return nil, true
	}
	cut := int64(math.Floor(at[pick]))
	c := r.Prog.Cols[pick]
	lower, upper := r.branch(n, pick, c.Lo, cut, bound), r.branch(n, pick, cut+1, c.Hi, bound)
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
