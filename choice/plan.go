package choice

const (
	planPreference      = 1.0                  // threads per core in favor of a type's most preferred engine
	maxMissingPlanShare = 0.2                  // a plan is suspended if this part of its threads is missing
	planResumeFactor    = 0.5                  // part of that and of the demand margin below which it is resumed
	planSettleTime      = 2 * offeredDecayTime // demand is checked only this long after a plan begins
	minDemand           = 1e-9                 // threads; avoids a division by zero
)

// setPlan begins to follow a plan, or none if it is nil. Until demand is measured, it is assumed as planned.
func (c *Controller) setPlan(p *Plan) {
	c.plan, c.planWeight = p.buildIndex(c.now), 0
	if p != nil {
		c.planWeight = 1
		c.offeredThreads = p.DemandThreads * c.fleet.share
		c.updatePlanWeight()
	}
}

// updatePlanWeight decides how far the plan is followed: less as its threads go missing or unknown engines
// join, and not at all from maxMissingPlanShare on or if demand is off by MaxDemandRatio. It resumes with
// hysteresis.
func (c *Controller) updatePlanWeight() {
	presentThreads, unknownCores := c.availablePlanThreads()
	missingShare := max(1-presentThreads/c.plan.totalThreads, unknownCores/max(1, c.fleet.cores))
	demandRatio := max(c.offeredThreads, minDemand) / max(minDemand, c.plan.DemandThreads*c.fleet.share)
	maxMissing, maxRatio := maxMissingPlanShare, c.plan.MaxDemandRatio
	if c.planWeight == 0 {
		maxMissing, maxRatio = planResumeFactor*maxMissingPlanShare, 1+planResumeFactor*(maxRatio-1)
	}
	weight := max(0, 1-missingShare/maxMissingPlanShare)
	settled := c.now-c.plan.followedSince >= planSettleTime
	if missingShare >= maxMissing || (settled && max(demandRatio, 1/demandRatio) > maxRatio) {
		weight = 0
	}
	c.logPlan(weight, missingShare, demandRatio)
	c.planWeight = weight
}
