package ilp

import "math"

// LP is the program without wholeness, kept between changes of bounds, of the objective, of rows' bounds and of added
// columns, so that each solve begins where the last ended. A primal simplex with bounds on variables, an inverse held
// dense: rows are some hundreds at most.
type LP struct {
	prog  *Program
	m     int
	unit  []float64 // what a row's coefficients are divided by
	worth float64   // what the objective is divided by
	lo    []float64 // slacks first, then columns
	hi    []float64
	cost  []float64
	at    []place
	basis []int     // by row: the variable that is basic there
	inv   []float64 // column by column
	x     []float64 // of basic variables, by row
	y     []float64 // multipliers of rows
	way   []float64 // the entering column, as the basis sees it
	since int       // pivots since the inverse was made anew
	poor  bool      // the inverse could not be made: begin from slacks
	Turns int       // pivots in all
}

type place uint8

const (
	atLow place = iota
	atHigh
	basic
)

// Ended tells how a solve ended.
type Ended uint8

// The ends. At NoFit the multipliers are those that show why; at Stopped nothing is known.
const (
	Best Ended = iota
	NoFit
	Stopped
)

const (
	feasible, improves, pivots = 1e-7, 1e-9, 1e-8
	renewEvery, flatMost       = 120, 60
	turnsMost                  = 50_000
)

// NewLP begins from the slacks.
func NewLP(p *Program) *LP {
	l := &LP{prog: p, m: len(p.Rows)}
	l.unit = make([]float64, l.m)
	l.lo, l.hi = make([]float64, l.m), make([]float64, l.m)
	l.cost, l.at = make([]float64, l.m), make([]place, l.m)
	l.basis, l.x, l.y = make([]int, l.m), make([]float64, l.m), make([]float64, l.m)
	l.way, l.inv = make([]float64, l.m), make([]float64, l.m*l.m)
	for i, r := range p.Rows {
		l.unit[i] = 1
		if l.hi[i] = math.Inf(1); r.Sense == AtLeast {
			l.lo[i], l.hi[i], l.at[i] = math.Inf(-1), 0, atHigh
		}
	}
	for _, c := range p.Cols {
		for k, r := range c.Rows {
			l.unit[r] = max(l.unit[r], math.Abs(float64(c.By[k])))
		}
	}
	l.slacks()
	l.Grow()
	return l
}

// slacks makes every slack basic again.
func (l *LP) slacks() {
	clear(l.inv)
	for v := range l.at {
		if l.at[v] == basic {
			l.at[v] = atLow
		}
	}
	for i := range l.basis {
		l.basis[i], l.inv[i*l.m+i], l.at[i] = i, 1, basic
	}
	l.since, l.poor = 0, false
}

// Grow takes in columns that were added to the program, and all its figures anew.
func (l *LP) Grow() {
	for len(l.lo) < l.m+len(l.prog.Cols) {
		l.lo, l.hi = append(l.lo, 0), append(l.hi, 0)
		l.cost, l.at = append(l.cost, 0), append(l.at, atLow)
	}
	most := 1.0
	for _, c := range l.prog.Cols {
		most = max(most, math.Abs(float64(c.Obj)))
	}
	l.worth = most
	for j, c := range l.prog.Cols {
		v := l.m + j
		l.lo[v], l.hi[v], l.cost[v] = float64(c.Lo), float64(c.Hi), float64(c.Obj)/most
		if l.at[v] == atHigh && c.Lo == c.Hi {
			l.at[v] = atLow
		}
	}
}

// value is where a variable that is not basic stands.
func (l *LP) value(v int) float64 {
	if l.at[v] == atHigh {
		return l.hi[v]
	}
	return l.lo[v]
}

