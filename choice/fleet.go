package choice

import (
	"cmp"
	"math"
)

const (
	latencyDecay       = 0.002      // of a type's slowdown or an engine's latency ratio over 1, a sweep
	latencyStaleAfter  = 5 * second // without an answer a type's slowdown decays
	failureDecay       = 0.999      // of an engine's failure rate, a sweep
	siblingDrift       = 0.02       // of siblings' threads without a report, to the fleet's mean, a sweep
	ownLoadStep        = 0.005      // of the means of our load and of contention, a sweep
	shareStep          = 0.05       // of our share by reports, a sweep
	minLatencyMean     = 0.1        // of the fleet's latency ratio
	minContentionCores = 4.0        // fewer tell little of siblings

	maxOwnLoadSpeedup, ownLoadJobs = 10.0, 4.0 // times ownLoadStep, one for so many jobs out: less is chance
)

// updateEngines takes discovery's list. A new start time is a restart, which voids what was learned there.
func (c *Controller) updateEngines(ev Event) {
	c.watchingEngines = ev.List != ListFailed && (c.watchingEngines || ev.List != CachedList)
	if ev.List == ListFailed {
		return
	}
	if ev.List != ListDelta {
		c.removeEngines()
	}
	for _, entry := range ev.Engines {
		if e, restarted := c.enterEngine(entry); restarted {
			e.latencyRatio, e.failureRate = 1, 0
			e.underPressure, e.ejected, e.consecutiveFailures = false, false, 0
			e.concurrencyLimit = e.cores * c.fleet.share
			e.siblingThreads = c.fleet.contention * c.warmCores(e)
		}
	}
	c.fleet.cores = c.indexEngines()
	c.sampleSize = max(minSampleSize, int(math.Ceil(c.fleet.cores*c.settings.evenShare)))
}

// updateFleet updates each engine, and the means over the fleet and of our own load.
func (c *Controller) updateFleet() {
	var total fleetTotals
	for _, e := range c.engines {
		c.updateHealth(e)
		total.add(e, c.warmCores(e))
	}
	c.fleet.cores = cmp.Or(total.cores, c.fleet.cores) // where all are in slow start: of all
	speedup := min(maxOwnLoadSpeedup, max(1, c.ownLoad.jobs/ownLoadJobs))
	c.ownLoad.approach(total.own, ownLoadStep*speedup)
	c.fleet.meanLatencyRatio = max(minLatencyMean, total.latencyRatio/max(1, total.active))
	c.fleet.meanFailureRate = total.failureRate / max(1, total.active)
	c.logPressure(total.pressed)
}

// updateHealth lets what was learned of an engine fade, and restores it after an ejection. What is not known
// of siblings there is thought like the rest of the fleet, not empty.
func (c *Controller) updateHealth(e *engine) {
	if c.now-e.loadKnownAt >= reportTTL {
		expectedThreads := max(0, c.fleet.contention*c.warmCores(e)-e.ownThreads)
		e.siblingThreads += siblingDrift * (expectedThreads - e.siblingThreads)
	}
	e.latencyRatio += latencyDecay * (1 - e.latencyRatio)
	e.failureRate *= failureDecay
	c.updatePressure(e)
	c.restoreIfHealthy(e)
}

// updateShare follows the part of the fleet's load that is ours by reports, unless a share is assigned.
// Without reports siblings are thought to hold what we hold.
func (c *Controller) updateShare() {
	if c.now-c.fleet.lastReportAt >= reportTTL {
		ours := c.ownLoad.threads / max(minContentionCores, c.settings.evenShare*c.fleet.cores)
		c.fleet.contention += ownLoadStep * (ours - c.fleet.contention)
	}
	if c.fleet.contention > 0 {
		carried := c.ownLoad.threads / max(1, c.fleet.contention*c.fleet.cores)
		c.fleet.estimatedShare += shareStep * (min(1, max(c.settings.evenShare, carried)) - c.fleet.estimatedShare)
	}
	if c.fleet.share = c.fleet.estimatedShare; c.now < c.quota.ExpiresAt {
		c.fleet.share = c.quota.FleetShare
	}
}
