package choice

import (
	"math"
	"slices"
)

const (
	failureRateStep      = 0.05  // step of an engine's failure rate per outcome
	ejectAfterFailures   = 3.0   // consecutive failures that eject an engine
	ejectionSignificance = 0.001 // a run of failures less likely than this at the fleet's failure rate ejects
	maxMeanFailureRate   = 0.9   // cap on that failure rate
	readyPerEjected      = 3     // at most one in this many ready engines is ejected
	restoreAfterProbes   = 2     // consecutive successful probes that restore an engine

	minEjectionTime, maxEjectionTime  = second, 8 * second // doubled by each further ejection
	fullCooldown, failedProbeCooldown = second / 5, second // no dispatch after a Full result; a failed probe
)

// recordOutcome counts the outcome of an attempt or probe for or against an engine. connectedAt is when the
// connection over which it answered was established (0: unknown).
func (c *Controller) recordOutcome(e *engine, r Result, connectedAt Nanos) {
	switch r {
	case Done:
		c.markSeen(e, connectedAt)
		e.newSuccesses++
		e.failureRate *= 1 - failureRateStep
		if !e.ejected { // an attempt from before the ejection does not reset these
			e.consecutiveFailures, e.ejectionTime = 0, 0
		}
	case Full:
		e.cooldownUntil = c.now + fullCooldown
		c.updatePressure(e)
	case Failed, Reset, ConnectionRefused, TimedOut, DialFailed:
		if r == ConnectionRefused || r == DialFailed {
			c.recordConnectFailure(e, r)
		}
		e.failureRate += failureRateStep * (1 - e.failureRate)
		e.newFailures++
		e.consecutiveFailures++
		if !e.ejected && float64(e.consecutiveFailures) >= c.ejectionThreshold() {
			c.eject(e, r == ConnectionRefused)
		}
	}
}

// ejectionThreshold returns the number of consecutive failures that ejects an engine. It grows with the
// failure rate of the whole fleet, as on a faulty network, where short runs of failures occur by chance.
func (c *Controller) ejectionThreshold() float64 {
	rate := min(maxMeanFailureRate, c.fleet.meanFailureRate)
	return max(ejectAfterFailures, math.Log(ejectionSignificance)/math.Log(rate))
}

// recordConnectFailure records that a connection could not be established. The first time begins an outage.
func (c *Controller) recordConnectFailure(e *engine, r Result) {
	if c.now-c.outage.lastFailedDialAt >= outageTimeout {
		c.outage.startedAt = c.now
		c.logOutage(e)
	}
	c.outage.lastFailedDialAt = c.now
	if r == ConnectionRefused {
		e.dialFailedAt = 0
	} else if !e.refusing {
		e.dialFailedAt = c.now
	}
	e.refusing = true
}

// eject stops using an engine. At most a third of the ready engines is ejected: a fault of most engines has
// its cause elsewhere. An engine that refuses connections is always ejected: it fails so fast that it looks
// idle.
func (c *Controller) eject(e *engine, refusesConnections bool) {
	ejected, ready := c.countEjected()
	if !refusesConnections && ejected+1 > max(1, ready/readyPerEjected) {
		return
	}
	e.ejectionTime = min(maxEjectionTime, max(minEjectionTime, 2*e.ejectionTime))
	e.ejected, e.ejectedAt = true, c.now
	e.probesPassed = 0
	c.logEjection(e)
	for _, a := range slices.Clone(e.attempts) {
		if c.mayCancelToRetry(a.job) {
			c.cancelAttempt(a)
		}
	}
}

// restoreIfHealthy restores an ejected engine after its ejection time, once it passed its probes if probes
// are allowed. One more failure ejects it again for twice as long.
func (c *Controller) restoreIfHealthy(e *engine) {
	if e.State != Ready || !e.ejected {
		return
	}
	healthy := e.probesPassed >= restoreAfterProbes || !c.settings.probesAllowed
	if healthy && c.now-e.ejectedAt >= e.ejectionTime {
		e.ejected, e.consecutiveFailures = false, ejectAfterFailures-1
		c.logRestoration(e)
	} else if c.settings.probesAllowed && c.now-e.lastProbeAt >= max(probeInterval, e.ejectionTime/2) {
		c.sendProbe(e)
	}
}

// handleProbe handles the result of a probe and the load report that came with it.
func (c *Controller) handleProbe(ev Event) {
	e := c.engineByID(ev.Engine)
	if e == nil {
		return
	}
	e.probePending = false
	c.applyLoadReport(e, ev.Load)
	if ev.Result == Done {
		e.probesPassed++
		c.markSeen(e, ev.ConnectedAt)
		return
	}
	e.probesPassed, e.cooldownUntil = 0, c.now+failedProbeCooldown
	c.recordOutcome(e, ev.Result, ev.ConnectedAt)
}
