package solve

import (
	"math"
	"slices"

	"swiftreel/internal/ilp"
)

// aim is what a stage wants most.
type goal uint8

// The aims, in the order of the stages.
const (
	minShortfall goal = iota // the floors met: the least threads short of them
	maxValue
	minCost // the least
)

// cluster is engines alike in all, also in what they may run now.
type cluster struct {
	group   *engineGroup
	engines []int
	threads int64
}

// master is the program over patterns: how many engines of a cluster run which counts of pieces, and what wants are
// given of that. Where there are few patterns all stand in it; else they come as their worth shows.
type master struct {
	model          *model
	constraints    *constraintSet
	clusters       []cluster
	program        *ilp.Program
	columns        []columnMeaning // of the program's columns
	patternColumns []map[string]int
	isComplete     bool  // all patterns are in it
	isCompact      bool  // instead of patterns, threads by engine and piece
	knownBound     int64 // a bound known beforehand
	goal           goal
	costPrice      int64 // what a unit of cost takes off the objective
	shortfallPrice int64 // and a thread short of a floor; 0: none may be

	convexRows, memoryRows, linkRows, quotaRows, minimumRows, budgetRows, outsideRows int32 // first rows of each sort
	costRow, valueRow                                                                 int32
}

// meaning is what a column stands for: a pattern of a cluster, or threads of a want, or threads short of a floor.
type columnMeaning struct {
	cluster   int // -1: no pattern
	counts    []int64
	workload  int // -1: no want
	isPartial bool
}

// mostWhole is up to how many patterns all are written out.
const maxPatterns = 3000

func (m *model) clusters(constraints *constraintSet, single bool) (list []cluster) {
	for gi := range m.groups {
		g := &m.groups[gi]
		for _, i := range g.engines {
			threads := m.maxThreadsOf(i, constraints)
			if threads <= 0 {
				continue
			}
			at := slices.IndexFunc(list, func(c cluster) bool { return !single && c.group == g && c.threads == threads })
			if at < 0 {
				at, list = len(list), append(list, cluster{group: g, threads: threads})
			}
			list[at].engines = append(list[at].engines, i)
		}
	}
	return list
}

func newMaster(m *model, constraints *constraintSet) *master {
	return buildMaster(m, constraints, false)
}

// newCompact is the program without patterns, whole at any size: threads by engine and piece. Its bounds are weaker, but
// branch and bound over it ends.
func newCompact(m *model, constraints *constraintSet) *master {
	return buildMaster(m, constraints, true)
}

func buildMaster(model *model, constraints *constraintSet, compact bool) *master {
	s := &master{model: model, constraints: constraints, clusters: model.clusters(constraints, compact), program: &ilp.Program{}, isCompact: compact, knownBound: math.MaxInt64}
	rows := func(n int, row func(i int) ilp.Row) (first int32) {
		first = int32(len(s.program.Rows))
		for i := range n {
			s.program.Rows = append(s.program.Rows, row(i))
		}
		return first
	}
	most := func(v, otherwise int64) int64 {
		if v < 0 {
			return otherwise
		}
		return v
	}
	s.convexRows = rows(len(s.clusters), func(i int) ilp.Row {
		if compact {
			return ilp.Row{Bound: s.clusters[i].threads}
		}
		return ilp.Row{Bound: int64(len(s.clusters[i].engines)), Convex: true}
	})
	if compact {
		s.memoryRows = rows(len(s.clusters), func(i int) ilp.Row { return ilp.Row{Bound: s.clusters[i].group.memoryMB} })
	}
	s.linkRows = rows(len(model.classes), func(int) ilp.Row { return ilp.Row{} })
	s.quotaRows = rows(len(model.problem.Tenants), func(i int) ilp.Row { return ilp.Row{Bound: most(constraints.quotas[i], model.requestedThreads(-1, i))} })
	s.minimumRows = rows(len(constraints.minimums), func(i int) ilp.Row {
		return ilp.Row{Sense: ilp.GreaterOrEqual, Bound: constraints.minimums[i].threads}
	})
	s.budgetRows = rows(len(model.problem.Zones), func(i int) ilp.Row { return ilp.Row{Bound: most(constraints.crossingBudgets[i], model.maxBytes())} })
	s.outsideRows = rows(len(model.problem.Types), func(i int) ilp.Row { return ilp.Row{Bound: most(constraints.outsideLimits[i], model.fleetThreads)} })
	s.costRow = rows(1, func(int) ilp.Row { return ilp.Row{Bound: most(constraints.maxCost, model.maxCost())} })
	s.valueRow = rows(1, func(int) ilp.Row { return ilp.Row{Sense: ilp.GreaterOrEqual, Bound: constraints.minValue} })
	s.addWorkloads()
	s.addPatterns()
	return s
}

