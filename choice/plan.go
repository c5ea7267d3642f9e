package choice

const (
	planPreference   = 1.0               // threads per core in favor of the engine preferred most for a type
	planMaxMissing   = 0.2               // part of a plan's threads; the plan is dropped if this much is missing
	planResumeFactor = 0.5               // of that part, and of the demand margin, below which it is resumed
	planSettleTime   = 2 * offeredWindow // demand is compared only this long after a plan begins
	minDemand        = 1e-9              // threads; avoids a division by zero
)

// setPlan follows a plan, or none for nil. Demand is assumed to be as planned until it is known.
func (c *Controller) setPlan(p *Plan) {
	c.plan, c.planWeight = p.indexed(c.now), 0
	if p != nil {
		c.planWeight = 1
		c.offeredThreads = p.DemandThreads * c.fleet.share
		c.updatePlanWeight()
	}
}

// updatePlanWeight decides how far the plan is followed: less as its threads go missing or unknown engines
// come, not at all from planMaxMissing on or when demand is off by its ratio. It resumes with hysteresis.
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
