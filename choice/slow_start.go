package choice

const (
	slowStartSafety     = 0.51       // used part of the work that an engine in slow start withstands
	slowStartTurnShare  = 0.75       // factor on slowStartSafety if controllers take turns: two may overlap
	outageTimeout       = 5 * second // an outage lasts this long after the last failed dial
	restartSuspectShare = 0.15       // part of the expected jobs below which a restart is suspected
)

// effectiveStart returns when an engine last started or may have started. In an outage, any engine not seen
// since its beginning may have restarted then.
func (c *Controller) effectiveStart(e *engine) Nanos {
	if e.refusing { // not seen since the dial failed: it may have started just now
		return c.now
	}
	if c.now-c.outage.lastFailedDialAt < outageTimeout && e.lastSeenAt < c.outage.startedAt {
		return max(e.StartedAt, e.suspectedRestartAt, c.outage.startedAt)
	}
	return max(e.StartedAt, e.suspectedRestartAt)
}

// slowStartFraction returns the part of its capacity that an engine is certain to have, by the time since its
// start.
func (c *Controller) slowStartFraction(e *engine) float64 {
	started, window := c.effectiveStart(e), c.settings.slowStartWindow
	if started == 0 || c.now-started >= window {
		return 1
	}
	initial := c.settings.startCapacity
	return initial + (1-initial)*float64(max(0, c.now-started))/float64(window)
}

// inSlowStart reports whether an engine started so recently that part of its capacity is missing.
func (c *Controller) inSlowStart(e *engine) bool { return c.slowStartFraction(e) < 1 }

// slowStartAllows implements rule 4: a job fits this controller's part of the work that an engine in slow
// start withstands per window. If that part is too small for a long job, fewer controllers share the work, in
// turns. A new process first waits for a window, because it does not know earlier dispatches.
func (c *Controller) slowStartAllows(j *job, e *engine) bool {
	window := c.settings.slowStartBudgetWindow
	budget := slowStartSafety * c.settings.slowStartWorkLimit * e.cores * float64(window)
	turns, ownTurn := max(1, int(budget/max(1, c.longestMeanWork()))), true
	if turns < c.settings.controllers {
		// Turns follow the wall clock, which all share: a controller that counts more turns adds few senders.
		slot := c.settings.ownIndex + int((c.now+c.clockOffset)/max(window, 1)) + int(e.Engine)
		ownTurn = slot%c.settings.controllers < turns
		budget *= slowStartTurnShare
	}
	committedWork := max(j.work, j.jobType.meanWork)
	for _, sent := range e.slowStartDispatches {
		committedWork += max(sent.work, slowStartSafety*c.demand.meanWork) // bounds the number of short jobs, too
	}
	return ownTurn && c.now-max(c.startedAt, c.predecessorEndedAt) >= window &&
		committedWork <= budget/float64(min(turns, c.settings.controllers))
}

// suspectRestart begins a slow start for a restart that the list does not report: the engine answers again
// after failed dials, or is almost empty in a busy fleet. A false suspicion limits the use of the engine for
// one slow start.
func (c *Controller) suspectRestart(e *engine, reason restartReason) {
	e.refusing = false
	if !c.inSlowStart(e) {
		e.suspectedRestartAt = c.now
		c.logSuspectedRestart(e, reason)
	}
}

// suspectRestartByJobs suspects a restart of an engine with far fewer jobs than expected. An engine whose
// slow start just ended is exempt: the controllers themselves kept it empty.
func (c *Controller) suspectRestartByJobs(e *engine, jobs float64) {
	expected, started := c.fleet.contention*e.cores/c.meanThreadsPerJob(), c.effectiveStart(e)
	settled := started == 0 || c.now-started >= 2*c.settings.slowStartWindow
	if jobs < restartSuspectShare*expected && expected > e.cores/4 && !e.ejected && settled {
		c.suspectRestart(e, reasonFewJobs(jobs, expected))
	}
}

// markSeen records that an engine answered over a connection established at connectedAt (0: unknown). If the
// connection is older than the first failed dial, the engine did not restart: only dials failed.
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
	c.suspectRestart(e, reasonReconnected)
}
