package solve

import "fmt"

// audit recomputes the sums of a solution to check it against a constraint set, independently of the search.
type audit struct {
	model       *model
	solution    *solution
	constraints *constraintSet

	byTenant []int64 // threads granted
	byType   []int64
	byClass  []int64 // threads granted less threads run
	crossing []int64 // bytes per second, by zone
	outside  []int64 // threads outside the placement bound, by type
}

// violation returns the first constraint that a solution violates, or nil.
func (m *model) violation(plan *solution, constraints *constraintSet) error {
	a := &audit{
		model:       m,
		solution:    plan,
		constraints: constraints,
		byTenant:    make([]int64, len(m.problem.Tenants)),
		byType:      make([]int64, len(m.problem.Types)),
		byClass:     make([]int64, len(m.classes)),
		crossing:    make([]int64, len(m.problem.Zones)),
		outside:     make([]int64, len(m.problem.Types)),
	}
	checks := []func() error{
		a.checkWorkloads,
		a.checkEngines,
		a.checkClasses,
		a.checkLimits,
		a.checkMinimums,
		a.checkCost,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (a *audit) checkWorkloads() error {
	for i, w := range a.model.workloads {
		threads := a.solution.granted[i]
		if threads < 0 || threads > w.threads {
			return fmt.Errorf("%d threads granted, %d requested", threads, w.threads)
		}
		a.byTenant[w.tenant] += threads
		a.byClass[w.class] += threads
		a.byType[a.model.classes[w.class].typ] += threads
	}
	return nil
}

func (a *audit) checkEngines() error {
	for i, byClass := range a.solution.threads {
		if byClass == nil {
			continue
		}
		if a.model.groupOf[i] < 0 {
			return fmt.Errorf("engine %s has no usable threads but is assigned some", a.model.problem.Engines[i].Name)
		}
		if err := a.checkEngine(i, byClass); err != nil {
			return err
		}
	}
	return nil
}

func (a *audit) checkEngine(engine int, byClass []int64) error {
	m := a.model
	g := &m.groups[m.groupOf[engine]]
	name := m.problem.Engines[engine].Name
	used := int64(0)
	memoryMB := int64(0)
	for k, threads := range byClass {
		class := m.classes[k]
		if threads < 0 || (threads > 0 && !g.canRun[k]) {
			return fmt.Errorf("engine %s: %d threads of type %s", name, threads, m.problem.Types[class.typ].Name)
		}
		used += threads
		memoryMB += threads * m.threadMemoryMB[class.typ]
		a.byClass[k] -= threads
		a.crossing[class.zone] += threads * g.bytes[k]
		if !m.isPlacementAllowed(class.typ, g) {
			a.outside[class.typ] += threads
		}
	}
	limit := m.maxEngineThreads(engine, a.constraints)
	if used > limit || memoryMB > g.memoryMB {
		return fmt.Errorf("engine %s: %d threads of %d, %d MB of %d", name, used, limit, memoryMB, g.memoryMB)
	}
	return nil
}

func (a *audit) checkClasses() error {
	for k, threads := range a.byClass {
		if threads != 0 {
			name := a.model.problem.Types[a.model.classes[k].typ].Name
			return fmt.Errorf("type %s: granted threads exceed those that engines run by %d", name, threads)
		}
	}
	return nil
}

func (a *audit) checkLimits() error {
	p := a.model.problem
	for i, quota := range a.constraints.quotas {
		if quota >= 0 && a.byTenant[i] > quota {
			return fmt.Errorf("tenant %s: %d threads exceed its quota of %d", p.Tenants[i].Name, a.byTenant[i], quota)
		}
	}
	for i, budget := range a.constraints.crossingBudgets {
		if budget >= 0 && a.crossing[i] > budget {
			return fmt.Errorf("zone %s: %d crossing bytes/s exceed its budget of %d", p.Zones[i].Name, a.crossing[i], budget)
		}
	}
	for i, limit := range a.constraints.outsideLimits {
		if limit >= 0 && a.outside[i] > limit {
			return fmt.Errorf("type %s: %d threads outside its placement bound", p.Types[i].Name, a.outside[i])
		}
	}
	return nil
}

func (a *audit) checkMinimums() error {
	p := a.model.problem
	for _, f := range a.constraints.minimums {
		if f.typ >= 0 && a.byType[f.typ] < f.threads {
			return fmt.Errorf("type %s: %d threads, minimum %d", p.Types[f.typ].Name, a.byType[f.typ], f.threads)
		}
		if f.tenant >= 0 && a.byTenant[f.tenant] < f.threads {
			return fmt.Errorf(
				"tenant %s: %d threads, minimum %d",
				p.Tenants[f.tenant].Name,
				a.byTenant[f.tenant],
				f.threads,
			)
		}
	}
	return nil
}

func (a *audit) checkCost() error {
	cost := a.model.objective(a.solution).cost
	if a.constraints.maxCost >= 0 && cost > a.constraints.maxCost {
		return fmt.Errorf("cost per second is %d, maximum %d", cost, a.constraints.maxCost)
	}
	return nil
}
