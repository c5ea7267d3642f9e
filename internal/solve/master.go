package solve

import (
	"math"
	"slices"

	"swiftreel/internal/ilp"
)

// goal is what a stage looks for.
type goal uint8

// The goals, in the order of the stages.
const (
	minShortfall goal = iota // the fewest threads short of the minimums
	maxValue
	minCost
)

// cluster is engines alike in everything, also in what they may run now.
type cluster struct {
	group   *engineGroup
	engines []int
	threads int64
}

// master is the integer program over patterns: how many engines of a cluster run which threads by class, and which
// threads workloads are granted of that. Few patterns are all written out; else they are generated as their value
// shows. The compact form has threads by engine and class instead of patterns.
type master struct {
	model          *model
	constraints    *constraintSet
	clusters       []cluster
	program        *ilp.Program
	columns        []columnMeaning  // of the program's columns
	patternColumns []map[string]int // by cluster: the column of a pattern's key
	isComplete     bool             // all patterns are in it
	isCompact      bool
	knownBound     int64 // on the value, known beforehand
	rows           masterRows

	goal           goal
	costPrice      int64 // what a unit of cost takes off the objective
	shortfallPrice int64 // and a thread short of a minimum; 0: none may be
}

// masterRows are the first rows of each sort.
type masterRows struct {
	convex  int32 // by cluster: engines; in the compact form threads
	memory  int32 // by cluster; in the compact form only
	link    int32 // by class: threads granted are run
	quota   int32 // by tenant
	minimum int32 // by minimum
	budget  int32 // by zone
	outside int32 // by type
	cost    int32
	value   int32
}

// columnMeaning is what a column stands for: a pattern of a cluster, threads of a workload, or threads short of a
// minimum.
type columnMeaning struct {
	cluster   int     // none: no pattern
	threads   []int64 // of the pattern, by class
	workload  int     // none: no workload's
	isPartial bool    // the thread that a workload uses in part
}

func (c *columnMeaning) isPattern() bool   { return c.cluster >= 0 }
func (c *columnMeaning) isWorkload() bool  { return c.workload >= 0 }
func (c *columnMeaning) isShortfall() bool { return c.cluster < 0 && c.workload < 0 }

// clustersOf puts engines together that are alike under the constraints; isSingle: each stands by itself.
func (m *model) clustersOf(constraints *constraintSet, isSingle bool) []cluster {
	var list []cluster
	for i := range m.groups {
		g := &m.groups[i]
		for _, engine := range g.engines {
			threads := m.maxThreadsOf(engine, constraints)
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

// newCompact returns the compact form, which is complete at any size. Its bounds are weaker, but branch and bound
// over it ends.
func newCompact(m *model, constraints *constraintSet) *master {
	return buildMaster(m, constraints, true)
}

func buildMaster(m *model, constraints *constraintSet, isCompact bool) *master {
	s := &master{
		model:       m,
		constraints: constraints,
		clusters:    m.clustersOf(constraints, isCompact),
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

// addRows adds the rows of all sorts.
func (s *master) addRows() {
	m := s.model
	set := s.constraints
	s.rows.convex = s.addRowsOf(len(s.clusters), s.convexRow)
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

// addRowsOf adds rows of one sort and returns the first.
func (s *master) addRowsOf(count int, row func(i int) ilp.Row) int32 {
	first := int32(len(s.program.Rows))
	for i := range count {
		s.program.Rows = append(s.program.Rows, row(i))
	}
	return first
}

func (s *master) convexRow(cluster int) ilp.Row {
	if s.isCompact {
		return ilp.Row{Bound: s.clusters[cluster].threads}
	}
	return ilp.Row{Bound: int64(len(s.clusters[cluster].engines)), Convexity: true}
}

// limitOr returns a limit, or another number where there is none.
func limitOr(limit, otherwise int64) int64 {
	if limit < 0 {
		return otherwise
	}
	return limit
}

// addWorkloads adds the columns of the workloads: threads fully used, and the one used in part.
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

// addShortfalls adds the columns of threads short of the minimums.
func (s *master) addShortfalls() {
	for k, f := range s.constraints.minimums {
		column := ilp.Column{Upper: f.threads, Rows: []int32{s.rows.minimum + int32(k)}, Coefficients: []int64{1}}
		s.program.Columns = append(s.program.Columns, column)
		s.columns = append(s.columns, columnMeaning{cluster: none, workload: none})
	}
}

// minimumOf returns the minimum of a shortfall's column.
func (s *master) minimumOf(column int) minimum {
	return s.constraints.minimums[s.program.Columns[column].Rows[0]-s.rows.minimum]
}

// beginStage sets the bounds and prices of a stage.
func (s *master) beginStage(g stage) {
	s.goal = g.goal
	s.costPrice = 0
	if g.goal == minCost {
		s.costPrice = 1
	}
	s.program.Rows[s.rows.value].Bound = g.minValue
	if g.maxCost >= 0 {
		s.program.Rows[s.rows.cost].Bound = g.maxCost
	}
	s.setPrices()
}

func (s *master) setPrices() {
	for column := range s.columns {
		s.setPrice(column)
	}
}

// setPrice sets what a column is worth in the stage.
func (s *master) setPrice(column int) {
	c := &s.program.Columns[column]
	meaning := &s.columns[column]
	switch {
	case meaning.isPattern():
		c.Objective = -s.costPrice * s.costOf(column)
	case meaning.isWorkload():
		c.Objective = 0
		if s.goal == maxValue {
			c.Objective = c.Coefficients[len(c.Coefficients)-1]
		}
	default:
		s.setShortfallPrice(column)
	}
}

// setShortfallPrice sets what threads short of a minimum cost, and whether there may be any.
func (s *master) setShortfallPrice(column int) {
	c := &s.program.Columns[column]
	c.Objective = -s.shortfallPrice
	c.Upper = 0
	if s.goal == minShortfall {
		c.Objective = -1
	}
	if s.goal == minShortfall || s.shortfallPrice > 0 {
		c.Upper = s.minimumOf(column).threads
	}
}

// costOf returns the cost of a pattern's column.
func (s *master) costOf(column int) int64 {
	c := &s.program.Columns[column]
	if i := slices.Index(c.Rows, s.rows.cost); i >= 0 {
		return c.Coefficients[i]
	}
	return 0
}

// setCostPrice sets what a unit of cost takes off the objective.
func (s *master) setCostPrice(price int64) {
	s.costPrice = price
	s.setPrices()
}

// allowShortfall lets minimums be missed at a price during a dive, which would else end at the first that is.
func (s *master) allowShortfall(isAllowed bool) {
	if s.goal != maxValue {
		return
	}
	s.shortfallPrice = 0
	if !isAllowed {
		return
	}
	greatest := int64(1)
	for _, value := range s.model.threadValues {
		greatest = max(greatest, value)
	}
	s.shortfallPrice = min(shortfallFactor*greatest, maxSum/max(1, s.model.fleetThreads))
}

// shortfall returns the threads that a plan is short of minimums.
func (s *master) shortfall(values []int64) int64 {
	sum := int64(0)
	for column := range s.columns {
		if s.columns[column].isShortfall() {
			sum += values[column]
		}
	}
	return sum
}
