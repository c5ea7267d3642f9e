package solve

import (
	"math"
	"slices"

	"swiftreel/internal/ilp"
)

// goal is the objective of a stage.
type goal uint8

// The goals, in the order of their stages.
const (
	minShortfall goal = iota // minimizes the threads short of minimums
	maxValue
	minCost
)

// cluster is engines of a group that may run equally many threads within the constraints.
type cluster struct {
	group   *engineGroup
	engines []int
	threads int64
}

// master is the integer master program of the column generation. Its columns are the number of engines of a cluster
// that run a pattern (threads by class), and the threads granted to each workload. Up to maxPatterns all patterns are
// in the program; beyond that they are generated. The compact form instead has a variable for the threads of each class
// on each engine.
type master struct {
	model          *model
	constraints    *constraintSet
	clusters       []cluster
	program        *ilp.Program
	columns        []columnMeaning  // parallel to the columns of the program
	patternColumns []map[string]int // by cluster: column by pattern key
	isComplete     bool             // the program has all patterns
	isCompact      bool
	knownBound     int64 // upper bound on the objective
	rows           masterRows

	goal             goal
	costWeight       int64 // of cost in the objective
	shortfallPenalty int64 // per thread short of a minimum; 0: no shortfall is allowed
}

// masterRows are the indexes of the first rows of each kind.
type masterRows struct {
	convexity int32 // by cluster: number of engines; in the compact form number of threads
	memory    int32 // by cluster; only in the compact form
	link      int32 // by class: threads granted do not exceed threads run
	quota     int32 // by tenant
	minimum   int32 // by minimum
	budget    int32 // by zone
	outside   int32 // by type
	cost      int32
	value     int32
}

// columnMeaning says what a column represents: a pattern of a cluster, threads of a workload, or the shortfall of a
// minimum.
type columnMeaning struct {
	cluster   int     // none: not a pattern
	threads   []int64 // of the pattern, by class
	workload  int     // none: not a workload
	isPartial bool    // the partially used thread of the workload
}

func (c *columnMeaning) isPattern() bool   { return c.cluster >= 0 }
func (c *columnMeaning) isWorkload() bool  { return c.workload >= 0 }
func (c *columnMeaning) isShortfall() bool { return c.cluster < 0 && c.workload < 0 }

// clusterEngines clusters engines that are identical under the constraints; with isSingle each engine is a cluster of
// its own.
func (m *model) clusterEngines(constraints *constraintSet, isSingle bool) []cluster {
	var list []cluster
	for i := range m.groups {
		g := &m.groups[i]
		for _, engine := range g.engines {
			threads := m.maxEngineThreads(engine, constraints)
			if threads <= 0 {
				continue
			}
			at := slices.IndexFunc(list, func(c cluster) bool {
				return !isSingle && c.group == g && c.threads == threads
			})
			if at < 0 {
				at = len(list)
				list = append(list, cluster{group: g, threads: threads})
			}
			list[at].engines = append(list[at].engines, engine)
		}
	}
	return list
}

func newMaster(m *model, constraints *constraintSet) *master {
	return buildMaster(m, constraints, false)
}

// newCompact returns the compact form, which needs no column generation. Its relaxation is weaker, but branch and bound
// on it is complete.
func newCompact(m *model, constraints *constraintSet) *master {
	return buildMaster(m, constraints, true)
}

func buildMaster(m *model, constraints *constraintSet, isCompact bool) *master {
	s := &master{
		model:       m,
		constraints: constraints,
		clusters:    m.clusterEngines(constraints, isCompact),
		program:     &ilp.Program{},
		isCompact:   isCompact,
		knownBound:  math.MaxInt64,
	}
	s.addRows()
	s.addWorkloads()
	s.addShortfalls()
	s.addPatterns()
	return s
}

func (s *master) addRows() {
	m := s.model
	set := s.constraints
	s.rows.convexity = s.addRowsOf(len(s.clusters), s.convexityRow)
	if s.isCompact {
		s.rows.memory = s.addRowsOf(len(s.clusters), func(i int) ilp.Row {
			return ilp.Row{Bound: s.clusters[i].group.memoryMB}
		})
	}
	s.rows.link = s.addRowsOf(len(m.classes), func(int) ilp.Row { return ilp.Row{} })
	s.rows.quota = s.addRowsOf(len(m.problem.Tenants), func(i int) ilp.Row {
		return ilp.Row{Bound: limitOr(set.quotas[i], m.requestedThreads(none, i))}
	})
	s.rows.minimum = s.addRowsOf(len(set.minimums), func(i int) ilp.Row {
		return ilp.Row{Sense: ilp.GreaterOrEqual, Bound: set.minimums[i].threads}
	})
	s.rows.budget = s.addRowsOf(len(m.problem.Zones), func(i int) ilp.Row {
		return ilp.Row{Bound: limitOr(set.crossingBudgets[i], m.maxBytes())}
	})
	s.rows.outside = s.addRowsOf(len(m.problem.Types), func(i int) ilp.Row {
		return ilp.Row{Bound: limitOr(set.outsideLimits[i], m.fleetThreads)}
	})
	s.rows.cost = s.addRowsOf(1, func(int) ilp.Row { return ilp.Row{Bound: limitOr(set.maxCost, m.maxCost())} })
	s.rows.value = s.addRowsOf(1, func(int) ilp.Row {
		return ilp.Row{Sense: ilp.GreaterOrEqual, Bound: set.minValue}
	})
}

