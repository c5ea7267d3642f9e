package solve

// utilizationScale is the denominator of utilizations.
const utilizationScale = 10_000

// solution is the threads of each class on each engine, and the threads granted to each workload. For each class both
// sums are equal.
type solution struct {
	threads [][]int64 // by engine, by class; nil: the engine runs nothing
	granted []int64   // by workload
}

func (m *model) emptySolution() *solution {
	return &solution{
		threads: make([][]int64, len(m.problem.Engines)),
		granted: make([]int64, len(m.workloads)),
	}
}

// objective is the objective values of a solution: value and cost per second, and the maximum utilization of an engine.
type objective struct {
	value       int64
	cost        int64
	utilization int64 // in parts of utilizationScale
}

// isBetterThan compares lexicographically: more value, then less cost, then a lower utilization.
func (a objective) isBetterThan(b objective) bool {
	if a.value != b.value {
		return a.value > b.value
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.utilization < b.utilization
}

// valueOf returns the value per second of some of a workload's threads; threadValue is the value of a fully used
// thread.
func (w workload) valueOf(threads, threadValue int64) int64 {
	if threads > w.fullThreads {
		return w.fullThreads*threadValue + w.partialValue
	}
	return threads * threadValue
}

// objective evaluates a solution.
func (m *model) objective(plan *solution) objective {
	var total objective
	for i, w := range m.workloads {
		total.value += w.valueOf(plan.granted[i], m.threadValues[m.classes[w.class].typ])
	}
	for i, byClass := range plan.threads {
		used := int64(0)
		for class, threads := range byClass {
			used += threads
			total.cost += threads * m.groups[m.groupOf[i]].cost[class]
		}
		if used > 0 {
			total.utilization = max(total.utilization, used*utilizationScale/m.groups[m.groupOf[i]].threads)
		}
	}
	return total
}

func sumOf(numbers []int64) int64 {
	sum := int64(0)
	for _, n := range numbers {
		sum += n
	}
	return sum
}
