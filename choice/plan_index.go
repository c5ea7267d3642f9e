package choice

// Plan is the part of a precomputed plan that concerns this controller. Rules, limits and engine health take
// precedence over it. The Controller that follows a Plan owns it.
type Plan struct {
	Tenants        []PlanTenant // each once
	Engines        []PlanEngine // those with planned threads, each once
	Weights        []PlanWeight // each pair once
	IdleEngines    []EngineID   // engines that the plan knows but gives no threads
	DemandThreads  float64      // of the whole fleet, as planned for
	MaxDemandRatio float64      // factor by which demand may differ, up or down, while the plan is valid

	tenantShares   map[TenantID]float64
	plannedEngines map[EngineID]plannedEngine
	totalThreads   float64 // at least 1
	followedSince  Nanos
}

// PlanTenant is a tenant's share of all threads, from 0 to 1.
type PlanTenant struct {
	Tenant TenantID
	Share  float64
}

// PlanEngine is the number of threads that a plan uses on an engine.
type PlanEngine struct {
	Engine  EngineID
	Threads float64
}

// PlanWeight is how much an engine is preferred for a type's jobs, from 0 to 1, the most preferred one.
type PlanWeight struct {
	Type   TypeID
	Engine EngineID
	Weight float64
}

// plannedEngine is the part of a plan that concerns one engine.
type plannedEngine struct {
	weights []float64 // by type
	threads float64
	known   bool // the engine is in the plan
}

// forEngine returns the plan for an engine. Without a plan every engine is known and has no planned threads.
func (p *Plan) forEngine(id EngineID) plannedEngine {
	if p == nil {
		return plannedEngine{known: true}
	}
	return p.plannedEngines[id]
}

// buildIndex builds the lookup tables of a plan that is followed from now on, and returns the plan; nil for
// nil.
func (p *Plan) buildIndex(now Nanos) *Plan {
	if p == nil {
		return nil
	}
	p.tenantShares = map[TenantID]float64{}
	p.plannedEngines = map[EngineID]plannedEngine{}
	for _, t := range p.Tenants {
		p.tenantShares[t.Tenant] = t.Share
	}
	for _, id := range p.IdleEngines {
		p.plannedEngines[id] = plannedEngine{known: true}
	}
	total := 0.0
	for _, e := range p.Engines {
		p.plannedEngines[e.Engine] = plannedEngine{threads: e.Threads, known: true}
		total += e.Threads
	}
	for _, w := range p.Weights {
		p.addWeight(w)
	}
	p.totalThreads = max(1, total)
	p.followedSince = now
	return p
}

func (p *Plan) addWeight(w PlanWeight) {
	planned := p.plannedEngines[w.Engine]
	for len(planned.weights) <= int(w.Type) {
		planned.weights = append(planned.weights, 0)
	}
	planned.weights[w.Type] = w.Weight
	planned.known = true
	p.plannedEngines[w.Engine] = planned
}

// availablePlanThreads returns the planned threads of engines that are ready and not ejected, and the cores
// of ready engines that are not in the plan.
func (c *Controller) availablePlanThreads() (threads, unknownCores float64) {
	for _, e := range c.engines {
		planned := c.plan.forEngine(e.Engine)
		if e.State == Ready && !planned.known {
			unknownCores += e.cores
		} else if e.State == Ready && !e.ejected {
			threads += planned.threads
		}
	}
	return threads, unknownCores
}
