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

// Sample limits of the learned estimates.
const (
	maxFingerprintSamples = 64  // cap per fingerprint, so that its mean follows changes
	maxBiasSamples        = 200 // cap for the bias of static estimates
	trustedSamples        = 3   // from this number on, a fingerprint's mean is used without the static estimate
)

// Weights of the static estimate.
const (
	patternWork      = choice.Nanos(200_000) // of a triple pattern without variables
	pathFactor       = 4.0                   // for each property path of arbitrary length
	maxPaths         = 6
	combineFactor    = 1.5 // for each join of groups, union and subquery
	maxCombinations  = 12
	sortFactor       = 2.0
	limitBase        = 5.0 // units of a LIMIT without sorting, before its rows
	limitRowsPerUnit = 10
	maxLimit         = 1_000_000
	rowsPerUnit      = 5   // of inline data
	anyGraphFactor   = 3.0 // for access to graphs that the statement does not name
)

// patternWeights are the weights of a triple pattern by its number of variables.
var patternWeights = [4]float64{1, 3, 30, 600}

// CostEstimator learns the cost of statements by their fingerprint. It holds a bounded number of fingerprints and
// evicts the least recently used one.
type CostEstimator struct {
	capacity      int
	byFingerprint map[uint64]*list.Element
	lru           *list.List // of *fingerprintCost, most recently used first
	bias          float64    // mean log of the ratio of measured work to the static estimate
	biasSamples   float64
}

type fingerprintCost struct {
	fingerprint uint64
	samples     float64
	meanLog     float64 // of work in ns
}

// NewCostEstimator returns an estimator that stores up to capacity fingerprints, of about 150 bytes each.
func NewCostEstimator(capacity int) *CostEstimator {
	return &CostEstimator{capacity: max(1, capacity), byFingerprint: map[uint64]*list.Element{}, lru: list.New()}
}

// Estimate returns the expected work of a statement, and whether its fingerprint has samples.
func (c *CostEstimator) Estimate(statement *syntax.Statement) (work choice.Nanos, known bool) {
	static := math.Log(staticWork(statement)) + c.bias
	element := c.byFingerprint[statement.Fingerprint]
	if element == nil {
		return boundedWork(static), false
	}
	c.lru.MoveToFront(element)
	cost := element.Value.(*fingerprintCost)
	if cost.samples >= trustedSamples {
		return boundedWork(cost.meanLog), true
	}
	return boundedWork((cost.samples*cost.meanLog + static) / (cost.samples + 1)), true
}

// Observe adds the measured work of an answered statement as a sample. Unknown work is 0 and is ignored.
func (c *CostEstimator) Observe(statement *syntax.Statement, work choice.Nanos) {
	if work <= 0 {
		return
	}
	logWork := math.Log(float64(min(work, maxWork)))
	c.biasSamples = min(c.biasSamples+1, maxBiasSamples)
	c.bias += (logWork - math.Log(staticWork(statement)) - c.bias) / c.biasSamples
	cost := c.fingerprintCost(statement.Fingerprint)
	cost.samples = min(cost.samples+1, maxFingerprintSamples)
	cost.meanLog += (logWork - cost.meanLog) / cost.samples
}

// fingerprintCost returns the entry of a fingerprint, created if missing, and marks it as the most recently used.
func (c *CostEstimator) fingerprintCost(fingerprint uint64) *fingerprintCost {
	if element := c.byFingerprint[fingerprint]; element != nil {
		c.lru.MoveToFront(element)
		return element.Value.(*fingerprintCost)
	}
	if c.lru.Len() >= c.capacity {
		oldest := c.lru.Back()
		delete(c.byFingerprint, oldest.Value.(*fingerprintCost).fingerprint)
		c.lru.Remove(oldest)
	}
	cost := &fingerprintCost{fingerprint: fingerprint}
	c.byFingerprint[fingerprint] = c.lru.PushFront(cost)
	return cost
}

// Len returns the number of stored fingerprints.
func (c *CostEstimator) Len() int { return c.lru.Len() }

// boundedWork returns the work with the given logarithm, clamped to the bounds of an estimate.
func boundedWork(logWork float64) choice.Nanos {
	return max(minWork, choice.Nanos(math.Exp(min(logWork, math.Log(float64(maxWork))))))
}

// staticWork returns the work of a statement in ns, estimated from its counts alone. Triple patterns add up, as a join
// evaluates one after the other; paths of arbitrary length, combined groups and sorting multiply; an outermost LIMIT
// without sorting caps the sum, as evaluation stops early.
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