// place works out the basic variables' values.
func (l *LP) place() {
	rest := make([]float64, l.m)
	for i, r := range l.prog.Rows {
		rest[i] = float64(r.Bound) / l.unit[i]
		if l.at[i] != basic {
			rest[i] -= l.value(i)
		}
	}
	for j, c := range l.prog.Cols {
		v := l.m + j
		if l.at[v] == basic {
			continue
		}
		if x := l.value(v); x != 0 {
			for k, r := range c.Rows {
				rest[r] -= x * float64(c.By[k]) / l.unit[r]
			}
		}
	}
	clear(l.x)
	for r, b := range rest {
		if b != 0 {
			column := l.inv[r*l.m : (r+1)*l.m]
			for i := range l.x {
				l.x[i] += b * column[i]
			}
		}
	}
}

// renew makes the inverse anew from the basis, against what rounding added up.
func (l *LP) renew() {
	m := l.m
	work := make([]float64, m*m) // row by row: the basis
	for i, v := range l.basis {
		if v < m {
			work[v*m+i] = 1
			continue
		}
		c := l.prog.Cols[v-m]
		for k, r := range c.Rows {
			work[int(r)*m+i] = float64(c.By[k]) / l.unit[r]
		}
	}
	out := make([]float64, m*m) // row by row
	for i := range m {
		out[i*m+i] = 1
	}
	for c := range m {
		p := c
		for r := c + 1; r < m; r++ {
			if math.Abs(work[r*m+c]) > math.Abs(work[p*m+c]) {
				p = r
			}
		}
		if math.Abs(work[p*m+c]) < 1e-11 {
			l.poor = true
			return
		}
		if p != c {
			for k := range m {
				work[p*m+k], work[c*m+k] = work[c*m+k], work[p*m+k]
				out[p*m+k], out[c*m+k] = out[c*m+k], out[p*m+k]
			}
		}
		by := 1 / work[c*m+c]
		for k := range m {
			work[c*m+k] *= by
			out[c*m+k] *= by
		}
		for r := range m {
			if f := work[r*m+c]; r != c && f != 0 {
				wr, wc := work[r*m:(r+1)*m], work[c*m:(c+1)*m]
				or, oc := out[r*m:(r+1)*m], out[c*m:(c+1)*m]
				for k := range wr {
					wr[k] -= f * wc[k]
					or[k] -= f * oc[k]
				}
			}
		}
	}
	for i := range m {
		for r := range m {
			l.inv[r*m+i] = out[i*m+r]
		}
	}
	l.since = 0
}

// Solve goes on until nothing improves, or stop says so.
func (l *LP) Solve(stop func() bool) Ended {
	if l.poor {
		l.slacks()
	}
	l.place()
	for flat, turns := 0, 0; ; turns++ {
		if turns > turnsMost || (turns%16 == 15 && stop()) {
			return Stopped
		}
		if l.since >= renewEvery {
			if l.renew(); l.poor {
				l.slacks()
			}
			l.place()
		}
		fits := l.multipliers()
		enter := l.entering(fits, flat > flatMost)
		if enter < 0 {
			if l.since > 0 { // said by a fresh inverse, or not at all
				l.since = renewEvery
				continue
			}
			if fits {
				return Best
			}
			return NoFit
		}
		if step := l.pivot(enter, fits); step > 1e-12 {
			flat = 0
		} else {
			flat++
		}
		l.Turns++
	}
}

// multipliers works them out, of the objective where all fits, else of what is out of its bounds.
func (l *LP) multipliers() (fits bool) {
	fits = true
	by := make([]float64, l.m)
	for i, v := range l.basis {
		if l.x[i] < l.lo[v]-feasible {
			by[i], fits = 1, false
		} else if l.x[i] > l.hi[v]+feasible {
			by[i], fits = -1, false
		}
	}
	if fits {
		for i, v := range l.basis {
			by[i] = l.cost[v]
		}
	}
	for r := range l.m {
		total, column := 0.0, l.inv[r*l.m:(r+1)*l.m]
		for i, b := range by {
			total += b * column[i]
		}
		l.y[r] = total
	}
	return fits
}

