package ilp

import "math"

// computeBasicValues computes the values of the basic variables from those of the nonbasic ones.
func (l *LP) computeBasicValues() {
	residuals := make([]float64, l.rowCount) // right-hand sides without the nonbasic variables
	for i, row := range l.program.Rows {
		residuals[i] = float64(row.Bound) / l.rowScale[i]
		if l.status[i] != basic {
			residuals[i] -= l.nonbasicValue(i)
		}
	}
	for j, column := range l.program.Columns {
		v := l.rowCount + j
		if l.status[v] == basic {
			continue
		}
		value := l.nonbasicValue(v)
		if value == 0 {
			continue
		}
		for k, row := range column.Rows {
			residuals[row] -= value * float64(column.Coefficients[k]) / l.rowScale[row]
		}
	}
	clear(l.basicValues)
	for row, amount := range residuals {
		if amount != 0 {
			addScaled(l.basicValues, l.inverseColumn(row), amount)
		}
	}
}

// inverseColumn returns a column of the basis inverse.
func (l *LP) inverseColumn(column int) []float64 {
	return l.inverse[column*l.rowCount : (column+1)*l.rowCount]
}

// addScaled adds factor times vector to the vector to.
func addScaled(to, vector []float64, factor float64) {
	for i := range to {
		to[i] += factor * vector[i]
	}
}

// computeInverse inverts the basis matrix by Gauss-Jordan elimination with partial pivoting. It sets isSingular if the
// matrix is singular.
func (l *LP) computeInverse() {
	matrix := l.basisMatrix()
	result := newSquareMatrix(l.rowCount)
	for i := range l.rowCount {
		result.row(i)[i] = 1
	}
	for column := range l.rowCount {
		pivotRow := matrix.largestBelow(column)
		if math.Abs(matrix.row(pivotRow)[column]) < singularTolerance {
			l.isSingular = true
			return
		}
		if pivotRow != column {
			matrix.swapRows(pivotRow, column)
			result.swapRows(pivotRow, column)
		}
		factor := 1 / matrix.row(column)[column]
		scale(matrix.row(column), factor)
		scale(result.row(column), factor)
		eliminate(matrix, result, column)
	}
	for i := range l.rowCount {
		for row := range l.rowCount {
			l.inverse[row*l.rowCount+i] = result.row(i)[row]
		}
	}
	l.pivotsSinceRefactorization = 0
}

// basisMatrix returns the matrix of the scaled columns of the basic variables.
func (l *LP) basisMatrix() squareMatrix {
	matrix := newSquareMatrix(l.rowCount)
	for i, v := range l.basis {
		if v < l.rowCount {
			matrix.row(v)[i] = 1
			continue
		}
		column := l.program.Columns[v-l.rowCount]
		for k, row := range column.Rows {
			matrix.row(int(row))[i] = float64(column.Coefficients[k]) / l.rowScale[row]
		}
	}
	return matrix
}

// eliminate clears a column of the matrix in all rows but the pivot row, and applies the same row operations to the
// result.
func eliminate(matrix, result squareMatrix, column int) {
	for row := range matrix.size {
		factor := matrix.row(row)[column]
		if row == column || factor == 0 {
			continue
		}
		subtractScaled(matrix.row(row), matrix.row(column), factor)
		subtractScaled(result.row(row), result.row(column), factor)
	}
}

// squareMatrix is a dense square matrix in row-major order.
type squareMatrix struct {
	size   int
	values []float64
}

func newSquareMatrix(size int) squareMatrix {
	return squareMatrix{size: size, values: make([]float64, size*size)}
}

func (m squareMatrix) row(i int) []float64 { return m.values[i*m.size : (i+1)*m.size] }

// largestBelow returns the row at or below the diagonal with the largest absolute value in a column.
func (m squareMatrix) largestBelow(column int) int {
	best := column
	for row := column + 1; row < m.size; row++ {
		if math.Abs(m.row(row)[column]) > math.Abs(m.row(best)[column]) {
			best = row
		}
	}
	return best
}

func (m squareMatrix) swapRows(i, j int) {
	first, second := m.row(i), m.row(j)
	for k := range first {
		first[k], second[k] = second[k], first[k]
	}
}

func scale(vector []float64, factor float64) {
	for i := range vector {
		vector[i] *= factor
	}
}

func subtractScaled(from, vector []float64, factor float64) {
	for i := range from {
		from[i] -= factor * vector[i]
	}
}
