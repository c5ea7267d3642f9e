package choice

const (
	slowStartSafety     = 0.51       // of the work that an engine in slow start stands
	slowStartTurnShare  = 0.75       // of that, where controllers take turns: two turns may meet in a window
	outageDuration      = 5 * second // after the last refused connection
	restartSuspectShare = 0.15       // of the jobs usual at an engine: with fewer it just started
)

// effectiveStart is when an engine last started, as far as known or feared: in an outage any not seen since.
func (c *Controller) effectiveStart(e *engine) Nanos {
	if e.refusing { // it was not seen since it refused: it starts now at the earliest
		return c.now
	}
	if c.now-c.outage.lastRefusalAt < outageDuration && e.lastSeenAt < c.outage.startedAt {
		return max(e.StartedAt, e.suspectedRestartAt, c.outage.startedAt)
	}
	return max(e.StartedAt, e.suspectedRestartAt)
}

// slowStartFraction is the part of its capacity that a started engine is sure to have.
func (c *Controller) slowStartFraction(e *engine) float64 {
	started, window := c.effectiveStart(e), c.settings.slowStartWindow
	if started == 0 || c.now-started >= window {
		return 1
	}
	from := c.settings.startCapacity
	return from + (1-from)*float64(max(0, c.now-started))/float64(window)
}

// inSlowStart tells whether an engine just started, so that a part of its capacity is missing.
func (c *Controller) inSlowStart(e *engine) bool { return c.slowStartFraction(e) < 1 }

// slowStartAllows is rule 4: our part of what an engine in slow start stands in any window, if that holds a
// job, else all of it by turns. A new process waits a window, as what was sent before is not known.
func (c *Controller) slowStartAllows(j *job, e *engine) bool {
	window := c.settings.overloadWindow
	budget := slowStartSafety * c.settings.slowStartWork * e.cores * float64(window)
	turns, ours := max(1, int(budget/max(1, c.longestMeanWork()))), true
	if turns < c.settings.controllers {
		// By the clock, which all share: a controller that counts more turns adds few others to them.
		slot := c.settings.ownIndex + int(c.now/max(window, 1)) + int(e.Engine)
		ours = slot%c.settings.controllers < turns
		budget *= slowStartTurnShare
	}
	sum := max(j.work, j.jobType.meanWork)
	for _, sent := range e.slowStartWork {
		sum += max(sent.work, slowStartSafety*c.demand.meanWork) // many short ones are no more calls than it stands
	}
	return ours && c.now-max(c.startedAt, c.predecessorEndedAt) >= window &&
		sum <= budget/float64(min(turns, c.settings.controllers))
}

// suspectRestart takes an engine for just started though the list does not say so: it refused connections and
// now answers, or is all but empty in a busy fleet. One empty by accident is used less for a window.
func (c *Controller) suspectRestart(e *engine, why restartReason) {
	e.refusing = false
	if !c.inSlowStart(e) {
		e.suspectedRestartAt = c.now
		c.logSuspectedRestart(e, why)
	}
}

// suspectRestartByJobs does so for an engine that holds far fewer jobs than is usual. One whose slow start
// just ended is empty by our own restraint.
func (c *Controller) suspectRestartByJobs(e *engine, jobs float64) {
	expected, started := c.fleet.contention*e.cores/c.meanThreadsPerJob(), c.effectiveStart(e)
	settled := started == 0 || c.now-started >= 2*c.settings.slowStartWindow
	if jobs < restartSuspectShare*expected && expected > e.cores/4 && !e.ejected && settled {
		c.suspectRestart(e, fewJobs(jobs, expected))
	}
}

// markSeen notes that an engine answered.
func (c *Controller) markSeen(e *engine) {
	e.lastSeenAt = c.now
	if e.refusing {
		c.suspectRestart(e, reconnected)
	}
}
