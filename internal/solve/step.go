package solve

import (
	"slices"
	"strings"
)

const (
	million = 1_000_000
	// maxPlanSteps bounds the steps of an answer; stepsOfEngine is how many each engine that warms up adds.
	maxPlanSteps  = 9
	stepsOfEngine = 4
)

// stepWriter puts an outcome into names. Within a class, tenants take engines in the order of the workloads and of
// the engines' names: the same at every run.
type stepWriter struct {
	model    *model
	solution *solution
	order    []int // of the engines that get anything, by name
	step     Step
	byTenant []int64 // threads granted
	byType   []int64
}

// step returns an outcome's step.
func (m *model) step(out outcome, atMS int64) Step {
	w := stepWriter{
		model:    m,
		solution: out.solution,
		order:    m.enginesByName(),
		step: Step{
			FromMS:   atMS,
			Status:   Feasible,
			Value:    out.measure.value,
			Cost:     out.measure.cost,
			Evenness: out.measure.utilization,
			Bound:    out.bound.value,
		},
		byTenant: make([]int64, len(m.problem.Tenants)),
		byType:   make([]int64, len(m.problem.Types)),
	}
	if out.proved == (Proved{Value: true, Cost: true, Evenness: true}) {
		w.step.Status = Optimal
	}
	w.writeThreads()
	w.writeUse()
	w.writeTotals()
	w.writeWeights()
	return w.step
}

// enginesByName returns the engines that get anything.
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

// writeThreads divides what engines run among the workloads.
func (w *stepWriter) writeThreads() {
	left := make([][]int64, len(w.solution.threads))
	for engine, threads := range w.solution.threads {
		left[engine] = slices.Clone(threads)
	}
	for i, load := range w.model.workloads {
		granted := w.solution.granted[i]
		w.byTenant[load.tenant] += granted
		w.byType[w.model.classes[load.class].typ] += granted
		for _, engine := range w.order {
			if left[engine] == nil {
				continue
			}
			threads := min(granted, left[engine][load.class])
			if threads <= 0 {
				continue
			}
			granted -= threads
			left[engine][load.class] -= threads
			w.step.Threads = append(w.step.Threads, w.threadsOf(load, engine, threads))
		}
	}
}

// threadsOf returns threads of a workload on an engine in names.
func (w *stepWriter) threadsOf(load workload, engine int, threads int64) Threads {
	p := w.model.problem
	class := w.model.classes[load.class]
	return Threads{
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
		w.step.Use = append(w.step.Use, Use{
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

// writeWeights writes the engines' parts of each class.
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

// moments returns when the steps begin: now, and several times while each engine warms up, until all are warm.
func (problem *Problem) moments() []int64 {
	atMS := []int64{0}
	for _, e := range problem.Engines {
		if e.State != Started {
			continue
		}
		for k := range int64(stepsOfEngine) {
			atMS = append(atMS, e.WarmInMS*(k+1)/stepsOfEngine)
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
