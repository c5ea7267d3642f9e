package choice

import "slices"

const (
	sweepInterval  = 20 * ms
	stallThreshold = 100 * ms // a sweep this late means that the process stalled
	watchInterval  = second   // between requests to watch the endpoint list
)

// sweep runs every sweepInterval. It ends expiring jobs, cancels overdue attempts and updates all estimates.
func (c *Controller) sweep() {
	c.armTimer()
	c.probeBudget.recordFunding(c.now)
	c.liveJobs = slices.DeleteFunc(c.liveJobs, func(j *job) bool { return j.finished && j.attempt == nil })
	if stalled := c.now - c.lastSweepAt - sweepInterval; stalled >= stallThreshold {
		c.discountStall(stalled)
		c.stalledUntil = c.now
	}
	c.lastSweepAt = c.now
	for _, j := range c.liveJobs {
		c.checkJob(j)
	}
	c.measureHeadWaits()
	if c.gossip.messages != nil {
		c.sendGossip()
	}
	c.updateFleet()
	c.updateShare()
	c.updateOverloadPrices()
	c.offeredThreads -= c.offeredThreads * float64(sweepInterval) / float64(offeredDecayTime)
	if c.plan != nil {
		c.updatePlanWeight()
	}
	c.pruneState()
	c.requestWatch()
}

// checkJob ends a job that is about to expire, that must end before the process stops, or that is waiting and
// should be shed; otherwise it checks the job's attempt.
func (c *Controller) checkJob(j *job) {
	switch {
	case j.finished || j.streaming:
	case c.nearExpiry(j):
		c.finishWithoutResult(j, TooLateToServe)
	case c.nearStop():
		c.finishWithoutResult(j, WouldNotFinish)
	case j.attempt != nil:
		c.checkAttempt(j.attempt)
	default:
		if reason := c.shedReason(j); reason != "" {
			c.finishWithoutResult(j, reason)
		}
	}
}
