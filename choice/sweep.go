package choice

import "slices"

const (
	sweepInterval  = 20 * ms
	stallThreshold = 100 * ms // a sweep that is this late shows that the process stalled
	watchInterval  = second   // between requests to watch the engine list
)

// sweep runs every sweepInterval: it ends expiring jobs, cancels overdue attempts and updates all estimates.
func (c *Controller) sweep() {
	c.armTimer()
	c.probeBudget.checkFunds(c.now)
	c.liveJobs = slices.DeleteFunc(c.liveJobs, func(j *job) bool { return j.finished && j.attempt == nil })
	if stalled := c.now - c.lastSweepAt - sweepInterval; stalled >= stallThreshold {
		c.excuseStall(stalled)
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
	c.updatePrices()
	c.offeredThreads -= c.offeredThreads * float64(sweepInterval) / float64(offeredWindow)
	if c.plan != nil {
		c.updatePlanWeight()
	}
	c.dropExpired()
	c.requestWatch()
}

// checkJob ends a job that is about to expire, that outlasts our process or that is not worth its work any
// more, and checks its attempt.
func (c *Controller) checkJob(j *job) {
	switch {
	case j.finished || j.streaming:
	case c.nearExpiry(j):
		c.finishUnserved(j, TooLateToServe)
	case c.nearStop():
		c.finishUnserved(j, WouldNotFinish)
	case j.attempt != nil:
		c.checkAttempt(j.attempt)
	default:
		if why := c.shedReason(j); why != "" {
			c.finishUnserved(j, why)
		}
	}
}
