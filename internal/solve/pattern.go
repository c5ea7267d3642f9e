package solve

import (
	"slices"

	"swiftreel/internal/ilp"
)

// maxPatterns is the number of patterns up to which all are enumerated.
const maxPatterns = 3000

// maxThreads returns the most threads of a class that an engine of a cluster can use.
func (s *master) maxThreads(cluster *cluster, class int) int64 {
	g := cluster.group
	typ := s.model.classes[class].typ
	isForbidden := s.constraints.outsideLimits[typ] == 0 && !s.model.isPlacementAllowed(typ, g)
	if !g.canRun[class] || isForbidden {
		return 0
	}
	limit := min(s.model.requestedOfClass(class), cluster.threads)
	if ofThread := s.model.threadMemoryMB[typ]; ofThread > 0 {
		limit = min(limit, g.memoryMB/ofThread)
	}
	return limit
}

// addPatterns adds all patterns if there are at most maxPatterns, else initial ones with a single class each.
func (s *master) addPatterns() {
	s.patternColumns = make([]map[string]int, len(s.clusters))
	for i := range s.clusters {
		s.patternColumns[i] = map[string]int{}
	}
	if s.isCompact {
		s.isComplete = true
		s.addSingleClassPatterns(func(int64) int64 { return 1 })
		return
	}
	s.isComplete = s.countPatterns(maxPatterns) <= maxPatterns
	if !s.isComplete {
		s.addSingleClassPatterns(func(limit int64) int64 { return limit })
		return
	}
	for i := range s.clusters {
		s.forEachPattern(i, maxPatterns, func(threads []int64) { s.addPattern(i, threads) })
	}
}

// countPatterns counts the patterns of all clusters, and stops once the count exceeds the limit.
func (s *master) countPatterns(limit int) int {
	count := 0
	for i := range s.clusters {
		s.forEachPattern(i, limit-count, func([]int64) { count++ })
		if count > limit {
			break
		}
	}
	return count
}

// addSingleClassPatterns adds a pattern for each cluster and each class that it can run; threadsOf returns its threads,
// given the maximum.
func (s *master) addSingleClassPatterns(threadsOf func(limit int64) int64) {
	for i := range s.clusters {
		for class := range s.model.classes {
			limit := s.maxThreads(&s.clusters[i], class)
			if limit <= 0 {
				continue
			}
			threads := make([]int64, len(s.model.classes))
			threads[class] = threadsOf(limit)
			s.addPattern(i, threads)
		}
	}
}

// patternEnumeration enumerates the patterns of a cluster.
type patternEnumeration struct {
	master    *master
	cluster   *cluster
	threads   []int64 // by class
	visit     func(threads []int64)
	remaining int // patterns left to visit; negative: the limit is exceeded
}

// forEachPattern visits the nonempty patterns of a cluster, at most one more than the limit. The slice is reused
// between visits.
func (s *master) forEachPattern(clusterIndex, limit int, visit func(threads []int64)) {
	c := &s.clusters[clusterIndex]
	w := patternEnumeration{
		master:    s,
		cluster:   c,
		threads:   make([]int64, len(s.model.classes)),
		visit:     visit,
		remaining: limit,
	}
	w.enumerate(0, c.threads, c.group.memoryMB)
}

// enumerate tries all numbers of threads of the remaining classes, beginning with class.
func (w *patternEnumeration) enumerate(class int, threadsLeft, memoryLeft int64) {
	if w.remaining < 0 {
		return
	}
	if class == len(w.threads) {
		if threadsLeft < w.cluster.threads {
			w.remaining--
			w.visit(w.threads)
		}
		return
	}
	m := w.master.model
	ofThread := m.threadMemoryMB[m.classes[class].typ]
	for n := range w.master.maxThreads(w.cluster, class) + 1 {
		if n > threadsLeft || n*ofThread > memoryLeft {
			break
		}
		w.threads[class] = n
		w.enumerate(class+1, threadsLeft-n, memoryLeft-n*ofThread)
	}
	w.threads[class] = 0
}

// patternKey encodes a pattern as a map key. The threads of an engine fit in three bytes.
func patternKey(threads []int64) string {
	key := make([]byte, 0, 3*len(threads))
	for _, n := range threads {
		key = append(key, byte(n), byte(n>>8), byte(n>>16))
	}
	return string(key)
}

// addPattern adds a pattern's column unless it exists, and returns its index.
func (s *master) addPattern(clusterIndex int, threads []int64) int {
	key := patternKey(threads)
	if column, isKnown := s.patternColumns[clusterIndex][key]; isKnown {
		return column
	}
	column := len(s.columns)
	s.patternColumns[clusterIndex][key] = column
	s.program.Columns = append(s.program.Columns, s.patternColumn(clusterIndex, threads))
	s.columns = append(s.columns, columnMeaning{cluster: clusterIndex, threads: slices.Clone(threads), workload: none})
	s.setObjective(column)
	return column
}

// patternColumn builds the column of a pattern.
func (s *master) patternColumn(clusterIndex int, threads []int64) ilp.Column {
	c := &s.clusters[clusterIndex]
	g := c.group
	column := ilp.Column{Upper: int64(len(c.engines)), BranchFirst: true}
	addCoefficient(&column, s.rows.convexity+int32(clusterIndex), 1)
	for k, n := range threads {
		class := s.model.classes[k]
		if s.isCompact && n > 0 {
			addCoefficient(&column, s.rows.memory+int32(clusterIndex), s.model.threadMemoryMB[class.typ])
			column.Upper = s.maxThreads(c, k)
		}
		addCoefficient(&column, s.rows.link+int32(k), -n)
		addCoefficient(&column, s.rows.budget+int32(class.zone), n*g.bytes[k])
		addCoefficient(&column, s.rows.cost, n*g.cost[k])
		if !s.model.isPlacementAllowed(class.typ, g) {
			addCoefficient(&column, s.rows.outside+int32(class.typ), n)
		}
	}
	return column
}

// addCoefficient adds to a column's coefficient in a row.
func addCoefficient(column *ilp.Column, row int32, coefficient int64) {
	if coefficient == 0 {
		return
	}
	if i := slices.Index(column.Rows, row); i >= 0 {
		column.Coefficients[i] += coefficient
		return
	}
	column.Rows = append(column.Rows, row)
	column.Coefficients = append(column.Coefficients, coefficient)
}
