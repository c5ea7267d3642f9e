package choice

const (
	slowStartSafety     = 0.51       // used part of the work that an engine in slow start withstands
	slowStartTurnShare  = 0.75       // of that when controllers take turns, as two turns may overlap in a window
	outageDuration      = 5 * second // an outage lasts this long after the last refused connection
	restartSuspectShare = 0.15       // part of the expected jobs below which a restart is suspected
)

// effectiveStart is when an engine last started, or is suspected to: in an outage, any not seen since.
func (c *Controller) effectiveStart(e *engine) Nanos {
	if e.refusing { // it was not seen since it refused: it starts now at the earliest
		return c.now
	}
	if c.now-c.outage.lastRefusalAt < outageDuration && e.lastSeenAt < c.outage.startedAt {
		return max(e.StartedAt, e.suspectedRestartAt, c.outage.startedAt)
	}
	return max(e.StartedAt, e.suspectedRestartAt)
}

// slowStartFraction is the part of its capacity that an engine is sure to have, from its start on.
func (c *Controller) slowStartFraction(e *engine) float64 {
	started, window := c.effectiveStart(e), c.settings.slowStartWindow
	if started == 0 || c.now-started >= window {
		return 1
	}
	from := c.settings.startCapacity
	return from + (1-from)*float64(max(0, c.now-started))/float64(window)
}

// inSlowStart reports whether an engine started so recently that part of its capacity is missing.
func (c *Controller) inSlowStart(e *engine) bool { return c.slowStartFraction(e) < 1 }

// slowStartAllows is rule 4: a job fits our part of the work that an engine in slow start withstands per
// window, or all of it in our turn. A new process waits for a window, as earlier dispatches are unknown.
func (c *Controller) slowStartAllows(j *job, e *engine) bool {
	window := c.settings.overloadWindow
	budget := slowStartSafety * c.settings.slowStartWork * e.cores * float64(window)
	turns, ours := max(1, int(budget/max(1, c.longestMeanWork()))), true
	if turns < c.settings.controllers {
		// By the wall clock, which all share: a controller that counts more turns adds few others to them.
		slot := c.settings.ownIndex + int((c.now+c.clockOffset)/max(window, 1)) + int(e.Engine)
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

// suspectRestart begins a slow start that the list does not report: the engine refused connections and
// answers again, or is almost empty in a busy fleet. A wrong guess slows its use for one window.
func (c *Controller) suspectRestart(e *engine, why restartReason) {
	e.refusing = false
	if !c.inSlowStart(e) {
		e.suspectedRestartAt = c.now
		c.logSuspectedRestart(e, why)
	}
}

// suspectRestartByJobs does so for an engine with far fewer jobs than expected, unless its slow start just
// ended: then we kept it empty ourselves.
func (c *Controller) suspectRestartByJobs(e *engine, jobs float64) {
	expected, started := c.fleet.contention*e.cores/c.meanThreadsPerJob(), c.effectiveStart(e)
	settled := started == 0 || c.now-started >= 2*c.settings.slowStartWindow
	if jobs < restartSuspectShare*expected && expected > e.cores/4 && !e.ejected && settled {
		c.suspectRestart(e, fewJobs(jobs, expected))
	}
}

// markSeen records that an engine answered, over a connection that came up at a time; 0: not known. One that
// is older than the first failed dial shows that the engine did not restart: only those dials failed.
func (c *Controller) markSeen(e *engine, connectedAt Nanos) {
	e.lastSeenAt = c.now
	if !e.refusing {
		return
	}
	if e.dialFailedAt > 0 && connectedAt > 0 && connectedAt < e.dialFailedAt {
		e.refusing = false
		c.logSurvivedDials(e)
		return
	}
	c.suspectRestart(e, reconnected)
}