// entering is the variable that improves most, or the first that does, which ends every circle.
func (l *LP) entering(fits, first bool) int {
	best, most := -1, improves
	for v := range l.at {
		if l.at[v] == basic || l.lo[v] == l.hi[v] {
			continue
		}
		d := 0.0
		if v < l.m {
			d = -l.y[v]
		} else {
			c := &l.prog.Cols[v-l.m]
			if fits {
				d = l.cost[v]
			}
			for k, r := range c.Rows {
				d -= l.y[r] * float64(c.By[k]) / l.unit[r]
			}
		}
		if l.at[v] == atHigh {
			d = -d
		}
		if d > most {
			if best, most = v, d; first {
				return best
			}
		}
	}
	return best
}

// pivot moves a variable as far as it goes and returns how far.
func (l *LP) pivot(enter int, fits bool) float64 {
	clear(l.way)
	add := func(r int, by float64) {
		column := l.inv[r*l.m : (r+1)*l.m]
		for i := range l.way {
			l.way[i] += by * column[i]
		}
	}
	if enter < l.m {
		add(enter, 1)
	} else {
		c := &l.prog.Cols[enter-l.m]
		for k, r := range c.Rows {
			add(int(r), float64(c.By[k])/l.unit[r])
		}
	}
	side := 1.0
	if l.at[enter] == atHigh {
		side = -1
	}
	room := func(i int, spare float64) float64 { // until the basic variable of a row meets a bound
		rate, v := -side*l.way[i], l.basis[i]
		if math.Abs(rate) < pivots {
			return math.Inf(1)
		}
		lo, hi := l.lo[v], l.hi[v]
		switch {
		case rate > 0 && l.x[i] < lo-feasible:
			return (lo - l.x[i] + spare) / rate
		case rate > 0 && l.x[i] <= hi+feasible:
			return (hi - l.x[i] + spare) / rate
		case rate < 0 && l.x[i] > hi+feasible:
			return (hi - l.x[i] - spare) / rate
		case rate < 0 && l.x[i] >= lo-feasible:
			return (lo - l.x[i] - spare) / rate
		}
		return math.Inf(1) // out of its bounds and going further
	}
	least := math.Inf(1)
	for i := range l.way {
		least = min(least, room(i, feasible))
	}
	leave, step := -1, l.hi[enter]-l.lo[enter]
	if least < step {
		for i := range l.way {
			if room(i, 0) <= least && (leave < 0 || math.Abs(l.way[i]) > math.Abs(l.way[leave])) {
				leave = i
			}
		}
	}
	if leave >= 0 {
		step = min(step, max(0, room(leave, 0)))
	}
	if math.IsInf(step, 1) { // cannot be with bounds on all columns but by rounding
		l.poor, l.since = true, renewEvery
		return 0
	}
	for i := range l.x {
		l.x[i] -= side * step * l.way[i]
	}
	if leave < 0 {
		l.at[enter] = atHigh - l.at[enter]
		return step
	}
	out := l.basis[leave]
	rate := -side * l.way[leave]
	l.at[out] = atLow // the bound that it met
	if met := l.x[leave]; rate > 0 && math.Abs(met-l.hi[out]) < math.Abs(met-l.lo[out]) ||
		rate < 0 && math.Abs(met-l.hi[out]) < math.Abs(met-l.lo[out]) {
		l.at[out] = atHigh
	}
	at := l.value(enter) + side*step
	l.basis[leave], l.at[enter] = enter, basic
	l.x[leave] = at
	by := 1 / l.way[leave]
	for r := range l.m {
		column := l.inv[r*l.m : (r+1)*l.m]
		p := column[leave] * by
		if p == 0 {
			continue
		}
		for i, a := range l.way {
			column[i] -= a * p
		}
		column[leave] = p
	}
	l.since++
	return step
}

// At gives a column's value.
func (l *LP) At() []float64 {
	x := make([]float64, len(l.prog.Cols))
	for j := range x {
		if v := l.m + j; l.at[v] != basic {
			x[j] = l.value(v)
		}
	}
	for i, v := range l.basis {
		if v >= l.m {
			x[v-l.m] = l.x[i]
		}
	}
	return x
}
