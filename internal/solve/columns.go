package solve

import "slices"

// solutionOf converts columns' values to a solution. Threads that no workload is granted are removed.
func (s *master) solutionOf(values []int64) *solution {
	out := s.model.emptySolution()
	surplus := make([]int64, len(s.model.classes)) // threads run less threads granted, by class
	nextEngine := make([]int, len(s.clusters))
	for column, value := range values {
		meaning := &s.columns[column]
		if meaning.isWorkload() {
			out.granted[meaning.workload] += value
			surplus[s.model.workloads[meaning.workload].class] -= value
		}
		if !meaning.isPattern() {
			continue
		}
		engines := s.clusters[meaning.cluster].engines
		if s.isCompact {
			addThreads(out, engines[0], meaning.threads, value)
		} else {
			for range value {
				out.threads[engines[nextEngine[meaning.cluster]]] = slices.Clone(meaning.threads)
				nextEngine[meaning.cluster]++
			}
		}
		for class, threads := range meaning.threads {
			surplus[class] += threads * value
		}
	}
	s.model.removeSurplus(out, surplus)
	return out
}

// addThreads adds a multiple of threads by class to an engine.
func addThreads(out *solution, engine int, threads []int64, times int64) {
	if times <= 0 {
		return
	}
	if out.threads[engine] == nil {
		out.threads[engine] = make([]int64, len(threads))
	}
	for class, n := range threads {
		out.threads[engine][class] += n * times
	}
}

// removeSurplus removes threads from engines, by class, the most expensive engines first.
func (m *model) removeSurplus(out *solution, surplus []int64) {
	for class := range surplus {
		for surplus[class] > 0 {
			engine := m.dearestEngine(out, class)
			n := min(surplus[class], out.threads[engine][class])
			out.threads[engine][class] -= n
			surplus[class] -= n
		}
	}
}

// dearestEngine returns the most expensive engine that runs a class; the first one if several are.
func (m *model) dearestEngine(out *solution, class int) int {
	dearest := none
	for engine, threads := range out.threads {
		if threads == nil || threads[class] <= 0 {
			continue
		}
		if dearest < 0 || m.costOn(engine, class) > m.costOn(dearest, class) {
			dearest = engine
		}
	}
	return dearest
}

// costOn returns the cost per second of a class's thread on an engine.
func (m *model) costOn(engine, class int) int64 {
	return m.groups[m.groupOf[engine]].cost[class]
}

// valuesOf converts a solution to columns' values. Missing patterns are added to the program.
func (s *master) valuesOf(from *solution) []int64 {
	values := make([]int64, len(s.columns))
	for column := range s.columns {
		meaning := &s.columns[column]
		switch {
		case meaning.isWorkload():
			values[column] = s.workloadValue(from, meaning)
		case meaning.isShortfall():
			values[column] = s.shortfallValue(from, s.minimumOf(column))
		}
	}
	if s.isCompact {
		s.setCompactValues(from, values)
		return values
	}
	for i := range s.clusters {
		for _, engine := range s.clusters[i].engines {
			if sumOf(from.threads[engine]) == 0 {
				continue
			}
			column := s.addPattern(i, from.threads[engine])
			values = s.padded(values)
			values[column]++
		}
	}
	return s.padded(values)
}

// workloadValue returns the value of a workload's column.
func (s *master) workloadValue(from *solution, meaning *columnMeaning) int64 {
	fullThreads := s.model.workloads[meaning.workload].fullThreads
	granted := from.granted[meaning.workload]
	if meaning.isPartial {
		return max(0, granted-fullThreads)
	}
	return min(granted, fullThreads)
}

// shortfallValue returns the threads that a solution lacks for a minimum.
func (s *master) shortfallValue(from *solution, f minimum) int64 {
	short := f.threads
	for i, w := range s.model.workloads {
		if f.covers(s.model, w) {
			short -= from.granted[i]
		}
	}
	return max(0, short)
}

// setCompactValues sets the values of the compact form's columns.
func (s *master) setCompactValues(from *solution, values []int64) {
	for column := range s.columns {
		meaning := &s.columns[column]
		if !meaning.isPattern() {
			continue
		}
		threads := from.threads[s.clusters[meaning.cluster].engines[0]]
		if threads != nil {
			values[column] = threads[slices.Index(meaning.threads, 1)]
		}
	}
}