func (s *master) addWorkloads() {
	m := s.model
	for i, w := range m.workloads {
		typ := m.classes[w.class].typ
		rows := []int32{s.linkRows + int32(w.class), s.quotaRows + int32(w.tenant)}
		by := []int64{1, 1}
		for k, f := range s.constraints.minimums {
			if f.typ == typ || f.tenant == w.tenant {
				rows, by = append(rows, s.minimumRows+int32(k)), append(by, 1)
			}
		}
		rows = append(rows, s.valueRow)
		add := func(most, worth int64, part bool) {
			if most > 0 {
				s.program.Columns = append(s.program.Columns, ilp.Column{Upper: most, Rows: rows, Coefficients: append(slices.Clone(by), worth)})
				s.columns = append(s.columns, columnMeaning{cluster: -1, workload: i, isPartial: part})
			}
		}
		add(w.fullThreads, m.threadValues[typ], false)
		add(w.threads-w.fullThreads, w.partialValue, true)
	}
	for k, f := range s.constraints.minimums {
		s.program.Columns = append(s.program.Columns, ilp.Column{Upper: f.threads, Rows: []int32{s.minimumRows + int32(k)}, Coefficients: []int64{1}})
		s.columns = append(s.columns, columnMeaning{cluster: -1, workload: -1})
	}
}

// most is how many threads of a piece a cluster's engine could use, the engine being empty.
func (s *master) maxThreads(cluster *cluster, classIndex int) int64 {
	m, g := s.model, cluster.group
	class := m.classes[classIndex]
	if !g.canRun[classIndex] || (s.constraints.outsideLimits[class.typ] == 0 && !m.isPlacementAllowed(class.typ, g)) {
		return 0
	}
	asked := int64(0)
	for _, w := range m.workloads {
		if w.class == classIndex {
			asked += w.threads
		}
	}
	most := min(asked, cluster.threads)
	if each := m.threadMemoryMB[class.typ]; each > 0 {
		most = min(most, g.memoryMB/each)
	}
	return most
}

// addPatterns writes all patterns out where they are few, else those of one piece each.
func (s *master) addPatterns() {
	s.patternColumns = make([]map[string]int, len(s.clusters))
	for c := range s.clusters {
		s.patternColumns[c] = map[string]int{}
	}
	if s.isCompact {
		s.isComplete = true
		for c := range s.clusters {
			for k := range s.model.classes {
				if s.maxThreads(&s.clusters[c], k) > 0 {
					counts := make([]int64, len(s.model.classes))
					counts[k] = 1
					s.addPattern(c, counts)
				}
			}
		}
		return
	}
	left := maxPatterns
	for c := range s.clusters {
		if left = s.forEachPattern(c, left, func([]int64) {}); left < 0 {
			break
		}
	}
	s.isComplete = left >= 0
	for c := range s.clusters {
		if s.isComplete {
			s.forEachPattern(c, maxPatterns, func(counts []int64) { s.addPattern(c, counts) })
			continue
		}
		for k := range s.model.classes {
			if n := s.maxThreads(&s.clusters[c], k); n > 0 {
				counts := make([]int64, len(s.model.classes))
				counts[k] = n
				s.addPattern(c, counts)
			}
		}
	}
}

// each goes through the patterns of a cluster but the empty one, and tells how many of left remain; below 0: too many.
func (s *master) forEachPattern(clusterIndex, left int, visit func([]int64)) int {
	m, cluster := s.model, &s.clusters[clusterIndex]
	counts := make([]int64, len(m.classes))
	var at func(k int, threads, memory int64)
	at = func(k int, threads, memory int64) {
		if left < 0 {
			return
		}
		if k == len(counts) {
			if threads < cluster.threads {
				left--
				visit(counts)
			}
			return
		}
		each := m.threadMemoryMB[m.classes[k].typ]
		for n := range s.maxThreads(cluster, k) + 1 {
			if n > threads || n*each > memory {
				break
			}
			counts[k] = n
			at(k+1, threads-n, memory-n*each)
		}
		counts[k] = 0
	}
	at(0, cluster.threads, cluster.group.memoryMB)
	return left
}

// pattern adds a pattern, or finds it; its column is told.
func (s *master) addPattern(clusterIndex int, counts []int64) int {
	key := make([]byte, 0, 3*len(counts))
	for _, n := range counts {
		key = append(key, byte(n), byte(n>>8), byte(n>>16))
	}
	if j, is := s.patternColumns[clusterIndex][string(key)]; is {
		return j
	}
	m, cluster := s.model, &s.clusters[clusterIndex]
	col := ilp.Column{Upper: int64(len(cluster.engines)), BranchFirst: true}
	put := func(row int32, by int64) {
		if by == 0 {
			return
		}
		if i := slices.Index(col.Rows, row); i >= 0 {
			col.Coefficients[i] += by
			return
		}
		col.Rows, col.Coefficients = append(col.Rows, row), append(col.Coefficients, by)
	}
	put(s.convexRows+int32(clusterIndex), 1)
	for k, n := range counts {
		class := m.classes[k]
		if s.isCompact && n > 0 {
			put(s.memoryRows+int32(clusterIndex), m.threadMemoryMB[class.typ])
			col.Upper = s.maxThreads(cluster, k)
		}
		put(s.linkRows+int32(k), -n)
		put(s.budgetRows+int32(class.zone), n*cluster.group.bytes[k])
		put(s.costRow, n*cluster.group.cost[k])
		if !m.isPlacementAllowed(class.typ, cluster.group) {
			put(s.outsideRows+int32(class.typ), n)
		}
	}
	j := len(s.columns)
	s.patternColumns[clusterIndex][string(key)] = j
	s.program.Columns = append(s.program.Columns, col)
	s.columns = append(s.columns, columnMeaning{cluster: clusterIndex, counts: slices.Clone(counts), workload: -1})
	s.setPrice(j)
	return j
}

