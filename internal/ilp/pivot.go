package ilp

import "math"

// computeMultipliers computes the dual values: of the objective if the basis is feasible, else of the phase-one
// objective, which minimizes the sum of infeasibilities. It reports whether the basis is feasible.
func (l *LP) computeMultipliers() (isFeasible bool) {
	costs := make([]float64, l.rowCount) // objective of the basic variables
	isFeasible = true
	for i, v := range l.basis {
		if l.basicValues[i] < l.lower[v]-feasibilityTolerance {
			costs[i] = 1
			isFeasible = false
		} else if l.basicValues[i] > l.upper[v]+feasibilityTolerance {
			costs[i] = -1
			isFeasible = false
		}
	}
	if isFeasible {
		for i, v := range l.basis {
			costs[i] = l.cost[v]
		}
	}
	for row := range l.rowCount {
		l.multipliers[row] = dotProduct(costs, l.inverseColumn(row))
	}
	return isFeasible
}

func dotProduct(a, b []float64) float64 {
	total := 0.0
	for i, value := range a {
		total += value * b[i]
	}
	return total
}

// chooseEntering returns the variable with the largest improvement per unit (Dantzig's rule), or with useBlandRule the
// first that improves, which prevents cycling; -1 if none improves.
func (l *LP) chooseEntering(isFeasible, useBlandRule bool) int {
	best, bestImprovement := -1, float64(optimalityTolerance)
	for v := range l.status {
		if l.status[v] == basic || l.lower[v] == l.upper[v] {
			continue
		}
		improvement := l.reducedCost(v, isFeasible)
		if l.status[v] == atUpper {
			improvement = -improvement
		}
		if improvement > bestImprovement {
			best = v
			bestImprovement = improvement
			if useBlandRule {
				return best
			}
		}
	}
	return best
}

// reducedCost returns the improvement of the objective per unit by which a variable increases. While the basis is
// infeasible, the phase-one objective counts instead of the program's.
func (l *LP) reducedCost(v int, isFeasible bool) float64 {
	if v < l.rowCount {
		return -l.multipliers[v]
	}
	cost := 0.0
	if isFeasible {
		cost = l.cost[v]
	}
	column := &l.program.Columns[v-l.rowCount]
	for k, row := range column.Rows {
		cost -= l.multipliers[row] * float64(column.Coefficients[k]) / l.rowScale[row]
	}
	return cost
}

// pivot moves the entering variable off its bound as far as the ratio test allows, and returns the step length.
func (l *LP) pivot(entering int) float64 {
	l.computePivotColumn(entering)
	direction := 1.0
	if l.status[entering] == atUpper {
		direction = -1
	}
	leavingRow, step := l.chooseLeaving(entering, direction)
	if math.IsInf(step, 1) { // all columns are bounded, so only rounding errors can cause it
		l.isSingular = true
		l.pivotsSinceRefactorization = refactorizationInterval
		return 0
	}
	for i := range l.basicValues {
		l.basicValues[i] -= direction * step * l.pivotColumn[i]
	}
	if leavingRow < 0 {
		l.status[entering] = atUpper - l.status[entering] // bound flip
		return step
	}
	l.removeFromBasis(leavingRow, direction)
	value := l.nonbasicValue(entering) + direction*step
	l.basis[leavingRow] = entering
	l.status[entering] = basic
	l.basicValues[leavingRow] = value
	l.updateInverse(leavingRow)
	l.pivotsSinceRefactorization++
	return step
}

// computePivotColumn expresses the entering variable's column in terms of the basis.
func (l *LP) computePivotColumn(entering int) {
	clear(l.pivotColumn)
	if entering < l.rowCount {
		addScaled(l.pivotColumn, l.inverseColumn(entering), 1)
		return
	}
	column := &l.program.Columns[entering-l.rowCount]
	for k, row := range column.Rows {
		addScaled(l.pivotColumn, l.inverseColumn(int(row)), float64(column.Coefficients[k])/l.rowScale[row])
	}
}

// chooseLeaving returns the row of the leaving variable and the step length, by a two-pass ratio test (Harris): among
// the rows that block within the feasibility tolerance it takes the one with the largest pivot element. Row -1 means
// that the entering variable reaches its other bound first.
func (l *LP) chooseLeaving(entering int, direction float64) (row int, step float64) {
	shortest := math.Inf(1)
	for i, element := range l.pivotColumn {
		if math.Abs(element) >= pivotTolerance {
			shortest = min(shortest, l.stepToBound(i, direction, feasibilityTolerance))
		}
	}
	row = -1
	step = l.upper[entering] - l.lower[entering]
	if shortest >= step {
		return row, step
	}
	for i, element := range l.pivotColumn {
		if math.Abs(element) < pivotTolerance || l.stepToBound(i, direction, 0) > shortest {
			continue
		}
		if row < 0 || math.Abs(element) > math.Abs(l.pivotColumn[row]) {
			row = i
		}
	}
	if row >= 0 {
		step = min(step, max(0, l.stepToBound(row, direction, 0)))
	}
	return row, step
}

// stepToBound returns the step length at which the basic variable of a row reaches its bound, relaxed by a tolerance.
// The absolute value of the row's pivot element must be at least pivotTolerance.
func (l *LP) stepToBound(row int, direction, tolerance float64) float64 {
	rate := -direction * l.pivotColumn[row]
	value := l.basicValues[row]
	lower, upper := l.lower[l.basis[row]], l.upper[l.basis[row]]
	switch {
	case rate > 0 && value < lower-feasibilityTolerance:
		return (lower - value + tolerance) / rate
	case rate > 0 && value <= upper+feasibilityTolerance:
		return (upper - value + tolerance) / rate
	case rate < 0 && value > upper+feasibilityTolerance:
		return (upper - value - tolerance) / rate
	case rate < 0 && value >= lower-feasibilityTolerance:
		return (lower - value - tolerance) / rate
	}
	return math.Inf(1) // infeasible and moving away from its bounds
}

// removeFromBasis marks a row's basic variable as nonbasic at the bound that it has reached.
func (l *LP) removeFromBasis(row int, direction float64) {
	leaving := l.basis[row]
	rate := -direction * l.pivotColumn[row]
	value := l.basicValues[row]
	isNearUpper := math.Abs(value-l.upper[leaving]) < math.Abs(value-l.lower[leaving])
	l.status[leaving] = atLower
	if rate != 0 && isNearUpper {
		l.status[leaving] = atUpper
	}
}

// updateInverse updates the inverse after the entering variable has replaced the basic variable of a row.
func (l *LP) updateInverse(row int) {
	factor := 1 / l.pivotColumn[row]
	for i := range l.rowCount {
		column := l.inverseColumn(i)
		amount := column[row] * factor
		if amount == 0 {
			continue
		}
		subtractScaled(column, l.pivotColumn, amount)
		column[row] = amount
	}
}
