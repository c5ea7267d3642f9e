package choice

const (
	planPreference   = 1.0               // threads a core that speak for the engine most meant for a type
	planMaxMissing   = 0.2               // of a plan's threads: with so many gone it does not hold
	planResumeFactor = 0.5               // of that, and of its margin of demand: under it the plan holds again
	planSettleTime   = 2 * offeredWindow // after it a new plan's demand is judged
	minDemand        = 1e-9              // threads; no demand is counted so
)

// setPlan follows a plan, or none. What is asked for is thought to be as planned until it is known.
func (c *Controller) setPlan(p *Plan) {
	c.plan, c.planWeight = p.indexed(c.now), 0
	if p != nil {
		c.planWeight = 1
		c.offeredThreads = p.DemandThreads * c.fleet.share
		c.updatePlanWeight()
	}
}

// updatePlanWeight says how far the plan still holds: less the more of its threads are gone, or unknown
// engines come; not at all from planMaxMissing on, or where demand is off by its ratio. It comes back later.
func (c *Controller) updatePlanWeight() {
	present, unknown := c.planPresence()
	missing := max(1-present/c.plan.totalThreads, unknown/max(1, c.fleet.cores))
	demand := max(c.offeredThreads, minDemand) / max(minDemand, c.plan.DemandThreads*c.fleet.share)
	maxMissing, maxRatio := planMaxMissing, c.plan.MaxDemandRatio
	if c.planWeight == 0 {
		maxMissing, maxRatio = planResumeFactor*planMaxMissing, 1+planResumeFactor*(maxRatio-1)
	}
	weight := max(0, 1-missing/planMaxMissing)
	settled := c.now-c.plan.followedSince >= planSettleTime
	if missing >= maxMissing || (settled && max(demand, 1/demand) > maxRatio) {
		weight = 0
	}
	c.logPlan(weight, missing, demand)
	c.planWeight = weight
}
