package ilp

import "math"

// Multipliers are integers, one per row: the LP's multipliers times Scale, rounded. Any multipliers give a valid
// bound, if not a good one.
type Multipliers struct {
	Scale  int64   // of the objective; 0: they are to prove that no solution exists
	Values []int64 // by row
}

// targetMagnitude is about how large the objective's largest coefficient is scaled, so that rounding the multipliers
// costs little.
const targetMagnitude = 1 << 36

// Multipliers returns those of the last solve. After Infeasible they prove, if their bound is below 0, that no
// solution exists.
func (l *LP) Multipliers(outcome Outcome) Multipliers {
	multipliers := Multipliers{Scale: 1, Values: make([]int64, l.rowCount)}
	factor := float64(targetMagnitude)
	if outcome == Infeasible {
		multipliers.Scale = 0
	} else {
		for l.objectiveScale*float64(multipliers.Scale)*2 <= targetMagnitude {
			multipliers.Scale *= 2
		}
		factor = l.objectiveScale * float64(multipliers.Scale)
	}
	for i, row := range l.program.Rows {
		value := math.Round(l.multipliers[i] / l.rowScale[i] * factor)
		hasRightSign := (row.Sense == LessOrEqual) == (value >= 0)
		if math.Abs(value) < MaxMagnitude && hasRightSign {
			multipliers.Values[i] = int64(value)
		}
	}
	return multipliers
}

// ReducedObjective returns by how much a column's objective exceeds what it uses at the multipliers, times Scale;
// false: a sum exceeds MaxMagnitude.
func (m Multipliers) ReducedObjective(column *Column) (int64, bool) {
	var s sum
	s.add(m.Scale, column.Objective)
	for k, row := range column.Rows {
		s.add(-m.Values[row], column.Coefficients[k])
	}
	return s.result()
}

// Bound returns an upper bound of the objective of every integer solution, computed in integers: the sum over rows of
// multiplier times bound, and over columns of the best that the reduced objective and the column's bounds allow.
// False: a sum exceeds MaxMagnitude, and nothing is known. With Scale 0 a bound below 0 proves that no solution
// exists.
func (p *Program) Bound(multipliers Multipliers) (int64, bool) {
	reduced := make([]int64, len(p.Columns))
	for j := range p.Columns {
		value, isExact := multipliers.ReducedObjective(&p.Columns[j])
		if !isExact {
			return 0, false
		}
		reduced[j] = value
	}
	raises := p.convexRaises(reduced)
	var total sum
	for i, row := range p.Rows {
		total.add(multipliers.Values[i]+raises[int32(i)], row.Bound)
	}
	for j := range p.Columns {
		total.add(p.bestOf(j, reduced[j], raises))
	}
	bound, isExact := total.result()
	if !isExact || multipliers.Scale <= 1 {
		return bound, isExact
	}
	return roundDown(bound, multipliers.Scale) / multipliers.Scale, true
}

// convexRaises returns by how much the multipliers of convex rows are raised, so that they cover what their columns
// are still worth, where that costs less.
func (p *Program) convexRaises(reduced []int64) map[int32]int64 {
	raises := map[int32]int64{}
	uncovered := map[int32]float64{} // the cost without a raise
	for j := range p.Columns {
		if reduced[j] <= 0 {
			continue
		}
		for _, row := range p.Columns[j].Rows {
			if p.Rows[row].Convex {
				raises[row] = max(raises[row], reduced[j])
				uncovered[row] += float64(reduced[j]) * float64(p.Columns[j].Upper)
			}
		}
	}
	for row, raise := range raises {
		if float64(raise)*float64(p.Rows[row].Bound) >= uncovered[row] {
			delete(raises, row)
		}
	}
	return raises
}

// bestOf returns a column's reduced objective after the raises, and the bound of the column at which that is worth
// most.
func (p *Program) bestOf(j int, reduced int64, raises map[int32]int64) (objective, value int64) {
	column := &p.Columns[j]
	for _, row := range column.Rows {
		reduced -= raises[row]
	}
	if reduced > 0 {
		return reduced, column.Upper
	}
	return reduced, column.Lower
}
