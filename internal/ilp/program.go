// Package ilp solves integer linear programs exactly. A floating-point simplex guides a branch and bound search; every
// bound is recomputed from the simplex multipliers in integer arithmetic, so rounding errors can slow the search down
// but never make a result wrong.
//
// The package uses no I/O and no clock: callers decide when to stop. The search is deterministic. Types are not safe
// for concurrent use.
package ilp

// Sense is the direction of a row's inequality.
type Sense uint8

// The senses.
const (
	LessOrEqual Sense = iota
	GreaterOrEqual
)

// Row is a linear constraint: the sum of its columns' coefficients times their values, compared with Bound.
type Row struct {
	Sense Sense
	Bound int64
	// Convexity marks a row whose coefficients are all 1 and whose columns are in no other such row. Program.Bound may
	// raise its multiplier.
	Convexity bool
}

// Column is an integer variable between Lower and Upper, both inclusive.
type Column struct {
	Objective    int64 // per unit
	Lower        int64
	Upper        int64
	Rows         []int32 // distinct rows in which it has a coefficient
	Coefficients []int64 // parallel to Rows
	BranchFirst  bool    // has branching priority
}

// Program maximizes the sum of the columns' objectives times their values, subject to all rows.
type Program struct {
	Rows    []Row
	Columns []Column
}

// Value returns the objective of a solution, and false if it violates a row or a bound or if a sum exceeds
// MaxMagnitude.
func (p *Program) Value(solution []int64) (int64, bool) {
	if len(solution) != len(p.Columns) {
		return 0, false
	}
	sums := make([]checkedSum, len(p.Rows))
	var objective checkedSum
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

func (r Row) isSatisfied(rowSum checkedSum) bool {
	value, isExact := rowSum.result()
	if !isExact {
		return false
	}
	if r.Sense == LessOrEqual {
		return value <= r.Bound
	}
	return value >= r.Bound
}

// granularity returns the greatest common divisor of the objective coefficients, at least 1. Every objective value is a
// multiple of it.
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
