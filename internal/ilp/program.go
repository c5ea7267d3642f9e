// Package ilp solves integer linear programs exactly. A floating-point simplex guides a branch and bound search;
// every bound that it suggests is computed again in integers, so rounding can cost time but never makes an answer
// wrong.
//
// The package is free of I/O and clock: callers decide when to stop. The same program always gives the same search.
// Its types are not safe for concurrent use.
package ilp

// Sense is how a row's sum is compared with its bound.
type Sense uint8

// The senses.
const (
	LessOrEqual Sense = iota
	GreaterOrEqual
)

// Row is a constraint on the sum of its columns' coefficients times their values.
type Row struct {
	Sense  Sense
	Bound  int64
	Convex bool // its columns have coefficient 1 here and are in no other such row, so its multiplier may cover them
}

// Column is an integer variable with the bounds Lower and Upper, both included.
type Column struct {
	Objective    int64 // per unit
	Lower        int64
	Upper        int64
	Rows         []int32 // in which it has a coefficient, each once
	Coefficients []int64 // by the index in Rows
	BranchFirst  bool    // branched on before other columns
}

// Program is to maximize the sum of the columns' objectives subject to all rows.
type Program struct {
	Rows    []Row
	Columns []Column
}

// Value returns the objective of a solution; false: it violates a row or a bound, or a sum exceeds MaxMagnitude.
func (p *Program) Value(solution []int64) (int64, bool) {
	if len(solution) != len(p.Columns) {
		return 0, false
	}
	sums := make([]sum, len(p.Rows))
	var objective sum
	for j, column := range p.Columns {
		value := solution[j]
		if value < column.Lower || value > column.Upper {
			return 0, false
		}
		if value == 0 {
			continue
		}
		objective.add(column.Objective, value)
		for k, row := range column.Rows {
			sums[row].add(column.Coefficients[k], value)
		}
	}
	for i, row := range p.Rows {
		if !row.isSatisfied(sums[i]) {
			return 0, false
		}
	}
	return objective.result()
}

func (r Row) isSatisfied(rowSum sum) bool {
	value, isExact := rowSum.result()
	if !isExact {
		return false
	}
	if r.Sense == LessOrEqual {
		return value <= r.Bound
	}
	return value >= r.Bound
}

// granularity returns the greatest common divisor of the objective's coefficients, at least 1: every value of the
// objective is a multiple of it.
func (p *Program) granularity() int64 {
	var divisor int64
	for _, column := range p.Columns {
		divisor = greatestCommonDivisor(divisor, int64(magnitude(column.Objective)))
		if divisor == 1 {
			break
		}
	}
	return max(1, divisor)
}

func greatestCommonDivisor(a, b int64) int64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