// addRowsOf adds rows of one kind and returns the index of the first.
func (s *master) addRowsOf(count int, row func(i int) ilp.Row) int32 {
	first := int32(len(s.program.Rows))
	for i := range count {
		s.program.Rows = append(s.program.Rows, row(i))
	}
	return first
}

func (s *master) convexityRow(cluster int) ilp.Row {
	if s.isCompact {
		return ilp.Row{Bound: s.clusters[cluster].threads}
	}
	return ilp.Row{Bound: int64(len(s.clusters[cluster].engines)), Convexity: true}
}

// limitOr returns a limit, or otherwise if it is none.
func limitOr(limit, otherwise int64) int64 {
	if limit < 0 {
		return otherwise
	}
	return limit
}

// addWorkloads adds the columns of the workloads: their fully used threads, and the partially used one.
func (s *master) addWorkloads() {
	for i, w := range s.model.workloads {
		value := s.model.threadValues[s.model.classes[w.class].typ]
		s.addWorkload(i, w.fullThreads, value, false)
		s.addWorkload(i, w.threads-w.fullThreads, w.partialValue, true)
	}
}

func (s *master) addWorkload(index int, threads, value int64, isPartial bool) {
	if threads <= 0 {
		return
	}
	w := s.model.workloads[index]
	rows := []int32{s.rows.link + int32(w.class), s.rows.quota + int32(w.tenant)}
	for k, f := range s.constraints.minimums {
		if f.covers(s.model, w) {
			rows = append(rows, s.rows.minimum+int32(k))
		}
	}
	coefficients := slices.Repeat([]int64{1}, len(rows))
	column := ilp.Column{
		Upper:        threads,
		Rows:         append(rows, s.rows.value),
		Coefficients: append(coefficients, value),
	}
	s.program.Columns = append(s.program.Columns, column)
	s.columns = append(s.columns, columnMeaning{cluster: none, workload: index, isPartial: isPartial})
}

// addShortfalls adds the shortfall columns of the minimums.
func (s *master) addShortfalls() {
	for k, f := range s.constraints.minimums {
		column := ilp.Column{Upper: f.threads, Rows: []int32{s.rows.minimum + int32(k)}, Coefficients: []int64{1}}
		s.program.Columns = append(s.program.Columns, column)
		s.columns = append(s.columns, columnMeaning{cluster: none, workload: none})
	}
}

// minimumOf returns the minimum of a shortfall column.
func (s *master) minimumOf(column int) minimum {
	return s.constraints.minimums[s.program.Columns[column].Rows[0]-s.rows.minimum]
}

// beginStage sets the row bounds and the objective of a stage.
func (s *master) beginStage(g stage) {
	s.goal = g.goal
	s.costWeight = 0
	if g.goal == minCost {
		s.costWeight = 1
	}
	s.program.Rows[s.rows.value].Bound = g.minValue
	if g.maxCost >= 0 {
		s.program.Rows[s.rows.cost].Bound = g.maxCost
	}
	s.setObjectives()
}

func (s *master) setObjectives() {
	for column := range s.columns {
		s.setObjective(column)
	}
}

// setObjective sets the objective coefficient of a column.
func (s *master) setObjective(column int) {
	c := &s.program.Columns[column]
	meaning := &s.columns[column]
	switch {
	case meaning.isPattern():
		c.Objective = -s.costWeight * s.patternCost(column)
	case meaning.isWorkload():
		c.Objective = 0
		if s.goal == maxValue {
			c.Objective = c.Coefficients[len(c.Coefficients)-1]
		}
	default:
		s.setShortfallPenalty(column)
	}
}

// setShortfallPenalty sets the objective coefficient and the upper bound of a shortfall column.
func (s *master) setShortfallPenalty(column int) {
	c := &s.program.Columns[column]
	c.Objective = -s.shortfallPenalty
	c.Upper = 0
	if s.goal == minShortfall {
		c.Objective = -1
	}
	if s.goal == minShortfall || s.shortfallPenalty > 0 {
		c.Upper = s.minimumOf(column).threads
	}
}

// patternCost returns the cost of a pattern column.
func (s *master) patternCost(column int) int64 {
	c := &s.program.Columns[column]
	if i := slices.Index(c.Rows, s.rows.cost); i >= 0 {
		return c.Coefficients[i]
	}
	return 0
}

// setCostWeight sets the weight of cost in the objective.
func (s *master) setCostWeight(weight int64) {
	s.costWeight = weight
	s.setObjectives()
}

// allowShortfall sets whether a dive may miss minimums at a penalty. Without this a dive would end at the first minimum
// that it misses.
func (s *master) allowShortfall(isAllowed bool) {
	if s.goal != maxValue {
		return
	}
	s.shortfallPenalty = 0
	if !isAllowed {
		return
	}
	greatest := int64(1)
	for _, value := range s.model.threadValues {
		greatest = max(greatest, value)
	}
	s.shortfallPenalty = min(shortfallFactor*greatest, maxSum/max(1, s.model.fleetThreads))
}

// shortfall returns the number of threads short of the minimums.
func (s *master) shortfall(values []int64) int64 {
	sum := int64(0)
	for column := range s.columns {
		if s.columns[column].isShortfall() {
			sum += values[column]
		}
	}
	return sum
}
