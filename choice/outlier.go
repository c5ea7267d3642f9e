package choice

import (
	"math"
	"slices"
)

const (
	failureRateStep     = 0.05  // of an engine's failure rate, an outcome
	ejectAfterFailures  = 3.0   // in a row
	accidentProbability = 0.001 // a less probable row of failures is no accident, where all engines fail a part
	maxMeanFailureRate  = 0.9   // of the fleet, for that
	maxEjectedShare     = 3     // one engine in so many may be ejected
	restoreAfterProbes  = 2     // answered

	minEjectionTime, maxEjectionTime  = second, 8 * second // the first; each further failure doubles it
	fullCooldown, failedProbeCooldown = second / 5, second // without a job after one was refused, a probe failed
)

// recordOutcome counts an outcome for or against an engine.
func (c *Controller) recordOutcome(e *engine, r Result) {
	switch r {
	case Done:
		c.markSeen(e)
		e.newSuccesses++
		e.failureRate *= 1 - failureRateStep
		if !e.ejected { // what was out when it was ejected does not restore it
			e.consecutiveFailures, e.ejectionTime = 0, 0
		}
	case Full:
		e.fullUntil = c.now + fullCooldown
		c.updatePressure(e)
	case Failed, Reset, Unreachable, TimedOut:
		if r == Unreachable {
			c.recordRefusal(e)
		}
		e.failureRate += failureRateStep * (1 - e.failureRate)
		e.newFailures++
		e.consecutiveFailures++
		if !e.ejected && float64(e.consecutiveFailures) >= c.ejectionThreshold() {
			c.eject(e, r == Unreachable)
		}
	}
}

// ejectionThreshold is the failures in a row that eject an engine. Where all engines fail a part (as the way
// to them does, say), a few in a row are an accident.
func (c *Controller) ejectionThreshold() float64 {
	rate := min(maxMeanFailureRate, c.fleet.meanFailureRate)
	return max(ejectAfterFailures, math.Log(accidentProbability)/math.Log(rate))
}

// recordRefusal notes that an engine refused a connection. The first one begins an outage.
func (c *Controller) recordRefusal(e *engine) {
	if c.now-c.outage.lastRefusalAt >= outageDuration {
		c.outage.startedAt = c.now
		c.logOutage(e)
	}
	c.outage.lastRefusalAt = c.now
	e.refusing = true
}

// eject takes an engine out; never more than a third of the fleet, since what strikes most engines is no
// fault of theirs, but for one that refuses connections: it fails so fast that it looks emptiest.
func (c *Controller) eject(e *engine, refuses bool) {
	ejected, ready := c.countEjected()
	if !refuses && ejected+1 > max(1, ready/maxEjectedShare) {
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

// restoreIfHealthy brings back an engine that answered probes, or whose time is over where there are none.
// One failure more ejects it for twice as long.
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

// handleProbe takes the answer of a probe, with the load report that came with it.
func (c *Controller) handleProbe(ev Event) {
	e := c.engineByID(ev.Engine)
	if e == nil {
		return
	}
	e.probePending = false
	c.applyLoadReport(e, ev.Load)
	if ev.Result == Done {
		e.probesPassed++
		c.markSeen(e)
		return
	}
	e.probesPassed, e.fullUntil = 0, c.now+failedProbeCooldown
	c.recordOutcome(e, ev.Result)
}
