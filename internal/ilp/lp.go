package ilp

import "math"

// LP is the linear relaxation of a program, solved by a bounded-variable primal simplex. It remains valid while bounds,
// objective and columns of the program change, so that each solve is warm-started from the last basis. The basis
// inverse is dense, as programs have at most a few hundred rows.
//
// Variables are numbered: one slack per row first, then the columns.
type LP struct {
	Pivots int // over all solves

	program        *Program
	rowCount       int
	rowScale       []float64 // divisor of a row's coefficients
	objectiveScale float64   // divisor of the objective

	// Indexed by variable.
	lower  []float64
	upper  []float64
	cost   []float64
	status []variableStatus

	// Indexed by row.
	basis       []int     // basic variable of the row
	basicValues []float64 // value of the basic variable
	multipliers []float64
	pivotColumn []float64 // entering column in terms of the basis

	inverse                    []float64 // of the basis, in column-major order
	pivotsSinceRefactorization int       // since the inverse was last computed from the basis
	isSingular                 bool      // the inverse could not be computed; the next solve starts from the slacks
}

// variableStatus says whether a variable is basic or at which bound a nonbasic one is.
type variableStatus uint8

const (
	atLower variableStatus = iota
	atUpper
	basic
)

// Outcome is the result of a solve.
type Outcome uint8

// The outcomes. After Infeasible the multipliers are those of phase one; after Stopped nothing is known.
const (
	Optimal Outcome = iota
	Infeasible
	Stopped
)

// Tolerances and limits of the simplex.
const (
	feasibilityTolerance    = 1e-7  // largest accepted violation of a bound
	optimalityTolerance     = 1e-9  // a reduced cost up to this does not improve
	pivotTolerance          = 1e-8  // smallest absolute value of a pivot element
	singularTolerance       = 1e-11 // smallest pivot element while the basis is inverted
	minStep                 = 1e-12 // a pivot with a shorter step is degenerate
	refactorizationInterval = 120   // pivots after which the inverse is recomputed
	maxDegeneratePivots     = 60    // consecutive degenerate pivots before Bland's rule is used to prevent cycling
	maxPivots               = 50_000
	stopCheckInterval       = 16 // pivots between two calls of stop
)

// NewLP returns the relaxation of a program, starting from the slack basis.
func NewLP(program *Program) *LP {
	rowCount := len(program.Rows)
	l := &LP{
		program:     program,
		rowCount:    rowCount,
		rowScale:    make([]float64, rowCount),
		lower:       make([]float64, rowCount),
		upper:       make([]float64, rowCount),
		cost:        make([]float64, rowCount),
		status:      make([]variableStatus, rowCount),
		basis:       make([]int, rowCount),
		basicValues: make([]float64, rowCount),
		multipliers: make([]float64, rowCount),
		pivotColumn: make([]float64, rowCount),
		inverse:     make([]float64, rowCount*rowCount),
	}
	for i, row := range program.Rows {
		l.rowScale[i] = 1
		l.upper[i] = math.Inf(1)
		if row.Sense == GreaterOrEqual {
			l.lower[i] = math.Inf(-1)
			l.upper[i] = 0
			l.status[i] = atUpper
		}
	}
	for _, column := range program.Columns {
		for k, row := range column.Rows {
			l.rowScale[row] = max(l.rowScale[row], math.Abs(float64(column.Coefficients[k])))
		}
	}
	l.resetBasis()
	l.Refresh()
	return l
}

// resetBasis restarts from the basis of all slacks.
func (l *LP) resetBasis() {
	clear(l.inverse)
	for v := range l.status {
		if l.status[v] == basic {
			l.status[v] = atLower
		}
	}
	for i := range l.basis {
		l.basis[i] = i
		l.inverse[i*l.rowCount+i] = 1
		l.status[i] = basic
	}
	l.pivotsSinceRefactorization = 0
	l.isSingular = false
}

// Refresh takes over columns that were added to the program, and changed bounds and objective coefficients.
func (l *LP) Refresh() {
	for len(l.lower) < l.rowCount+len(l.program.Columns) {
		l.lower = append(l.lower, 0)
		l.upper = append(l.upper, 0)
		l.cost = append(l.cost, 0)
		l.status = append(l.status, atLower)
	}
	l.objectiveScale = 1
	for _, column := range l.program.Columns {
		l.objectiveScale = max(l.objectiveScale, math.Abs(float64(column.Objective)))
	}
	for j, column := range l.program.Columns {
		v := l.rowCount + j
		l.lower[v] = float64(column.Lower)
		l.upper[v] = float64(column.Upper)
		l.cost[v] = float64(column.Objective) / l.objectiveScale
		if l.status[v] == atUpper && column.Lower == column.Upper {
			l.status[v] = atLower
		}
	}
}

// Solve runs the simplex until the basis is optimal, the program is found infeasible or stop returns true.
func (l *LP) Solve(stop func() bool) Outcome {
	if l.isSingular {
		l.resetBasis()
	}
	l.computeBasicValues()
	degeneratePivots := 0 // consecutive
	for pivots := 0; ; pivots++ {
		if pivots > maxPivots || (pivots%stopCheckInterval == stopCheckInterval-1 && stop()) {
			return Stopped
		}
		if l.pivotsSinceRefactorization >= refactorizationInterval {
			l.refactorize()
		}
		isFeasible := l.computeMultipliers()
		entering := l.chooseEntering(isFeasible, degeneratePivots > maxDegeneratePivots)
		if entering < 0 {
			if l.pivotsSinceRefactorization > 0 { // confirm the result with a fresh inverse
				l.pivotsSinceRefactorization = refactorizationInterval
				continue
			}
			if isFeasible {
				return Optimal
			}
			return Infeasible
		}
		degeneratePivots++
		if l.pivot(entering) > minStep {
			degeneratePivots = 0
		}
		l.Pivots++
	}
}

// refactorize recomputes the inverse and the basic variables' values to remove accumulated rounding errors.
func (l *LP) refactorize() {
	l.computeInverse()
	if l.isSingular {
		l.resetBasis()
	}
	l.computeBasicValues()
}

// nonbasicValue returns the bound at which a nonbasic variable is.
func (l *LP) nonbasicValue(v int) float64 {
	if l.status[v] == atUpper {
		return l.upper[v]
	}
	return l.lower[v]
}

// Values returns the columns' values in the current basic solution.
func (l *LP) Values() []float64 {
	values := make([]float64, len(l.program.Columns))
	for j := range values {
		if v := l.rowCount + j; l.status[v] != basic {
			values[j] = l.nonbasicValue(v)
		}
	}
	for i, v := range l.basis {
		if v >= l.rowCount {
			values[v-l.rowCount] = l.basicValues[i]
		}
	}
	return values
}
