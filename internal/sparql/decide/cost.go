package decide

import (
	"container/list"
	"math"

	"swiftreel/choice"
	"swiftreel/internal/sparql/syntax"
)

// Bounds of an estimate.
const (
	minWork = choice.Nanos(100_000)
	maxWork = choice.Nanos(600_000_000_000)
)

// How estimates are learned, in answers.
const (
	maxFingerprintAnswers = 64  // counted at most for a fingerprint, so that its mean follows changes
	maxBiasAnswers        = 200 // counted at most for the bias of static estimates
	trustedAnswers        = 3   // from so many on a fingerprint's own mean stands alone
)

// Weights of the static estimate.
const (
	patternWork      = choice.Nanos(200_000) // of a pattern without variables
	pathFactor       = 4.0                   // for each property path of any length
	maxPaths         = 6
	combineFactor    = 1.5 // for each join of groups, union and subquery
	maxCombinations  = 12
	sortFactor       = 2.0
	limitBase        = 5.0 // patterns, under a LIMIT without sorting
	limitRowsPerUnit = 10
	maxLimit         = 1_000_000
	rowsPerUnit      = 5 // of inline data
	anyGraphFactor   = 3.0
)

// patternWeights are the costs of a pattern by how many of its places are variables.
var patternWeights = [4]float64{1, 3, 30, 600}

// CostEstimator learns what texts cost by their fingerprint. It holds a bounded number of fingerprints; the least
// recently used one is evicted.
type CostEstimator struct {
	capacity    int
	byID        map[uint64]*list.Element
	recent      *list.List // of *fingerprintCost, the most recently used first
	bias        float64    // mean log of true work over the static estimate
	biasAnswers float64
}

type fingerprintCost struct {
	fingerprint uint64
	answers     float64
	meanLog     float64 // of work in ns
}

// NewCostEstimator returns an estimator of up to capacity fingerprints, about 150 bytes each.
func NewCostEstimator(capacity int) *CostEstimator {
	return &CostEstimator{capacity: max(1, capacity), byID: map[uint64]*list.Element{}, recent: list.New()}
}

// Estimate returns the expected work of a text, and whether there were answers to texts of its fingerprint.
func (c *CostEstimator) Estimate(statement *syntax.Statement) (work choice.Nanos, known bool) {
	static := math.Log(staticWork(statement)) + c.bias
	element := c.byID[statement.Fingerprint]
	if element == nil {
		return boundedWork(static), false
	}
	c.recent.MoveToFront(element)
	cost := element.Value.(*fingerprintCost)
	if cost.answers >= trustedAnswers {
		return boundedWork(cost.meanLog), true
	}
	return boundedWork((cost.answers*cost.meanLog + static) / (cost.answers + 1)), true
}

// Observe learns from the true work of a text that was answered. Work that is not known is 0 and teaches nothing.
func (c *CostEstimator) Observe(statement *syntax.Statement, work choice.Nanos) {
	if work <= 0 {
		return
	}
	logWork := math.Log(float64(min(work, maxWork)))
	c.biasAnswers = min(c.biasAnswers+1, maxBiasAnswers)
	c.bias += (logWork - math.Log(staticWork(statement)) - c.bias) / c.biasAnswers
	cost := c.fingerprintCost(statement.Fingerprint)
	cost.answers = min(cost.answers+1, maxFingerprintAnswers)
	cost.meanLog += (logWork - cost.meanLog) / cost.answers
}

// fingerprintCost returns the entry of a fingerprint as the most recently used, a new one if there was none.
func (c *CostEstimator) fingerprintCost(fingerprint uint64) *fingerprintCost {
	if element := c.byID[fingerprint]; element != nil {
		c.recent.MoveToFront(element)
		return element.Value.(*fingerprintCost)
	}
	if c.recent.Len() >= c.capacity {
		oldest := c.recent.Back()
		delete(c.byID, oldest.Value.(*fingerprintCost).fingerprint)
		c.recent.Remove(oldest)
	}
	cost := &fingerprintCost{fingerprint: fingerprint}
	c.byID[fingerprint] = c.recent.PushFront(cost)
	return cost
}

// Len returns how many fingerprints are held.
func (c *CostEstimator) Len() int { return c.recent.Len() }

// boundedWork returns the work with the given logarithm, within the bounds of an estimate.
func boundedWork(logWork float64) choice.Nanos {
	return max(minWork, choice.Nanos(math.Exp(min(logWork, math.Log(float64(maxWork))))))
}

// staticWork returns the work of a text by its counts alone, in ns. Patterns add up, as joins go from one to the next;
// what is of any length, optional or sorted multiplies; an outermost LIMIT without sorting ends early.
func staticWork(statement *syntax.Statement) float64 {
	counts := statement.Cost
	units := 1.0
	for variables, patterns := range counts.PatternsByVariables {
		units += float64(patterns) * patternWeights[variables]
	}
	combinations := counts.Joins + counts.Unions + counts.Subqueries
	units *= math.Pow(pathFactor, float64(min(counts.Paths, maxPaths))) *
		math.Pow(combineFactor, float64(min(combinations, maxCombinations)))
	if counts.Sorts+counts.Aggregates > 0 {
		units *= sortFactor
	} else if counts.Limit >= 0 {
		units = min(units, limitBase+float64(min(counts.Limit, maxLimit))/limitRowsPerUnit)
	}
	units += float64(counts.Rows) / rowsPerUnit
	if statement.ReadsAny || statement.WritesAny {
		units *= anyGraphFactor
	}
	return units * float64(patternWork)
}
