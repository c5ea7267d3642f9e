// Package ilp solves integer programs exactly: a floating-point simplex leads the way, and every bound it suggests
// is worked out again in whole numbers, so that rounding can cost time but never make an answer wrong.
//
// No I/O, no clock: who calls says when to stop. The same program gives the same search at every run.
package ilp

import (
	"math"
	"math/bits"
)

// Sense is how a row is held.
type Sense uint8

// The senses.
const (
	AtMost Sense = iota
	AtLeast
)

// Row is a constraint on the sum of its columns' coefficients times their values.
type Row struct {
	Sense  Sense
	Bound  int64
	Convex bool // columns of it have coefficient 1 here and stand in no other such row: its multiplier may cover them
}

// Col is a whole variable from Lo to Hi, both in force. It is worth Obj a unit.
type Col struct {
	Obj    int64
	Lo, Hi int64
	Rows   []int32 // where it has a coefficient, each once
	By     []int64 // the coefficients
	First  bool    // branched on before the others
}

// Program is: the greatest sum of Obj, within all rows.
type Program struct {
	Rows []Row
	Cols []Col
}

// Largest bounds each figure of a program, and what sums of them may reach; beyond it all is refused.
const Largest = 1 << 62

// Value is the objective at x; false where x breaks a row or a bound, or a sum leaves Largest.
func (p *Program) Value(x []int64) (int64, bool) {
	if len(x) != len(p.Cols) {
		return 0, false
	}
	sums := make([]sum, len(p.Rows))
	var value sum
	for j, c := range p.Cols {
		if x[j] < c.Lo || x[j] > c.Hi {
			return 0, false
		}
		if x[j] == 0 {
			continue
		}
		value.add(c.Obj, x[j])
		for k, r := range c.Rows {
			sums[r].add(c.By[k], x[j])
		}
	}
	for i, r := range p.Rows {
		if got, whole := sums[i].got(); !whole || (r.Sense == AtMost && got > r.Bound) || (r.Sense == AtLeast && got < r.Bound) {
			return 0, false
		}
	}
	return value.got()
}

// sum adds products, and knows when it left what it can hold.
type sum struct {
	at  int64
	out bool
}

func (s *sum) add(a, b int64) {
	product, whole := times(a, b)
	total := s.at + product
	s.out = s.out || !whole || total > Largest || total < -Largest
	s.at = total
}

func (s *sum) got() (int64, bool) { return s.at, !s.out }

// times multiplies; false beyond Largest.
func times(a, b int64) (int64, bool) {
	hi, lo := bits.Mul64(magnitude(a), magnitude(b))
	if hi != 0 || lo > Largest {
		return 0, false
	}
	if (a < 0) != (b < 0) {
		return -int64(lo), true
	}
	return int64(lo), true
}

func magnitude(a int64) uint64 {
	if a < 0 {
		return uint64(-(a + 1)) + 1
	}
	return uint64(a)
}

// grain is what every value of the objective is a multiple of, at least 1.
func (p *Program) grain() int64 {
	var g int64
	for _, c := range p.Cols {
		for a, b := g, int64(magnitude(c.Obj)); ; a, b = b, a%b {
			if b == 0 {
				g = a
				break
			}
		}
		if g == 1 {
			break
		}
	}
	return max(1, g)
}

// down rounds to a multiple of g, towards less.
func down(v, g int64) int64 {
	if v == math.MaxInt64 {
		return v
	}
	if rest := v % g; rest < 0 {
		return v - rest - g
	} else {
		return v - rest
	}
}
