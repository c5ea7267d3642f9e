package solve

import (
	"slices"
	"strings"
)

const (
	million        = 1_000_000
	maxPlanSteps   = 9 // of an answer
	stepsPerWarmUp = 4 // that each warming engine adds
)

// stepWriter converts an outcome to a Step. Within a class, threads of engines in order of their names are assigned to
// workloads in their order, so that the result is deterministic.
type stepWriter struct {
	model    *model
	solution *solution
	order    []int // engines with usable threads, by name
	step     Step
	byTenant []int64 // threads granted
	byType   []int64
}

// step returns the Step of an outcome.
func (m *model) step(out outcome, atMS int64) Step {
	w := stepWriter{
		model:    m,
		solution: out.solution,
		order:    m.enginesByName(),
		step: Step{
			FromMS:         atMS,
			Status:         Feasible,
			Value:          out.objective.value,
			Cost:           out.objective.cost,
			MaxUtilization: out.objective.utilization,
			Bound:          out.bound.value,
		},
		byTenant: make([]int64, len(m.problem.Tenants)),
		byType:   make([]int64, len(m.problem.Types)),
	}
	if out.proved == (Proved{Value: true, Cost: true, MaxUtilization: true}) {
		w.step.Status = Optimal
	}
	w.writeThreads()
	w.writeUse()
	w.writeTotals()
	w.writeWeights()
	return w.step
}

// enginesByName returns the engines with usable threads in order of their names.
func (m *model) enginesByName() []int {
	var order []int
	for _, g := range m.groups {
		order = append(order, g.engines...)
	}
	slices.SortFunc(order, func(a, b int) int {
		return strings.Compare(m.problem.Engines[a].Name, m.problem.Engines[b].Name)
	})
	return order
}

// writeThreads assigns the engines' threads to the workloads.
func (w *stepWriter) writeThreads() {
	remaining := make([][]int64, len(w.solution.threads))
	for engine, threads := range w.solution.threads {
		remaining[engine] = slices.Clone(threads)
	}
	for i, load := range w.model.workloads {
		granted := w.solution.granted[i]
		w.byTenant[load.tenant] += granted
		w.byType[w.model.classes[load.class].typ] += granted
		for _, engine := range w.order {
			if remaining[engine] == nil {
				continue
			}
			threads := min(granted, remaining[engine][load.class])
			if threads <= 0 {
				continue
			}
			granted -= threads
			remaining[engine][load.class] -= threads
			w.step.Threads = append(w.step.Threads, w.threadsOf(load, engine, threads))
		}
	}
}

// threadsOf returns the assignment of an engine's threads to a workload.
func (w *stepWriter) threadsOf(load workload, engine int, threads int64) Assignment {
	p := w.model.problem
	class := w.model.classes[load.class]
	return Assignment{
		Type:    p.Types[class.typ].Name,
		Tenant:  p.Tenants[load.tenant].Name,
		Zone:    p.Zones[class.zone].Name,
		Engine:  p.Engines[engine].Name,
		Threads: threads,
	}
}

func (w *stepWriter) writeUse() {
	p := w.model.problem
	for _, engine := range w.order {
		w.step.Use = append(w.step.Use, EngineUse{
			Engine:  p.Engines[engine].Name,
			Threads: sumOf(w.solution.threads[engine]),
			Usable:  w.model.groups[w.model.groupOf[engine]].threads,
			Total:   p.Engines[engine].Cores * p.threadsPerCore(),
		})
	}
}

// writeTotals writes the figures of tenants and types.
func (w *stepWriter) writeTotals() {
	p := w.model.problem
	all := max(1, sumOf(w.byTenant))
	for i, t := range p.Tenants {
		share := Share{Tenant: t.Name, Threads: w.byTenant[i], PerMillion: w.byTenant[i] * million / all}
		w.step.Shares = append(w.step.Shares, share)
	}
	for i, t := range p.Types {
		served := Served{Type: t.Name, Requested: w.model.requestedThreads(i, none), Granted: w.byType[i]}
		w.step.Served = append(w.step.Served, served)
	}
}

// writeWeights writes each engine's fraction of each class.
func (w *stepWriter) writeWeights() {
	p := w.model.problem
	for k, class := range w.model.classes {
		granted := w.grantedOf(k)
		for _, engine := range w.order {
			threads := w.solution.threads[engine]
			if threads == nil || threads[k] <= 0 {
				continue
			}
			w.step.Weights = append(w.step.Weights, Weight{
				Type:       p.Types[class.typ].Name,
				Zone:       p.Zones[class.zone].Name,
				Engine:     p.Engines[engine].Name,
				PerMillion: threads[k] * million / granted,
			})
		}
	}
}

// grantedOf returns the threads granted to a class.
func (w *stepWriter) grantedOf(class int) int64 {
	granted := int64(0)
	for i, load := range w.model.workloads {
		if load.class == class {
			granted += w.solution.granted[i]
		}
	}
	return granted
}

// stepTimes returns the times at which steps begin, in milliseconds from now: 0 and several during each warm-up, the
// last when all engines are warm.
func (problem *Problem) stepTimes() []int64 {
	atMS := []int64{0}
	for _, e := range problem.Engines {
		if e.State != Started {
			continue
		}
		for k := range int64(stepsPerWarmUp) {
			atMS = append(atMS, e.WarmInMS*(k+1)/stepsPerWarmUp)
		}
	}
	slices.Sort(atMS)
	atMS = slices.Compact(atMS)
	if len(atMS) <= maxPlanSteps {
		return atMS
	}
	thinned := []int64{atMS[0]}
	for k := 1; k < maxPlanSteps; k++ {
		thinned = append(thinned, atMS[k*(len(atMS)-1)/(maxPlanSteps-1)])
	}
	return slices.Compact(thinned)
}
