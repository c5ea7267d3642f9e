package ilp

import "math"

// Multipliers are integer dual values, one per row: the dual values of the LP times Scale, rounded. Any multipliers
// with the sign that their row needs yield a valid bound, though not necessarily a tight one.
type Multipliers struct {
	Scale  int64   // of the objective; 0: the multipliers are an infeasibility certificate
	Values []int64 // by row
}

// targetMagnitude is the magnitude to which the largest objective coefficient is scaled, so that rounding the
// multipliers weakens the bound only slightly.
const targetMagnitude = 1 << 36

// Multipliers returns the dual values of the last solve. After Infeasible they prove that no solution exists if the
// bound computed from them is negative.
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

// ReducedObjective returns the reduced cost of a column, times Scale: its objective minus the value of its row
// coefficients at the multipliers. It returns false if a sum exceeds MaxMagnitude.
func (m Multipliers) ReducedObjective(column *Column) (int64, bool) {
	var s checkedSum
	s.add(m.Scale, column.Objective)
	for k, row := range column.Rows {
		s.add(-m.Values[row], column.Coefficients[k])
	}
	return s.result()
}

// Bound returns an upper bound on the objective of every integer solution, computed in exact integer arithmetic: the
// sum of each row's multiplier times its bound, plus the largest contribution of each column within its bounds at its
// reduced cost. It returns false if a sum exceeds MaxMagnitude; there is no bound then. With Scale 0 a negative bound
// proves that no solution exists.
func (p *Program) Bound(multipliers Multipliers) (int64, bool) {
	reduced := make([]int64, len(p.Columns))
	for j := range p.Columns {
		value, isExact := multipliers.ReducedObjective(&p.Columns[j])
		if !isExact {
			return 0, false
		}
		reduced[j] = value
	}
	raises := p.convexityRaises(reduced)
	var total checkedSum
	for i, row := range p.Rows {
		total.add(multipliers.Values[i]+raises[int32(i)], row.Bound)
	}
	for j := range p.Columns {
		total.add(p.bestTerm(j, reduced[j], raises))
	}
	bound, isExact := total.result()
	if !isExact || multipliers.Scale <= 1 {
		return bound, isExact
	}
	return roundDown(bound, multipliers.Scale) / multipliers.Scale, true
}

// convexityRaises returns increases of the multipliers of convexity rows that bring the positive reduced costs of their
// columns down to zero or below, for the rows where this tightens the bound.
func (p *Program) convexityRaises(reduced []int64) map[int32]int64 {
	raises := map[int32]int64{}
	uncovered := map[int32]float64{} // contribution of the columns to the bound without a raise
	for j := range p.Columns {
		if reduced[j] <= 0 {
			continue
		}
		for _, row := range p.Columns[j].Rows {
			if p.Rows[row].Convexity {
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

// bestTerm returns a column's reduced cost after the raises, and the column bound that maximizes its contribution.
func (p *Program) bestTerm(j int, reduced int64, raises map[int32]int64) (objective, value int64) {
	column := &p.Columns[j]
	for _, row := range column.Rows {
		reduced -= raises[row]
	}
	if reduced > 0 {
		return reduced, column.Upper
	}
	return reduced, column.Lower
}
