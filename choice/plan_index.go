package choice

// Plan is a precomputed plan, as far as it concerns this controller. Rules, limits and engine health take precedence
// over it. The Controller that follows a Plan owns it.
type Plan struct {
	Tenants        []PlanTenant // each once
	Engines        []PlanEngine // those that get threads, each once
	Weights        []PlanWeight // each pair once
	IdleEngines    []EngineID   // known to it, without threads
	DemandThreads  float64      // in the whole fleet
	MaxDemandRatio float64      // where so many times more is asked for, or less, it does not hold

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

// PlanEngine is the number of threads that a plan uses at an engine.
type PlanEngine struct {
	Engine  EngineID
	Threads float64
}

// PlanWeight is how much an engine is preferred for a type's jobs, from 0 to 1 at the most preferred one.
type PlanWeight struct {
	Type   TypeID
	Engine EngineID
	Weight float64
}

// plannedEngine is what a plan has for an engine.
type plannedEngine struct {
	weights []float64 // by type
	threads float64
	known   bool
}

// engine returns the plan for an engine. Without a plan each engine is known, and has no threads.
func (p *Plan) engine(id EngineID) plannedEngine {
	if p == nil {
		return plannedEngine{known: true}
	}
	return p.plannedEngines[id]
}

// indexed returns the plan with its lookup tables, followed from now on, or nil for nil.
func (p *Plan) indexed(now Nanos) *Plan {
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

// planPresence returns the planned threads of engines that are ready and not ejected, and the cores of ready engines
// that the plan does not know.
func (c *Controller) planPresence() (threads, unknownCores float64) {
	for _, e := range c.engines {
		planned := c.plan.engine(e.Engine)
		if e.State == Ready && !planned.known {
			unknownCores += e.cores
		} else if e.State == Ready && !e.ejected {
			threads += planned.threads
		}
	}
	return threads, unknownCores
}
