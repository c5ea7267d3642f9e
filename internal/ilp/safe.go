package ilp

import "math"

// Multipliers are whole numbers, one a row: the LP's, times Scale and rounded. Any are valid, good or bad.
type Multipliers struct {
	Scale int64 // of the objective; 0 where they speak of no fit at all
	By    []int64
}

// fine is about how large the largest figure of the objective is made, so that rounding of multipliers costs little.
const fine = 1 << 36

// Multipliers gives those of the last solve. After NoFit they prove, if they hold in whole numbers, that nothing fits.
func (l *LP) Multipliers(ended Ended) Multipliers {
	m := Multipliers{Scale: 1, By: make([]int64, l.m)}
	by := float64(fine)
	if ended == NoFit {
		m.Scale = 0
	} else {
		for l.worth*float64(m.Scale)*2 <= fine {
			m.Scale *= 2
		}
		by = l.worth * float64(m.Scale)
	}
	for i, r := range l.prog.Rows {
		y := math.Round(l.y[i] / l.unit[i] * by)
		if math.Abs(y) >= Largest {
			y = 0
		}
		if m.By[i] = int64(y); (r.Sense == AtMost) != (y >= 0) {
			m.By[i] = 0
		}
	}
	return m
}

// Reduced is what a column is worth beyond what it uses, at the multipliers, times Scale.
func (m Multipliers) Reduced(c *Col) (int64, bool) {
	var s sum
	s.add(m.Scale, c.Obj)
	for k, r := range c.Rows {
		s.add(-m.By[r], c.By[k])
	}
	return s.got()
}

// Bound is what no whole x within the program can pass, in whole numbers: for any multipliers y of the right sign,
// the sum over rows of y x bound, and over columns of the best that its reduced worth and its bounds give. False: the
// sums left Largest, nothing is known. With Scale 0 a bound below 0 proves that nothing fits.
func (p *Program) Bound(m Multipliers) (int64, bool) {
	y := append([]int64(nil), m.By...)
	m.By = y
	reduced := make([]int64, len(p.Cols))
	// The multiplier of a convex row may cover what its columns are still worth, where that costs less.
	top, all := map[int32]int64{}, map[int32]float64{}
	for j := range p.Cols {
		c := &p.Cols[j]
		d, whole := m.Reduced(c)
		if !whole {
			return 0, false
		}
		reduced[j] = d
		if d <= 0 {
			continue
		}
		for _, r := range c.Rows {
			if p.Rows[r].Convex {
				top[r] = max(top[r], d)
				all[r] += float64(d) * float64(c.Hi)
			}
		}
	}
	var total sum
	for r, by := range top {
		if float64(by)*float64(p.Rows[r].Bound) >= all[r] {
			delete(top, r)
		}
	}
	for i, r := range p.Rows {
		total.add(y[i]+top[int32(i)], r.Bound)
	}
	for j := range p.Cols {
		c, d := &p.Cols[j], reduced[j]
		for _, r := range c.Rows {
			d -= top[r]
		}
		if d > 0 {
			total.add(d, c.Hi)
		} else {
			total.add(d, c.Lo)
		}
	}
	got, whole := total.got()
	if !whole || m.Scale <= 1 {
		return got, whole
	}
	return down(got, m.Scale) / m.Scale, true
}
