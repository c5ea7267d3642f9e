package ilp

import "math"

// computeMultipliers computes the rows' multipliers: of the objective if all basic variables are within their bounds,
// else of the sum by which they are not. It reports which.
func (l *LP) computeMultipliers() (isFeasible bool) {
	costs := make([]float64, l.rowCount) // of the basic variables
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

// chooseEntering returns the variable that improves most, or with takeFirst the first one that improves, which ends
// every cycle; -1: none improves.
func (l *LP) chooseEntering(isFeasible, takeFirst bool) int {
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
			if takeFirst {
				return best
			}
		}
	}
	return best
}

// reducedCost returns what raising a variable improves, per unit. While the basis is not feasible the objective does
// not count.
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

// pivot moves a variable from its bound as far as the others allow, and returns how far.
func (l *LP) pivot(entering int) float64 {
	l.computeEntering(entering)
	direction := 1.0
	if l.status[entering] == atUpper {
		direction = -1
	}
	leavingRow, step := l.chooseLeaving(entering, direction)
	if math.IsInf(step, 1) { // all columns are bounded, so only rounding can cause it
		l.isSingular = true
		l.pivotsSinceRefresh = refreshInterval
		return 0
	}
	for i := range l.basicValues {
		l.basicValues[i] -= direction * step * l.entering[i]
	}
	if leavingRow < 0 {
		l.status[entering] = atUpper - l.status[entering] // it has reached its other bound
		return step
	}
	l.leaveBasis(leavingRow, direction)
	value := l.nonBasicValue(entering) + direction*step
	l.basis[leavingRow] = entering
	l.status[entering] = basic
	l.basicValues[leavingRow] = value
	l.updateInverse(leavingRow)
	l.pivotsSinceRefresh++
	return step
}

// computeEntering expresses the entering variable's column in terms of the basis.
func (l *LP) computeEntering(entering int) {
	clear(l.entering)
	if entering < l.rowCount {
		addScaled(l.entering, l.inverseColumn(entering), 1)
		return
	}
	column := &l.program.Columns[entering-l.rowCount]
	for k, row := range column.Rows {
		addScaled(l.entering, l.inverseColumn(int(row)), float64(column.Coefficients[k])/l.rowScale[row])
	}
}

// chooseLeaving returns the row whose basic variable meets a bound first, and the step until then. Of rows that are
// equally close within the tolerance it takes the one with the largest element. -1: the entering variable meets its
// own other bound before that.
func (l *LP) chooseLeaving(entering int, direction float64) (row int, step float64) {
	shortest := math.Inf(1)
	for i, element := range l.entering {
		if math.Abs(element) >= pivotTolerance {
			shortest = min(shortest, l.stepToBound(i, direction, feasibilityTolerance))
		}
	}
	row = -1
	step = l.upper[entering] - l.lower[entering]
	if shortest >= step {
		return row, step
	}
	for i, element := range l.entering {
		if math.Abs(element) < pivotTolerance || l.stepToBound(i, direction, 0) > shortest {
			continue
		}
		if row < 0 || math.Abs(element) > math.Abs(l.entering[row]) {
			row = i
		}
	}
	if row >= 0 {
		step = min(step, max(0, l.stepToBound(row, direction, 0)))
	}
	return row, step
}

// stepToBound returns the step until the basic variable of a row meets a bound, which is relaxed by a tolerance. The
// row's element must not be below pivotTolerance.
func (l *LP) stepToBound(row int, direction, tolerance float64) float64 {
	rate := -direction * l.entering[row]
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
	return math.Inf(1) // outside of its bounds and moving away from them
}

// leaveBasis puts a row's basic variable at the bound that it has met.
func (l *LP) leaveBasis(row int, direction float64) {
	leaving := l.basis[row]
	rate := -direction * l.entering[row]
	value := l.basicValues[row]
	isNearUpper := math.Abs(value-l.upper[leaving]) < math.Abs(value-l.lower[leaving])
	l.status[leaving] = atLower
	if rate != 0 && isNearUpper {
		l.status[leaving] = atUpper
	}
}

// updateInverse updates the inverse for a row whose basic variable was replaced by the entering one.
func (l *LP) updateInverse(row int) {
	factor := 1 / l.entering[row]
	for i := range l.rowCount {
		column := l.inverseColumn(i)
		amount := column[row] * factor
		if amount == 0 {
			continue
		}
		subtractScaled(column, l.entering, amount)
		column[row] = amount
	}
}
