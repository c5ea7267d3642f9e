package ilp

import "math"

// LP is the linear relaxation of a program. It is kept while the program's bounds, objective and columns change, so
// that each solve starts where the last one ended. It is a primal simplex with bounds on variables; the inverse of
// the basis is held dense, as there are some hundred rows at most.
//
// Variables are numbered: first one slack for each row, then the columns.
type LP struct {
	Pivots int // in all solves

	program        *Program
	rowCount       int
	rowScale       []float64 // what a row's coefficients are divided by
	objectiveScale float64   // what the objective is divided by

	// By variable.
	lower  []float64
	upper  []float64
	cost   []float64
	status []variableStatus

	// By row.
	basis       []int     // the variable that is basic there
	basicValues []float64 // its value
	multipliers []float64
	entering    []float64 // the entering column in terms of the basis

	inverse            []float64 // of the basis, column by column
	pivotsSinceRefresh int       // since the inverse was computed from the basis
	isSingular         bool      // the inverse could not be computed: start from the slacks
}

// variableStatus is where a variable stands.
type variableStatus uint8

const (
	atLower variableStatus = iota
	atUpper
	basic
)

// Outcome is how a solve ended.
type Outcome uint8

// The outcomes. At Infeasible the multipliers are those that show why; at Stopped nothing is known.
const (
	Optimal Outcome = iota
	Infeasible
	Stopped
)

// Tolerances and limits of the simplex.
const (
	feasibilityTolerance = 1e-7  // by which a value may exceed its bound
	optimalityTolerance  = 1e-9  // a reduced cost below it does not improve
	pivotTolerance       = 1e-8  // a smaller element is not divided by
	singularTolerance    = 1e-11 // the same while the inverse is computed
	minProgress          = 1e-12 // a shorter step counts as none
	refreshInterval      = 120   // pivots after which the inverse is computed anew
	maxFlatPivots        = 60    // pivots without progress, after which Bland's rule prevents cycles
	maxPivots            = 50_000
	stopInterval         = 16 // pivots between two calls of stop
)

// NewLP returns the relaxation of a program, with all slacks basic.
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
		entering:    make([]float64, rowCount),
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

// resetBasis makes all slacks basic.
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
	l.pivotsSinceRefresh = 0
	l.isSingular = false
}

// Refresh takes in columns that were added to the program, and all changed bounds and objectives.
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

// Solve pivots until nothing improves or stop returns true.
func (l *LP) Solve(stop func() bool) Outcome {
	if l.isSingular {
		l.resetBasis()
	}
	l.computeBasicValues()
	flatPivots := 0 // in a row
	for pivots := 0; ; pivots++ {
		if pivots > maxPivots || (pivots%stopInterval == stopInterval-1 && stop()) {
			return Stopped
		}
		if l.pivotsSinceRefresh >= refreshInterval {
			l.refreshInverse()
		}
		isFeasible := l.computeMultipliers()
		entering := l.chooseEntering(isFeasible, flatPivots > maxFlatPivots)
		if entering < 0 {
			if l.pivotsSinceRefresh > 0 { // only a fresh inverse may end the solve
				l.pivotsSinceRefresh = refreshInterval
				continue
			}
			if isFeasible {
				return Optimal
			}
			return Infeasible
		}
		flatPivots++
		if l.pivot(entering) > minProgress {
			flatPivots = 0
		}
		l.Pivots++
	}
}

// refreshInverse computes the inverse and the basic variables' values anew, against the accumulation of rounding
// errors.
func (l *LP) refreshInverse() {
	l.computeInverse()
	if l.isSingular {
		l.resetBasis()
	}
	l.computeBasicValues()
}

// nonBasicValue returns the bound at which a variable that is not basic stands.
func (l *LP) nonBasicValue(v int) float64 {
	if l.status[v] == atUpper {
		return l.upper[v]
	}
	return l.lower[v]
}

// Values returns the columns' values in the solution.
func (l *LP) Values() []float64 {
	values := make([]float64, len(l.program.Columns))
	for j := range values {
		if v := l.rowCount + j; l.status[v] != basic {
			values[j] = l.nonBasicValue(v)
		}
	}
	for i, v := range l.basis {
		if v >= l.rowCount {
			values[v-l.rowCount] = l.basicValues[i]
		}
	}
	return values
}