// costOf is the cost of a pattern's column.
func (s *master) costOf(j int) int64 {
	col := &s.program.Columns[j]
	if i := slices.Index(col.Rows, s.costRow); i >= 0 {
		return col.Coefficients[i]
	}
	return 0
}

// price gives a column its worth in the stage at hand.
func (s *master) setPrice(column int) {
	col, meaning := &s.program.Columns[column], s.columns[column]
	switch {
	case meaning.cluster >= 0:
		col.Objective = -s.costPrice * s.costOf(column)
	case meaning.workload >= 0:
		if col.Objective = 0; s.goal == maxValue {
			col.Objective = col.Coefficients[len(col.Coefficients)-1]
		}
	default:
		col.Objective, col.Upper = -s.shortfallPrice, 0 // floors hold
		if s.goal == minShortfall {
			col.Objective = -1
		}
		if s.goal == minShortfall || s.shortfallPrice > 0 {
			col.Upper = s.constraints.minimums[col.Rows[0]-s.minimumRows].threads
		}
	}
}

// turn sets the stage.
func (s *master) beginStage(to goal, value, cost int64) {
	if s.goal, s.costPrice = to, 0; to == minCost {
		s.costPrice = 1
	}
	s.program.Rows[s.valueRow].Bound = value
	if cost >= 0 {
		s.program.Rows[s.costRow].Bound = cost
	}
	for j := range s.columns {
		s.setPrice(j)
	}
}

// read turns columns' values into a solution, without what no want is given; the dearest engines give first.
func (s *master) solutionOf(values []int64) *solution {
	m, out := s.model, s.model.emptySolution()
	spare := make([]int64, len(m.classes))
	next := make([]int, len(s.clusters))
	for j, n := range values {
		meaning := s.columns[j]
		if meaning.workload >= 0 {
			out.granted[meaning.workload] += n
			spare[m.workloads[meaning.workload].class] -= n
		}
		if meaning.cluster < 0 {
			continue
		}
		if s.isCompact && n > 0 {
			i := s.clusters[meaning.cluster].engines[0]
			if out.threads[i] == nil {
				out.threads[i] = make([]int64, len(m.classes))
			}
			for k, c := range meaning.counts {
				out.threads[i][k] += c * n
				spare[k] += c * n
			}
			continue
		}
		for range n {
			i := s.clusters[meaning.cluster].engines[next[meaning.cluster]]
			next[meaning.cluster]++
			out.threads[i] = slices.Clone(meaning.counts)
			for k, c := range meaning.counts {
				spare[k] += c
			}
		}
	}
	for k := range spare {
		for spare[k] > 0 {
			worst := -1
			for i, on := range out.threads {
				if on != nil && on[k] > 0 && (worst < 0 || m.groups[m.groupOf[i]].cost[k] > m.groups[m.groupOf[worst]].cost[k]) {
					worst = i
				}
			}
			n := min(spare[k], out.threads[worst][k])
			out.threads[worst][k] -= n
			spare[k] -= n
		}
	}
	return out
}

// write turns a solution into columns' values; patterns it needs are added. nil: it does not fit the clusters.
func (s *master) valuesOf(from *solution) []int64 {
	values := make([]int64, len(s.columns))
	for j, meaning := range s.columns {
		if meaning.workload >= 0 {
			w := s.model.workloads[meaning.workload]
			if n := from.granted[meaning.workload]; meaning.isPartial {
				values[j] = max(0, n-w.fullThreads)
			} else {
				values[j] = min(n, w.fullThreads)
			}
		}
	}
	for j, meaning := range s.columns {
		if meaning.cluster < 0 && meaning.workload < 0 { // short of a floor
			f := s.constraints.minimums[s.program.Columns[j].Rows[0]-s.minimumRows]
			values[j] = f.threads
			for i, w := range s.model.workloads {
				if f.typ == s.model.classes[w.class].typ || f.tenant == w.tenant {
					values[j] -= from.granted[i]
				}
			}
			values[j] = max(0, values[j])
		}
	}
	for c, cluster := range s.clusters {
		if s.isCompact {
			for j, meaning := range s.columns {
				if on := from.threads[cluster.engines[0]]; meaning.cluster == c && on != nil {
					values[j] = on[slices.Index(meaning.counts, 1)]
				}
			}
			continue
		}
		for _, i := range cluster.engines {
			if on := from.threads[i]; on != nil && slices.Max(append(slices.Clone(on), 0)) > 0 {
				j := s.addPattern(c, on)
				for len(values) <= j {
					values = append(values, 0)
				}
				values[j]++
			}
		}
	}
	return append(values, make([]int64, len(s.columns)-len(values))...)
}
