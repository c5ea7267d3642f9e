package solve

// Proportional approximates what the decision module does without a plan: tenants share the threads equally, and each
// job goes to the engine with the greatest free fraction of its threads.
type Proportional struct{}

// Name returns "proportional".
func (Proportional) Name() string { return "proportional" }

func (Proportional) solve(m *model, constraints *constraintSet, _ Stop) outcome {
	p := newPlacement(m, constraints)
	p.placeWithin(m.fleetThreads / int64(len(m.problem.Tenants))) // equal shares first
	p.placeWithin(m.fleetThreads)                                 // then the remaining threads
	out := outcome{objective: m.objective(p.solution)}
	for _, w := range m.workloads {
		out.bound.value += w.valueOf(w.threads, m.threadValues[m.classes[w.class].typ])
	}
	if m.violation(p.solution, constraints) == nil { // the heuristic ignores some constraints, such as minimums
		out.solution = p.solution
	}
	return out
}

// placement assigns threads one by one.
type placement struct {
	model       *model
	constraints *constraintSet
	solution    *solution
	free        []int64 // threads, by engine
	memoryMB    []int64 // free, by engine
	crossing    []int64 // bytes per second, by zone
	byTenant    []int64 // threads placed
}

func newPlacement(model *model, constraints *constraintSet) *placement {
	p := &placement{
		model:       model,
		constraints: constraints,
		solution:    model.emptySolution(),
		free:        make([]int64, len(model.problem.Engines)),
		memoryMB:    make([]int64, len(model.problem.Engines)),
		crossing:    make([]int64, len(model.problem.Zones)),
		byTenant:    make([]int64, len(model.problem.Tenants)),
	}
	for engine := range p.free {
		if group := model.groupOf[engine]; group >= 0 {
			p.free[engine] = model.maxEngineThreads(engine, constraints)
			p.memoryMB[engine] = model.groups[group].memoryMB
			p.solution.threads[engine] = make([]int64, len(model.classes))
		}
	}
	return p
}

// placeWithin assigns one thread to each workload in turn until none fits. The limit is the most threads that a tenant
// may hold.
func (p *placement) placeWithin(limit int64) {
	for hasPlaced := true; hasPlaced; {
		hasPlaced = false
		for i, w := range p.model.workloads {
			if p.solution.granted[i] < w.threads && p.byTenant[w.tenant] < p.limitOf(w.tenant, limit) && p.place(w) {
				p.solution.granted[i]++
				hasPlaced = true
			}
		}
	}
}

// limitOf returns the smaller of a limit and a tenant's quota.
func (p *placement) limitOf(tenant int, limit int64) int64 {
	if quota := p.constraints.quotas[tenant]; quota >= 0 {
		return min(limit, quota)
	}
	return limit
}

// place assigns a thread of a workload to the engine with the greatest fraction of free threads, and reports whether
// one fits.
func (p *placement) place(w workload) bool {
	best := none
	for engine := range p.free {
		if p.canPlace(w, engine) && (best < 0 || p.isFreer(engine, best)) {
			best = engine
		}
	}
	if best < 0 {
		return false
	}
	class := p.model.classes[w.class]
	p.free[best]--
	p.memoryMB[best] -= p.model.threadMemoryMB[class.typ]
	p.solution.threads[best][w.class]++
	p.crossing[class.zone] += p.groupOf(best).bytes[w.class]
	p.byTenant[w.tenant]++
	return true
}

// canPlace reports whether a thread of a workload fits on an engine.
func (p *placement) canPlace(w workload, engine int) bool {
	class := p.model.classes[w.class]
	if p.free[engine] < 1 || p.memoryMB[engine] < p.model.threadMemoryMB[class.typ] {
		return false
	}
	g := p.groupOf(engine)
	return g.canRun[w.class] && p.model.isPlacementAllowed(class.typ, g) &&
		isWithin(p.crossing[class.zone]+g.bytes[w.class], p.constraints.crossingBudgets[class.zone])
}

// isFreer reports whether an engine has a greater fraction of free threads than another.
func (p *placement) isFreer(engine, other int) bool {
	return p.free[engine]*p.groupOf(other).threads > p.free[other]*p.groupOf(engine).threads
}

func (p *placement) groupOf(engine int) *engineGroup {
	return &p.model.groups[p.model.groupOf[engine]]
}
