package solve

// utilizationScale is the denominator of utilizations: parts of ten thousand.
const utilizationScale = 10_000

// solution is threads by engine and by workload. What engines run of a class is what its workloads are granted.
type solution struct {
	threads [][]int64 // by engine, by class; nil: the engine gets nothing
	granted []int64   // by workload
}

func (m *model) emptySolution() *solution {
	return &solution{
		threads: make([][]int64, len(m.problem.Engines)),
		granted: make([]int64, len(m.workloads)),
	}
}

// measure is the objective: value and cost of a second, and the greatest utilization of an engine.
type measure struct {
	value       int64
	cost        int64
	utilization int64 // in parts of utilizationScale
}

// isBetterThan reports the strict order: more value, then less cost, then a lower utilization.
func (a measure) isBetterThan(b measure) bool {
	if a.value != b.value {
		return a.value > b.value
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.utilization < b.utilization
}

// valueOf returns the value of some of a workload's threads a second; threadValue is that of one fully used.
func (w workload) valueOf(threads, threadValue int64) int64 {
	if threads > w.fullThreads {
		return w.fullThreads*threadValue + w.partialValue
	}
	return threads * threadValue
}

// measure returns the objective of a solution.
func (m *model) measure(plan *solution) measure {
	var total measure
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

// sumOf returns the sum of some numbers.
func sumOf(numbers []int64) int64 {
	sum := int64(0)
	for _, n := range numbers {
		sum += n
	}
	return sum
}
